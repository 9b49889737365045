//! Summaries that entry instances send to each other.

use std::time;

use figscale_core::job::placement;
use figscale_core::job::placement::summary;
use figscale_types::catalogue;
use figscale_types::ids;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::helpers;

fn member(number: u32) -> ids::MemberId {
    format!("entry-{number}").parse().expect("legal")
}

/// A cluster in which each of this number of owners has one task; at most the number
/// of owners at the cell size that is designed for.
fn cluster_with_owners(owners: u32) -> placement::Cluster {
    let mut cluster = helpers::cluster(58);
    for number in 0..owners {
        let size = helpers::size(2_000, 1, 0);
        let mut request = helpers::request("job", number, size, catalogue::Urgency::Deadline);
        request.owner = Some(helpers::owner(&format!("team-{number}")));
        cluster
            .place(&request, time::Instant::now(), None)
            .expect("resources are free");
    }
    cluster
}

#[test]
fn only_changed_owners_are_sent_between_whole_summaries() {
    let mut cluster = cluster_with_owners(92);
    let mut summarizer = summary::Summarizer::default();
    let mut lengths = Vec::new();
    for number in 0..11 {
        cluster.release(&helpers::task("job", number));
        lengths.push(summarizer.next(&cluster, 0).usage.len());
    }
    assert_eq!(lengths, [91, 1, 1, 1, 1, 1, 1, 1, 1, 1, 81]);
}

#[test]
fn shares_follow_the_summaries_of_peers() {
    let mut cluster = cluster_with_owners(3);
    let here = helpers::cluster(0);
    let mut summarizer = summary::Summarizer::default();
    let mut views = summary::PeerViews::default();
    let mut shares = placement::Shares::default();
    let now = time::Instant::now();
    for released in 0..4 {
        let summary = summarizer.next(&cluster, 7);
        views.apply(&member(2), summary, &mut shares, now);
        for number in 0..3 {
            let owner = helpers::owner(&format!("team-{number}"));
            assert_eq!(
                shares.usage(&owner, &here),
                cluster.usage(&owner),
                "{released}"
            );
        }
        cluster.release(&helpers::task("job", released));
    }
    views.remove(&member(2), &mut shares);
    assert_eq!(
        shares.usage(&helpers::owner("team-2"), &here),
        helpers::size(0, 0, 0)
    );
}

#[test]
fn a_task_goes_to_a_peer_with_a_recent_summary_and_enough_resources() {
    let now = time::Instant::now();
    let mut views = summary::PeerViews::default();
    let mut shares = placement::Shares::default();
    let mut full = helpers::cluster(1);
    let size = helpers::size(60_000, 100, 0);
    let request = helpers::request("job", 0, size, catalogue::Urgency::Deadline);
    full.place(&request, now, None).expect("resources are free");
    let mut rng = StdRng::seed_from_u64(6);
    for (number, cluster) in [(0, &full), (1, &helpers::cluster(2))] {
        let summary = summary::Summarizer::default().next(cluster, 0);
        views.apply(&member(number), summary, &mut shares, now);
    }
    for _ in 0..20 {
        assert_eq!(views.pick(&size, now, &mut rng), Some(&member(1)));
    }
    views.charge(&member(1), &size);
    assert_eq!(
        views.pick(&size, now, &mut rng),
        None,
        "the free resources of the peer are used up"
    );
    let small = helpers::size(1_000, 1, 0);
    assert!(views.pick(&small, now, &mut rng).is_some());
    let later = now + time::Duration::from_secs(6);
    assert_eq!(
        views.pick(&small, later, &mut rng),
        None,
        "the summary is too old"
    );
}

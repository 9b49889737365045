//! Instances of unequal processor that all start anew, and which one leads.
//!
//! Seen: for four seconds most quick jobs were late or not served. A leader of
//! an eighth of a core had them, beside nine instances of half a core.
//!
//! How it came about: instances were restarted, the leader was lost 0.1 s after
//! one had come back, and that one stood at once; likewise when all came back
//! together. What caused it: an instance learns from the leader how strong
//! others are, so one that has not greeted a leader yet takes itself for the
//! strongest; and a weak leader keeps its term for three seconds at least.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use fleet_support::Fleet;

const INSTANCES: usize = 4;
const STRONG: usize = 0;
const WEAK_SHARE: f64 = 0.12;
/// The strong one leads by chance in one round of four.
const ROUNDS: usize = 4;

/// Whoever starts beside an instance of eight times its processor lets that one
/// lead, also if no leader has told it so.
#[tokio::test(flavor = "multi_thread")]
async fn the_strongest_leads_after_all_have_started_anew() {
    let mut fleet = Fleet::start(INSTANCES, 2, false).await;
    let weak = (0..INSTANCES).filter(|number| *number != STRONG);
    weak.for_each(|number| fleet.set_cpu_share(number, WEAK_SHARE));
    let mut leaders = Vec::new();
    for _ in 0..ROUNDS {
        (0..INSTANCES).for_each(|number| fleet.kill(number));
        // One that was still to be killed may have followed the leader.
        let terms = fleet.count_events("TERM_BEGUN");
        (0..INSTANCES).for_each(|number| fleet.launch(number));
        let begun = || fleet.count_events("TERM_BEGUN") > terms;
        fleet.wait("a new term", begun).await;
        leaders.push(last_leader(&fleet));
    }
    let strong = format!("entry-{STRONG}");
    assert!(
        leaders.iter().all(|leader| *leader == strong),
        "{leaders:?} led"
    );
}

/// The instance that leads the latest term told of.
fn last_leader(fleet: &Fleet) -> String {
    let mut known = fleet.log_lines();
    known.retain(|line| line["name"] == "LEADER_KNOWN");
    let epoch = |line: &serde_json::Value| line["epoch"].as_str().unwrap().parse::<u64>().unwrap();
    let last = known.iter().max_by_key(|line| epoch(line)).unwrap();
    let life = last["leader"].as_str().unwrap();
    life.split('#').next().unwrap().to_owned()
}

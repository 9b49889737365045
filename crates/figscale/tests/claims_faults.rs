//! Faults of real entry instances. Throughout each test their dumps are polled to
//! check that no shard is used under a lower epoch than was in use before.

mod claims_support;
mod harness;

use claims_support::Cell;
use claims_support::LEASE_MS;
use nix::sys::signal;
use rstest::rstest;

/// Number of shards in use in the whole cell.
fn in_use(all: &[Option<claims_support::Claims>]) -> usize {
    let claims = all.iter().flatten();
    claims.map(|claims| claims.in_use().len()).sum()
}

async fn cell(len: usize) -> Cell {
    let mut cell = Cell::new(len).await;
    cell.start_all().await;
    cell.wait_for_witnesses().await;
    cell
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_and_restarted_under_its_address() {
    let mut cell = cell(3).await;
    cell.kill(0).await;
    cell.wait_for_holders(&[1, 2]).await;
    let unclean = cell.document().shards.values().any(|shard| !shard.clean);
    assert!(unclean, "a takeover is not clean");
    cell.launch(0);
    cell.wait_for_holders(&[0, 1, 2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_and_restarted_at_once() {
    let mut cell = cell(3).await;
    cell.kill(0).await;
    cell.launch(0);
    cell.wait_for_holders(&[0, 1, 2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_of_five_killed_at_once() {
    let mut cell = cell(5).await;
    cell.kill(0).await;
    cell.kill(1).await;
    cell.wait_for_holders(&[2, 3, 4]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_past_its_lease_and_resumed() {
    let mut cell = cell(3).await;
    cell.signal(0, signal::Signal::SIGSTOP);
    cell.wait_for_holders(&[1, 2]).await;
    cell.signal(0, signal::Signal::SIGCONT);
    // It must not use the shards that it held before; every poll checks this.
    cell.wait_for_holders(&[0, 1, 2]).await;
}

/// The resumed instance is cut off and cannot learn that it lost its shards; only
/// its clock can stop it from using them.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_and_resumed_while_cut_off() {
    let mut cell = cell(3).await;
    cell.signal(0, signal::Signal::SIGSTOP);
    cell.cut_off(0, &[1, 2]);
    cell.wait_for_holders(&[1, 2]).await;
    cell.signal(0, signal::Signal::SIGCONT);
    cell.wait_until("an answer of the resumed instance", |all| all[0].is_some())
        .await;
    cell.poll_for(LEASE_MS).await;
    for other in [1, 2] {
        cell.cut_peers(0, other, false);
    }
    cell.cut_store(0, false);
    cell.wait_for_holders(&[0, 1, 2]).await;
}

#[rstest]
#[case::store(true, false)]
#[case::store_and_peers(true, true)]
#[tokio::test(flavor = "multi_thread")]
async fn cut_off(#[case] store: bool, #[case] peers: bool) {
    let mut cell = cell(3).await;
    for other in [1, 2] {
        cell.cut_peers(0, other, peers);
    }
    cell.cut_store(0, store);
    cell.wait_for_holders(&[1, 2]).await;
    for other in [1, 2] {
        cell.cut_peers(0, other, false);
    }
    cell.cut_store(0, false);
    cell.wait_for_holders(&[0, 1, 2]).await;
}

#[rstest]
#[case::questions(true)]
#[case::answers(false)]
#[tokio::test(flavor = "multi_thread")]
async fn cut_from_the_store_one_way(#[case] questions: bool) {
    let mut cell = cell(3).await;
    cell.store_path(0).change_faults(|faults| match questions {
        true => faults.to_target.cut = true,
        false => faults.to_client.cut = true,
    });
    cell.wait_until("holders other than the instance cut off", |all| {
        let uses = |index: usize| all[index].as_ref().map_or(0, |c| c.in_use().len());
        uses(0) == 0 && uses(1) + uses(2) == claims_support::shard_count(2)
    })
    .await;
    cell.store_path(0).change_faults(|faults| {
        faults.cut_both(false);
    });
    cell.wait_for_holders(&[0, 1, 2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_from_peers_only_changes_nothing() {
    let mut cell = cell(3).await;
    let before = cell.document().shards;
    for other in [1, 2] {
        cell.cut_peers(0, other, true);
    }
    cell.poll_for(2 * LEASE_MS).await;
    cell.wait_for_holders(&[0, 1, 2]).await;
    assert_eq!(cell.document().shards, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down_for_long_while_an_entry_dies() {
    let mut cell = cell(4).await;
    let lost = cell.claims(3).await.unwrap().in_use().len();
    cell.platform.change_faults(|faults| faults.outage = true);
    cell.wait_until("promises", |all| {
        all.iter()
            .flatten()
            .all(claims_support::Claims::by_promises)
    })
    .await;
    cell.kill(3).await;
    let left = claims_support::shard_count(2) - lost;
    for _ in 0..20 {
        cell.poll_for(LEASE_MS / 4).await;
        let all = cell.poll().await;
        assert_eq!(in_use(&all), left, "an outage stops no holder");
    }
    cell.platform.expire_all_leases();
    cell.platform.change_faults(|faults| faults.outage = false);
    cell.wait_for_holders(&[0, 1, 2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_in_an_outage() {
    let mut cell = cell(3).await;
    cell.platform.change_faults(|faults| faults.outage = true);
    cell.wait_until("promises", |all| {
        all.iter()
            .flatten()
            .all(claims_support::Claims::by_promises)
    })
    .await;
    for other in [1, 2] {
        cell.cut_peers(0, other, true);
    }
    cell.wait_until("the end of authority of the isolated instance", |all| {
        let lone = all[0]
            .as_ref()
            .is_some_and(|claims| !claims.has_authority());
        lone && all[1..]
            .iter()
            .flatten()
            .all(claims_support::Claims::by_promises)
    })
    .await;
    cell.platform.change_faults(|faults| faults.outage = false);
    for other in [1, 2] {
        cell.cut_peers(0, other, false);
    }
    cell.wait_for_holders(&[0, 1, 2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_slow() {
    let mut cell = cell(3).await;
    let before = cell.document().shards;
    cell.platform
        .change_faults(|faults| faults.answer_delay_ms = 300);
    cell.poll_for(3 * LEASE_MS).await;
    cell.wait_for_holders(&[0, 1, 2]).await;
    assert_eq!(cell.document().shards, before, "a slow store moves nothing");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_lost_after_the_write() {
    let mut cell = Cell::new(4).await;
    cell.platform
        .change_faults(|faults| faults.lose_answer_probability = 0.5);
    cell.start_all().await;
    cell.kill(0).await;
    cell.wait_for_holders(&[1, 2, 3]).await;
    cell.platform
        .change_faults(|faults| faults.lose_answer_probability = 0.0);
    cell.signal(1, signal::Signal::SIGTERM);
    assert_eq!(cell.wait_for_exit(1).await, Some(0));
    cell.wait_for_holders(&[2, 3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_replaced_at_once_in_an_outage() {
    let mut cell = cell(3).await;
    cell.platform.change_faults(|faults| faults.outage = true);
    for index in 0..3 {
        cell.kill(index).await;
        cell.launch(index);
    }
    cell.poll_for(LEASE_MS).await;
    cell.platform.change_faults(|faults| faults.outage = false);
    cell.wait_for_holders(&[0, 1, 2]).await;
}

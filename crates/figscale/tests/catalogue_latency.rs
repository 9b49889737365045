//! Measures the time from sending a change until it is in force everywhere, by all
//! paths and by each alone, and the cost at the store.
//!
//! `FIGSCALE_MEASURE_N=20 cargo test --release -p figscale --test
//! catalogue_latency -- --nocapture --test-threads 1` prints the figures of
//! docs/design/catalogue.md; without the variable one change is made in each
//! case, which shows that the measurement itself works. No speed is asserted.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

mod harness;

use std::env;
use std::time;

use futures_util::future;
use harness::operator::change;
use indexmap::IndexMap;
use rstest::rstest;
use serde_json::json;

/// Entry instances of the smaller user today.
const ENTRIES: usize = 6;

/// The propagation paths that are open.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Paths {
    All,
    Watch,
    Push,
    PollStore,
    PollPeers,
}

impl Paths {
    fn settings(self) -> serde_json::Value {
        match self {
            Self::All | Self::PollStore | Self::PollPeers => json!({}),
            Self::Watch | Self::Push => {
                json!({ "catalogue": { "poll_ms": 60_000, "watch_ms": 60_000 } })
            }
        }
    }

    async fn close_others(self, cell: &harness::Cell) {
        let others = 1..ENTRIES;
        match self {
            Self::All => {}
            Self::Watch => cut_all_peers(cell),
            Self::Push => others.for_each(|index| cell.cut_store(index, true)),
            Self::PollStore => {
                cut_all_peers(cell);
                cell.platform
                    .change_faults(|faults| faults.deaf_watches = true);
            }
            Self::PollPeers => {
                for index in others {
                    cell.cut_store(index, true);
                    let push = cell.peer_path(0, index);
                    push.change_faults(|faults| faults.to_target.cut = true);
                    let what = format!("log of the outage by entry-{index}");
                    harness::wait_until(&what, || async {
                        cell.log(index).contains("CATALOGUE_STORE_AWAY")
                    })
                    .await;
                }
            }
        }
    }
}

fn cut_all_peers(cell: &harness::Cell) {
    for one in 0..ENTRIES {
        (0..one).for_each(|other| cell.cut_peers(one, other, true));
    }
}

fn rounds() -> u32 {
    let given = env::var("FIGSCALE_MEASURE_N").ok();
    given.map_or(1, |n| n.parse().unwrap())
}

/// Idle time whose calls are the baseline for the cost of changes.
fn rest_time() -> time::Duration {
    match rounds() {
        1 => time::Duration::ZERO,
        _ => time::Duration::from_secs(20),
    }
}

/// Calls per second by kind, summed over all entry instances.
fn by_kind(cell: &harness::Cell, during: time::Duration) -> String {
    let mut kinds: IndexMap<String, u64> = IndexMap::new();
    for (kind, counts) in cell.platform.counts().into_values().flatten() {
        *kinds.entry(format!("{kind:?}")).or_default() += counts.calls;
    }
    let rate = |calls: u64| calls as f64 / during.as_secs_f64();
    let shown: Vec<String> = kinds
        .into_iter()
        .map(|(kind, calls)| format!("{kind} {:.1}", rate(calls)))
        .collect();
    shown.join(", ")
}

#[rstest]
#[case::all(Paths::All)]
#[case::watch(Paths::Watch)]
#[case::push(Paths::Push)]
#[case::poll_store(Paths::PollStore)]
#[case::poll_peers(Paths::PollPeers)]
#[tokio::test(flavor = "multi_thread")]
async fn time_until_in_force(#[case] paths: Paths) {
    let plan = harness::Plan {
        entries: ENTRIES,
        settings: paths.settings(),
        ..harness::Plan::default()
    };
    let cell = harness::Cell::start(plan).await;
    let all: Vec<usize> = (0..ENTRIES).collect();
    cell.wait_for_members(&all).await;
    cell.operator(0).apply(&change(0, 1)).await.unwrap();
    cell.wait_for_revision(&all, 1).await;
    paths.close_others(&cell).await;
    cell.platform.reset_counts();
    let began = time::Instant::now();
    let mut answered = Vec::new();
    let mut in_force = Vec::new();
    for round in 1..=rounds() {
        let sent = time::Instant::now();
        let request = change(round.into(), round + 1);
        cell.operator(0).apply(&request).await.unwrap();
        answered.push(sent.elapsed());
        let times = all.iter().map(|index| async {
            cell.wait_for_revision(&[*index], u64::from(round) + 1)
                .await;
            sent.elapsed()
        });
        in_force.push(future::join_all(times).await.into_iter().max().unwrap());
    }
    let took = began.elapsed();
    let busy = cell.platform.total();
    cell.platform.reset_counts();
    let resting = took.max(rest_time());
    tokio::time::sleep(resting).await;
    let rest = cell.platform.total();
    let share = took.as_secs_f64() / resting.as_secs_f64();
    let per_change =
        |busy: u64, rest: u64| (busy as f64 - rest as f64 * share).max(0.0) / f64::from(rounds());
    println!(
        "{paths:?}: n {}, answered {}, in force everywhere {}; store for a change: \
         {:.1} calls, {:.0} bytes in, {:.0} bytes out; at rest {:.1} calls/s: {}",
        rounds(),
        median_and_worst(answered),
        median_and_worst(in_force),
        per_change(busy.calls, rest.calls),
        per_change(busy.received_bytes, rest.received_bytes),
        per_change(busy.sent_bytes, rest.sent_bytes),
        rest.calls as f64 / resting.as_secs_f64(),
        by_kind(&cell, resting),
    );
}

fn median_and_worst(mut times: Vec<time::Duration>) -> String {
    times.sort_unstable();
    let median = times[times.len() / 2];
    let worst = times.last().copied().unwrap_or_default();
    format!("{} ms (worst {} ms)", median.as_millis(), worst.as_millis())
}

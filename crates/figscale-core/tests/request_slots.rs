//! The slot table: limits of a runner through take-overs and lost requests.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::time;

use figscale_core::request::slots;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use indexmap::IndexMap;
use proptest::prelude::*;
use rstest::rstest;

const SLOTS: u32 = 8;
const SETTLE_MS: u64 = 100;
const RUN_MS: u64 = 1_000;

fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn instance(life: instances::Life) -> instances::Instance {
    instances::Instance {
        id: runner(),
        role: instances::Role::Runner,
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "d1".parse().unwrap(),
        rack: "r1".parse().unwrap(),
        service: Some("hullrate".parse().unwrap()),
        capacity: sizes::Resources::default(),
        slots: SLOTS,
        connections: 60,
        life,
    }
}

fn runner() -> ids::InstanceId {
    "runner-1".parse().unwrap()
}

fn shard() -> ids::ShardId {
    "runner/hullrate/d1/r1".parse().unwrap()
}

fn table() -> slots::SlotTable {
    slots::SlotTable::new(slots::SlotConfig {
        settle: ms(SETTLE_MS),
    })
}

/// Acquires the shard; `last` is the last dispatch of an earlier holder.
fn acquire(
    table: &mut slots::SlotTable,
    epoch: u64,
    last: Option<time::Instant>,
    now: time::Instant,
) {
    let held = slots::HeldShard {
        epoch: ids::Epoch(epoch),
        last_foreign_dispatch: last,
        runners: vec![instance(instances::Life::Live)],
    };
    let held = IndexMap::from([(shard(), held)]);
    table.update(&held, |_| ms(RUN_MS), now);
}

fn free(table: &slots::SlotTable, now: time::Instant) -> u32 {
    table.runner(&runner()).map_or(0, |runner| runner.free(now))
}

#[test]
fn a_clean_hand_over_leaves_every_slot_free() {
    let now = time::Instant::now();
    let mut table = table();
    acquire(&mut table, 1, None, now);
    assert_eq!(free(&table, now), SLOTS);
}

#[test]
fn an_unclean_take_over_withholds_all_slots_for_the_longest_run() {
    let now = time::Instant::now();
    let mut table = table();
    acquire(&mut table, 1, Some(now), now);
    let end = now + ms(SETTLE_MS + RUN_MS);
    assert_eq!(free(&table, end - ms(1)), 0);
    assert!(!table.take(&runner(), end - ms(1)));
    assert_eq!(free(&table, end), SLOTS);
}

#[rstest]
#[case::too_early(SETTLE_MS, 0, 0)]
#[case::late_enough(SETTLE_MS + 1, 0, 8)]
#[case::some_still_run(SETTLE_MS + 1, 3, 5)]
#[case::more_than_there_are(SETTLE_MS + 1, 9, 0)]
fn a_report_releases_slots_that_it_shows_free(
    #[case] taken_ms: u64,
    #[case] busy: u32,
    #[case] expected: u32,
) {
    let now = time::Instant::now();
    let mut table = table();
    acquire(&mut table, 1, Some(now), now);
    let taken = now + ms(taken_ms);
    table.report(&runner(), busy, taken, taken);
    assert_eq!(free(&table, taken), expected);
}

#[test]
fn a_lost_slot_is_released_by_a_report_or_by_time() {
    let now = time::Instant::now();
    let mut table = table();
    acquire(&mut table, 1, None, now);
    assert!(table.take(&runner(), now));
    table.mark_lost(&runner(), ms(RUN_MS), now);
    assert_eq!(free(&table, now), SLOTS - 1);
    table.report(&runner(), 0, now + ms(SETTLE_MS), now + ms(SETTLE_MS));
    assert_eq!(free(&table, now), SLOTS - 1, "a report that is too early");
    assert_eq!(free(&table, now + ms(SETTLE_MS + RUN_MS)), SLOTS);
    let late = now + ms(SETTLE_MS + 1);
    table.report(&runner(), 0, late, late);
    assert_eq!(free(&table, late), SLOTS);
}

#[rstest]
#[case::by_the_list(true)]
#[case::by_itself(false)]
fn a_leaving_runner_gets_no_requests(#[case] by_list: bool) {
    let now = time::Instant::now();
    let mut table = table();
    acquire(&mut table, 1, None, now);
    if by_list {
        let held = slots::HeldShard {
            epoch: ids::Epoch(1),
            last_foreign_dispatch: None,
            runners: vec![instance(instances::Life::Leaving)],
        };
        table.update(&IndexMap::from([(shard(), held)]), |_| ms(RUN_MS), now);
    } else {
        table.mark_leaving(&runner());
    }
    assert!(!table.take(&runner(), now));
}

#[test]
fn requests_in_progress_count_after_the_shard_is_released_and_held_again() {
    let now = time::Instant::now();
    let mut table = table();
    acquire(&mut table, 1, None, now);
    for _ in 0..3 {
        assert!(table.take(&runner(), now));
    }
    table.update(&IndexMap::new(), |_| ms(RUN_MS), now);
    assert_eq!(free(&table, now), 0);
    assert!(!table.is_shard_idle(&shard(), now));
    // Held again; the holder in between left nothing in progress.
    acquire(&mut table, 3, None, now);
    assert_eq!(free(&table, now), SLOTS - 3);
}

/// One step of the runner and its holders.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Dispatch,
    /// The request with this index ends, and its holder observes the end.
    End(prop::sample::Index),
    /// The connection of the request with this index breaks; it runs on.
    Break(prop::sample::Index),
    Report,
    /// Another holder takes over without knowing which requests run.
    TakeOver,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1_u64..400).prop_map(Step::Wait),
        8 => Just(Step::Dispatch),
        3 => any::<prop::sample::Index>().prop_map(Step::End),
        2 => any::<prop::sample::Index>().prop_map(Step::Break),
        2 => Just(Step::Report),
        1 => Just(Step::TakeOver),
    ]
}

/// A request at the runner: when it arrives, when it must have ended, and whether
/// the present holder observes its end.
#[derive(Clone, Copy, Debug)]
struct Run {
    arrives: time::Instant,
    ends: time::Instant,
    observed: bool,
}

proptest! {
    /// A runner never has more requests than slots, also when requests of an
    /// earlier holder or of broken connections arrive late.
    #[test]
    fn a_runner_never_has_more_than_its_slots(
        steps in prop::collection::vec(step(), 1..300),
        seed in any::<u64>(),
    ) {
        let mut now = time::Instant::now();
        let mut table = table();
        acquire(&mut table, 1, None, now);
        let mut epoch = 1;
        let mut runs: Vec<Run> = Vec::new();
        let mut chance = seed;
        for step in steps {
            // Unobserved runs end by time, observed ones by a step.
            runs.retain(|run| run.observed || now < run.ends);
            match step {
                Step::Wait(wait) => now += ms(wait),
                Step::Dispatch if table.take(&runner(), now) => {
                    chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    let arrives = now + ms((chance >> 33) % SETTLE_MS);
                    let ends = arrives + ms(RUN_MS);
                    runs.push(Run { arrives, ends, observed: true });
                }
                Step::End(index) if !runs.is_empty() => {
                    let at = index.index(runs.len());
                    if runs[at].observed {
                        table.free(&runner());
                        runs.swap_remove(at);
                    }
                }
                Step::Break(index) if !runs.is_empty() => {
                    let at = index.index(runs.len());
                    if runs[at].observed {
                        runs[at].observed = false;
                        runs[at].ends = runs[at].ends.max(now + ms(RUN_MS));
                        table.mark_lost(&runner(), ms(RUN_MS), now);
                    }
                }
                Step::Report => {
                    let busy = runs.iter().filter(|run| run.arrives <= now).count();
                    table.report(&runner(), busy as u32, now, now);
                }
                Step::TakeOver => {
                    for run in &mut runs {
                        if run.observed {
                            run.observed = false;
                            run.ends = now + ms(RUN_MS);
                        }
                    }
                    epoch += 1;
                    table = self::table();
                    acquire(&mut table, epoch, Some(now), now);
                }
                _ => {}
            }
            runs.retain(|run| run.observed || now < run.ends);
            prop_assert!(runs.len() <= SLOTS as usize, "{} requests", runs.len());
        }
    }
}

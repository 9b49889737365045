//! Deduplication of request ids, at one home and through changes of home.

use std::time;

use figscale_core::request::dedup;
use figscale_core::request::dedup::AttemptId;
use figscale_core::request::dedup::Begin;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;
use proptest::prelude::*;
use rstest::rstest;

const TOLERANCE_MS: u64 = 100;

fn config() -> dedup::DedupConfig {
    dedup::DedupConfig {
        tolerance: time::Duration::from_millis(TOLERANCE_MS),
        capacity: 8,
        keep: time::Duration::from_millis(5_000),
    }
}

/// A UUIDv7 with this time stamp and this random part.
fn id(stamp_ms: u64, random: u64) -> ids::RequestId {
    let bits = (u128::from(stamp_ms) << 80) | (7 << 76) | (2 << 62) | u128::from(random);
    ids::RequestId(uuid::Uuid::from_u128(bits))
}

fn memory() -> dedup::SeenIds {
    dedup::SeenIds::new(config(), 10_000)
}

#[test]
fn an_id_is_admitted_once() {
    let mut memory = memory();
    let id = id(11_000, 1);
    assert_eq!(memory.begin(id, AttemptId(1), 11_000), Begin::Fresh);
    // The same attempt asks again after its response was lost.
    assert_eq!(memory.begin(id, AttemptId(1), 11_001), Begin::Fresh);
    let repeat = Begin::Repeat(Verdict::MayHaveRun);
    assert_eq!(memory.begin(id, AttemptId(2), 11_002), repeat);
    memory.end(id, AttemptId(1), Verdict::Ran);
    let repeat = Begin::Repeat(Verdict::Ran);
    assert_eq!(memory.begin(id, AttemptId(2), 11_003), repeat);
}

#[test]
fn an_id_that_did_not_run_may_begin_again() {
    let mut memory = memory();
    let id = id(11_000, 1);
    assert_eq!(memory.begin(id, AttemptId(1), 11_000), Begin::Fresh);
    memory.end(id, AttemptId(2), Verdict::NotRun);
    let repeat = Begin::Repeat(Verdict::MayHaveRun);
    assert_eq!(memory.begin(id, AttemptId(2), 11_001), repeat);
    memory.end(id, AttemptId(1), Verdict::NotRun);
    assert_eq!(memory.begin(id, AttemptId(2), 11_002), Begin::Fresh);
}

#[rstest]
#[case::long_before_the_floor(9_000, Begin::Forgotten)]
#[case::at_the_floor(10_200, Begin::Forgotten)]
#[case::after_the_floor(10_201, Begin::Fresh)]
#[case::ahead_within_the_tolerance(11_100, Begin::Fresh)]
#[case::in_the_future(11_101, Begin::FromFuture)]
fn a_time_stamp_decides_at_a_new_home(#[case] stamp_ms: u64, #[case] expected: Begin) {
    let answer = memory().begin(id(stamp_ms, 1), AttemptId(1), 11_000);
    assert_eq!(answer, expected);
    assert_eq!(
        answer.verdict(),
        match expected {
            Begin::Forgotten => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    );
}

#[test]
fn an_id_that_is_not_a_uuidv7_is_refused() {
    let random = ids::RequestId("8d3e0b0c-3f0c-4d2a-9d3f-1f0e2f3a4b5c".parse().unwrap());
    let answer = memory().begin(random, AttemptId(1), 11_000);
    assert_eq!(answer, Begin::FromFuture);
}

#[test]
fn memory_is_bounded_and_forgotten_ids_are_refused() {
    let mut memory = memory();
    for number in 0..100 {
        let id = id(11_000 + number, number);
        assert_eq!(memory.begin(id, AttemptId(1), 11_100), Begin::Fresh);
        assert!(memory.len() <= 8, "{} ids", memory.len());
    }
    for number in 0..92 {
        let answer = memory.begin(id(11_000 + number, number), AttemptId(2), 11_100);
        assert_eq!(answer, Begin::Forgotten, "id {number}");
    }
}

/// One step of the simulated run around a home.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    /// A new id from a caller whose clock is off by this many milliseconds.
    New(i64),
    /// Repeats one of the ids used so far.
    Repeat(prop::sample::Index),
    End(prop::sample::Index, bool),
    /// Another home takes over; its clock is off by this many milliseconds.
    NewHome(i64),
}

fn step() -> impl Strategy<Value = Step> {
    let off = -(TOLERANCE_MS as i64) / 2..=TOLERANCE_MS as i64 / 2;
    prop_oneof![
        (1_u64..200).prop_map(Step::Wait),
        (-150_i64..150).prop_map(Step::New),
        any::<prop::sample::Index>().prop_map(Step::Repeat),
        (any::<prop::sample::Index>(), any::<bool>()).prop_map(|(i, ran)| Step::End(i, ran)),
        off.prop_map(Step::NewHome),
    ]
}

proptest! {
    /// Homes forget ids, and change without a hand-over of their memory. Even so,
    /// no id is admitted again unless the earlier attempt is known not to have run.
    #[test]
    fn no_id_is_admitted_twice(steps in prop::collection::vec(step(), 1..200)) {
        let mut now_ms = 100_000_u64;
        let mut home_off = 0_i64;
        let mut memory = dedup::SeenIds::new(config(), now_ms);
        let mut seen = Vec::new();
        let mut open = IndexMap::<ids::RequestId, AttemptId>::new();
        let mut attempt = 0;
        for step in steps {
            let home_ms = now_ms.checked_add_signed(home_off).unwrap();
            let asked = match step {
                Step::Wait(ms) => {
                    now_ms += ms;
                    None
                }
                Step::New(off) => {
                    let stamp = now_ms.checked_add_signed(off).unwrap();
                    seen.push(id(stamp, seen.len() as u64));
                    seen.last().copied()
                }
                Step::Repeat(index) if !seen.is_empty() => Some(*index.get(&seen)),
                Step::End(index, ran) if !open.is_empty() => {
                    let at = index.index(open.len());
                    let (id, attempt) = open.get_index(at).map(|(id, a)| (*id, *a)).unwrap();
                    let verdict = if ran { Verdict::Ran } else { Verdict::NotRun };
                    memory.end(id, attempt, verdict);
                    if !ran {
                        open.swap_remove(&id);
                    }
                    None
                }
                Step::NewHome(off) => {
                    home_off = off;
                    let taken = now_ms.checked_add_signed(off).unwrap();
                    memory = dedup::SeenIds::new(config(), taken);
                    None
                }
                _ => None,
            };
            if let Some(id) = asked {
                attempt += 1;
                if memory.begin(id, AttemptId(attempt), home_ms) == Begin::Fresh {
                    let before = open.insert(id, AttemptId(attempt));
                    prop_assert!(before.is_none(), "{id} was admitted twice");
                }
            }
        }
    }
}

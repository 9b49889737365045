//! Learning how fast workers are, from their reports.

mod load;

use figscale_core::fleet::RecordKey;
use rstest::rstest;

use load::Load;
use load::Progress;

const WORKERS: usize = 48;

fn even(_: usize, _: u64) -> f64 {
    1.0
}

fn third_slow(number: usize, _: u64) -> f64 {
    if number.is_multiple_of(3) { 1.7 } else { 0.7 }
}

fn third_slightly_slow(number: usize, _: u64) -> f64 {
    if number.is_multiple_of(3) { 1.3 } else { 1.0 }
}

const SLOWED: usize = 6;

/// The first workers take 4.5 times as long from 10 to 15 s.
fn with_transient_slowdowns(number: usize, elapsed_ms: u64) -> f64 {
    let slowed = number < SLOWED && (10_000..15_000).contains(&elapsed_ms);
    if slowed { 4.5 } else { 1.0 }
}

/// Number of workers whose slowdown is not within a fifth of `expected`, among those
/// that have had work for at least `loaded_ms`; and the number of these.
fn wrong(load: &Load, loaded_ms: u64, expected: fn(usize) -> f64) -> (usize, usize) {
    let slowdowns = load.slowdowns().into_iter().enumerate();
    let loaded = slowdowns.filter(|(number, _)| load.loaded_ms[*number] >= loaded_ms);
    let loaded: Vec<(usize, u32)> = loaded.collect();
    let is_wrong = |(number, percent): &&(usize, u32)| {
        let ratio = f64::from(*percent) / 100.0 / expected(*number);
        !(0.83..1.2).contains(&ratio)
    };
    (loaded.iter().filter(is_wrong).count(), loaded.len())
}

// A third of the workers takes 1.7 times and the others 0.7 times the ordinary time;
// or a third 1.3 times. Guards against estimates of steps that hide workers' speed.
#[rstest]
#[case(third_slow, |number| if number % 3 == 0 { 1.7 / 0.7 } else { 1.0 })]
#[case(third_slightly_slow, |number| if number % 3 == 0 { 1.3 } else { 1.0 })]
fn a_slow_third_is_known_after_seconds_of_load(
    #[case] slowdown: fn(usize, u64) -> f64,
    #[case] expected: fn(usize) -> f64,
    #[values(1, 2)] seed: u64,
) {
    let mut load = Load::new(WORKERS, slowdown, seed);
    load.run_for(20);
    let (wrong, loaded) = wrong(&load, 5_000, expected);
    assert!(loaded >= WORKERS * 2 / 3, "only {loaded} had work");
    assert!(
        wrong * 10 <= loaded,
        "{wrong} of {loaded} are wrong: {:?}",
        load.slowdowns()
    );
}

// Equal workers with rough estimates and slow tasks. Guards against noise that is
// taken for a difference.
#[rstest]
fn equal_workers_stay_equal(#[values(1, 2)] seed: u64) {
    let mut load = Load::new(WORKERS, even, seed);
    for second in 0..30 {
        load.run_for(1);
        assert_eq!(wrong(&load, 0, |_| 1.0), (0, WORKERS), "after {second} s");
        let unequal = load
            .slowdowns()
            .iter()
            .filter(|percent| **percent != 100)
            .count();
        assert_eq!(unequal, 0, "after {second} s");
    }
}

// Some workers take 4.5 times as long for 5 s. Guards against an estimate that follows
// too late to be of use, or that takes others for slow.
#[rstest]
fn a_transient_slowdown_is_followed_both_ways(#[values(1, 2, 3)] seed: u64) {
    let mut load = Load::new(WORKERS, with_transient_slowdowns, seed);
    load.run_for(10);
    let before = load.loaded_ms.clone();
    load.run_for(3);
    let slowdowns = load.slowdowns();
    let loaded = (0..SLOWED).filter(|number| load.loaded_ms[*number] >= before[*number] + 2_500);
    let loaded: Vec<usize> = loaded.collect();
    assert!(loaded.len() >= 3, "only {loaded:?} had work");
    let followed = |number: &&usize| (300..=700).contains(&slowdowns[**number]);
    let known = loaded.iter().filter(followed).count();
    assert!(known * 3 >= loaded.len() * 2, "{known}: {slowdowns:?}");
    assert!(slowdowns[SLOWED..].iter().all(|percent| *percent == 100));
    load.run_for(5);
    let slowdowns = load.slowdowns();
    assert!(
        slowdowns.iter().all(|percent| *percent == 100),
        "{slowdowns:?}"
    );
}

// Progress that is missing, stands still, falls or exceeds 100. Guards against
// figures that make workers slow which are not.
#[rstest]
#[case(|_| 0)]
#[case(|percent: u32| percent.min(40))]
#[case(|percent: u32| 100 - percent)]
#[case(|percent: u32| percent * 3)]
#[case(|percent: u32| percent / 25 * 25)]
fn useless_progress_does_no_harm(#[case] progress: Progress) {
    let mut load = Load::new(WORKERS, even, 4);
    load.progress = progress;
    for _ in 0..20 {
        load.run_for(1);
        let unequal: Vec<u32> = load
            .slowdowns()
            .into_iter()
            .filter(|percent| *percent != 100)
            .collect();
        assert!(
            unequal.is_empty(),
            "after {} ms: {unequal:?}",
            load.elapsed_ms
        );
    }
    let mut load = Load::new(WORKERS, third_slow, 4);
    load.progress = progress;
    load.run_for(20);
    let expected = |number: usize| {
        if number.is_multiple_of(3) {
            1.7 / 0.7
        } else {
            1.0
        }
    };
    let (wrong, loaded) = wrong(&load, 10_000, expected);
    assert!(
        wrong * 10 <= loaded,
        "{wrong} of {loaded} are wrong: {:?}",
        load.slowdowns()
    );
}

// The leader is killed. Guards against a term that begins without the speeds that
// the last one learned.
#[test]
fn a_new_leader_knows_speeds_from_the_record() {
    let mut load = Load::new(WORKERS, third_slow, 5);
    load.run_for(26);
    let known = load.slowdowns();
    let slow = known.iter().filter(|percent| **percent > 150).count();
    assert!(slow >= 10, "{known:?}");
    let written = &load.speeds_written_ms;
    assert!(written.windows(2).all(|times| times[1] >= times[0] + 5_000));
    load.cluster.take_over(2);
    let same = load
        .slowdowns()
        .iter()
        .zip(&known)
        .filter(|(a, b)| a == b)
        .count();
    assert!(
        same >= WORKERS - 3,
        "{same} of {WORKERS} are known as before"
    );
    assert_ne!(load.run_times(0).typical_percent, 100);
    load.cluster.add_worker(WORKERS, 32);
    assert_eq!(
        load.slowdowns()[WORKERS],
        100,
        "unknown, of a kind with both speeds"
    );
    load.cluster.store.insert(RecordKey::Speeds, vec![9, 9]);
    assert!(load.cluster.scheduler.load_speeds(&[9, 9]).is_err());
}

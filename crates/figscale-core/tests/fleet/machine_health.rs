//! Instances whose machine becomes slow: when a leader hands over, and when a
//! candidate delays its candidacy.
//!
//! Guards against an instance that takes itself for as strong as its settings
//! say. The machine of a leader ran five times slower for six seconds, or a
//! slowed instance won the election after the leader's end: quick jobs were
//! late for these six seconds, and the same day had two outcomes by chance. A
//! fixed computation, timed at each sample, took five times as long on that
//! machine during all that time, and nowhere else.

use std::time;

use figscale_core::fleet::HandoverLag;
use figscale_core::fleet::MachineHealth;
use figscale_core::fleet::MachineHealthChange;
use figscale_core::fleet::SAMPLE_INTERVAL;
use figscale_core::fleet::candidacy_delay;
use figscale_core::fleet::is_clearly_stronger;
use rstest::rstest;

const OWN_MILLIS: u64 = 250;
const WEAKER_MILLIS: u64 = 120;
const BASELINE_US: u64 = 28;
const SLOW_US: u64 = 150;
const ON_TIME_US: u64 = 1_100;
const LATE_US: u64 = 11_000;

/// An instance that samples its machine, with its findings.
struct Instance {
    fitness: MachineHealth,
    begun: time::Instant,
    now: time::Instant,
    turns: Vec<MachineHealthChange>,
    /// When it would first have handed over as a leader, and why.
    handed_over: Option<(time::Duration, HandoverLag)>,
}

impl Instance {
    /// An instance whose machine has been normal for ten seconds.
    fn steady() -> Self {
        let now = time::Instant::now();
        let mut instance = Self {
            fitness: MachineHealth::default(),
            begun: now,
            now,
            turns: Vec::new(),
            handed_over: None,
        };
        instance.sample_for(10_000, ON_TIME_US, BASELINE_US);
        instance.begun = instance.now;
        instance
    }

    fn sample_for(&mut self, millis: u64, late_us: u64, took_us: u64) {
        let until = self.now + time::Duration::from_millis(millis);
        while self.now < until {
            self.take_sample(late_us, took_us);
        }
    }

    fn take_sample(&mut self, late_us: u64, took_us: u64) {
        let late = time::Duration::from_micros(late_us);
        let took = time::Duration::from_micros(took_us);
        self.now += SAMPLE_INTERVAL + late;
        self.turns
            .extend(self.fitness.add_sample(late, took, self.now));
        let lag = self.fitness.handover_lag(self.now);
        let stronger = is_clearly_stronger(OWN_MILLIS, self.remaining_millis());
        if let Some(lag) = lag.filter(|_| stronger && self.handed_over.is_none()) {
            self.handed_over = Some((self.now - self.begun, lag));
        }
    }

    fn remaining_millis(&self) -> u64 {
        self.fitness.capacity_left(OWN_MILLIS)
    }
}

#[test]
fn a_leader_on_a_slow_machine_hands_over_within_a_second_and_a_half() {
    let mut leader = Instance::steady();
    leader.sample_for(6_000, LATE_US, SLOW_US);
    let (after, lag) = leader.handed_over.expect("the leader did not hand over");
    let millis = after.as_millis();
    assert!((800..1_500).contains(&millis), "after {millis} ms");
    assert_eq!(lag.late, time::Duration::from_micros(LATE_US));
    assert!(lag.age >= time::Duration::from_millis(800));
}

/// A leader of 350 workers takes about three samples a second in this case.
#[test]
fn an_overloaded_leader_on_a_slow_machine_hands_over_sooner() {
    let mut leader = Instance::steady();
    leader.sample_for(3_000, 210_000, SLOW_US);
    let (after, _) = leader.handed_over.expect("the leader did not hand over");
    assert!(after < time::Duration::from_millis(1_000), "{after:?}");
}

#[rstest]
#[case::busy_on_a_normal_machine(9_100, BASELINE_US)]
#[case::overloaded_on_a_normal_machine(210_000, BASELINE_US * 2)]
#[case::slow_machine_with_timers_on_time(1_600, SLOW_US)]
#[case::idle_on_a_slightly_slower_machine(ON_TIME_US, BASELINE_US * 2 + 20)]
fn a_leader_does_not_hand_over_for_load_or_slowness_alone(
    #[case] late_us: u64,
    #[case] took_us: u64,
) {
    let mut leader = Instance::steady();
    leader.sample_for(6_000, late_us, took_us);
    assert_eq!(leader.handed_over, None);
}

#[test]
fn a_past_freeze_does_not_count_as_a_slow_machine() {
    let mut leader = Instance::steady();
    for _ in 0..5 {
        leader.take_sample(3_000_000, BASELINE_US);
        leader.take_sample(1_000, 2_000_000);
        leader.sample_for(400, ON_TIME_US, BASELINE_US);
    }
    assert_eq!(leader.handed_over, None);
    assert_eq!(leader.turns, []);
}

#[test]
fn a_short_stall_does_not_cause_a_handover() {
    let mut leader = Instance::steady();
    for _ in 0..10 {
        leader.sample_for(600, LATE_US, SLOW_US);
        leader.sample_for(1_000, ON_TIME_US, BASELINE_US);
    }
    assert_eq!(leader.handed_over, None);
}

#[test]
fn a_slow_leader_does_not_hand_over_to_weaker_instances() {
    let mut leader = Instance::steady();
    leader.sample_for(6_000, LATE_US, BASELINE_US * 4);
    assert!(leader.handed_over.is_some());
    assert!(!is_clearly_stronger(
        WEAKER_MILLIS,
        leader.remaining_millis()
    ));
}

#[test]
fn a_slow_instance_delays_its_candidacy_until_it_stays_normal() {
    let mut instance = Instance::steady();
    assert!(candidacy_delay(instance.remaining_millis(), OWN_MILLIS).is_zero());
    instance.sample_for(600, 1_600, SLOW_US);
    assert!(!candidacy_delay(instance.remaining_millis(), OWN_MILLIS).is_zero());
    // A single normal span is not enough.
    instance.sample_for(5_000, 1_600, SLOW_US);
    instance.sample_for(500, ON_TIME_US, BASELINE_US);
    assert!(!candidacy_delay(instance.remaining_millis(), OWN_MILLIS).is_zero());
    instance.sample_for(1_000, ON_TIME_US, BASELINE_US);
    assert!(candidacy_delay(instance.remaining_millis(), OWN_MILLIS).is_zero());
    assert!(matches!(
        instance.turns[..],
        [MachineHealthChange::Slow(5), MachineHealthChange::Normal(_)]
    ));
}

#[test]
fn among_slow_instances_the_fastest_runs_for_leader_first() {
    let slow = |took_us| {
        let mut instance = Instance::steady();
        instance.sample_for(1_000, 1_600, took_us);
        instance.remaining_millis()
    };
    let (better, worse) = (slow(BASELINE_US * 3), slow(BASELINE_US * 6));
    assert!(candidacy_delay(better, better).is_zero());
    assert!(!candidacy_delay(worse, better).is_zero());
}

/// A machine that stays slow is judged by its new pace.
#[test]
fn lasting_slowness_becomes_the_baseline() {
    let mut instance = Instance::steady();
    instance.sample_for(200_000, 1_600, SLOW_US);
    assert_eq!(instance.remaining_millis(), OWN_MILLIS);
}

#[test]
fn a_new_process_does_not_judge_its_machine() {
    let now = time::Instant::now();
    let fitness = MachineHealth::default();
    let mut instance = Instance {
        fitness,
        begun: now,
        now,
        turns: Vec::new(),
        handed_over: None,
    };
    instance.sample_for(600, ON_TIME_US, BASELINE_US);
    instance.sample_for(1_000, LATE_US, SLOW_US);
    assert_eq!(instance.turns, []);
    assert_eq!(instance.handed_over, None);
}

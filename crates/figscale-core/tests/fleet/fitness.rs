//! Machines that turn slow: who hands over, and who stands a moment later.
//!
//! Seen: for six seconds quick jobs were late, and one day had two outcomes by
//! chance. How it came about: the machine of the leader ran five times slower
//! for so long, or a slowed instance won the election after the leader's end.
//! What caused it: an instance took itself for as strong as its settings say.
//! What speaks for it: a fixed piece of computing took five times as long there,
//! from the beginning of that time to its end, and nowhere else.

use std::time;

use figscale_core::fleet::BEAT;
use figscale_core::fleet::Fitness;
use figscale_core::fleet::Lag;
use figscale_core::fleet::Turn;
use figscale_core::fleet::is_clearly_stronger;
use figscale_core::fleet::standing_delay;
use rstest::rstest;

const OWN: u64 = 250;
const WEAKER: u64 = 120;
const USUAL_US: u64 = 28;
const SLOW_US: u64 = 150;
const ON_TIME_US: u64 = 1_100;
const LATE_US: u64 = 11_000;

/// An instance that beats, and what it found.
struct Instance {
    fitness: Fitness,
    begun: time::Instant,
    now: time::Instant,
    turns: Vec<Turn>,
    /// When it would first have handed over, and why.
    handed_over: Option<(time::Duration, Lag)>,
}

impl Instance {
    /// One that has been well for a while.
    fn calm() -> Self {
        let now = time::Instant::now();
        let mut instance = Self {
            fitness: Fitness::default(),
            begun: now,
            now,
            turns: Vec::new(),
            handed_over: None,
        };
        instance.beat_for(10_000, ON_TIME_US, USUAL_US);
        instance.begun = instance.now;
        instance
    }

    fn beat_for(&mut self, millis: u64, late_us: u64, took_us: u64) {
        let until = self.now + time::Duration::from_millis(millis);
        while self.now < until {
            self.beat(late_us, took_us);
        }
    }

    fn beat(&mut self, late_us: u64, took_us: u64) {
        let late = time::Duration::from_micros(late_us);
        let took = time::Duration::from_micros(took_us);
        self.now += BEAT + late;
        self.turns.extend(self.fitness.beat(late, took, self.now));
        let lag = self.fitness.lasting_lag(self.now);
        let stronger = is_clearly_stronger(OWN, self.left());
        if let Some(lag) = lag.filter(|_| stronger && self.handed_over.is_none()) {
            self.handed_over = Some((self.now - self.begun, lag));
        }
    }

    fn left(&self) -> u64 {
        self.fitness.left_of(OWN)
    }
}

#[test]
fn a_leader_on_a_slow_machine_hands_over_within_a_second_and_a_half() {
    let mut leader = Instance::calm();
    leader.beat_for(6_000, LATE_US, SLOW_US);
    let (after, lag) = leader.handed_over.expect("it leads on");
    let millis = after.as_millis();
    assert!((800..1_500).contains(&millis), "after {millis} ms");
    assert_eq!(lag.late, time::Duration::from_micros(LATE_US));
    assert!(lag.age >= time::Duration::from_millis(800));
}

/// A leader of 350 workers beats three times a second then.
#[test]
fn so_does_one_that_hardly_gets_to_beat() {
    let mut leader = Instance::calm();
    leader.beat_for(3_000, 210_000, SLOW_US);
    let (after, _) = leader.handed_over.expect("it leads on");
    assert!(after < time::Duration::from_millis(1_000), "{after:?}");
}

#[rstest]
#[case::busy_on_a_sound_machine(9_100, USUAL_US)]
#[case::far_too_busy_on_a_sound_machine(210_000, USUAL_US * 2)]
#[case::slow_but_its_timers_are_on_time(1_600, SLOW_US)]
#[case::idle_and_a_little_slower(ON_TIME_US, USUAL_US * 2 + 20)]
fn a_leader_leads_on(#[case] late_us: u64, #[case] took_us: u64) {
    let mut leader = Instance::calm();
    leader.beat_for(6_000, late_us, took_us);
    assert_eq!(leader.handed_over, None);
}

#[test]
fn a_freeze_that_is_over_changes_nothing() {
    let mut leader = Instance::calm();
    for _ in 0..5 {
        leader.beat(3_000_000, USUAL_US);
        leader.beat(1_000, 2_000_000);
        leader.beat_for(400, ON_TIME_US, USUAL_US);
    }
    assert_eq!(leader.handed_over, None);
    assert_eq!(leader.turns, []);
}

#[test]
fn a_short_stall_is_no_reason_to_hand_over() {
    let mut leader = Instance::calm();
    for _ in 0..10 {
        leader.beat_for(600, LATE_US, SLOW_US);
        leader.beat_for(1_000, ON_TIME_US, USUAL_US);
    }
    assert_eq!(leader.handed_over, None);
}

#[test]
fn a_slow_leader_beside_weaker_instances_leads_on() {
    let mut leader = Instance::calm();
    leader.beat_for(6_000, LATE_US, USUAL_US * 4);
    assert!(leader.handed_over.is_some());
    assert!(!is_clearly_stronger(WEAKER, leader.left()));
}

#[test]
fn a_slow_instance_stands_later_until_it_has_been_well_for_a_while() {
    let mut instance = Instance::calm();
    assert!(standing_delay(instance.left(), OWN).is_zero());
    instance.beat_for(600, 1_600, SLOW_US);
    assert!(!standing_delay(instance.left(), OWN).is_zero());
    // One good span is not enough.
    instance.beat_for(5_000, 1_600, SLOW_US);
    instance.beat_for(500, ON_TIME_US, USUAL_US);
    assert!(!standing_delay(instance.left(), OWN).is_zero());
    instance.beat_for(1_000, ON_TIME_US, USUAL_US);
    assert!(standing_delay(instance.left(), OWN).is_zero());
    assert!(matches!(instance.turns[..], [Turn::Slow(5), Turn::Well(_)]));
}

#[test]
fn where_all_are_slow_the_best_stands_first() {
    let slow = |took_us| {
        let mut instance = Instance::calm();
        instance.beat_for(1_000, 1_600, took_us);
        instance.left()
    };
    let (better, worse) = (slow(USUAL_US * 3), slow(USUAL_US * 6));
    assert!(standing_delay(better, better).is_zero());
    assert!(!standing_delay(worse, better).is_zero());
}

/// A machine that stays as it is has turned into what it is.
#[test]
fn what_lasts_becomes_the_usual() {
    let mut instance = Instance::calm();
    instance.beat_for(200_000, 1_600, SLOW_US);
    assert_eq!(instance.left(), OWN);
}

#[test]
fn a_process_that_has_just_started_judges_nothing() {
    let now = time::Instant::now();
    let fitness = Fitness::default();
    let mut instance = Instance {
        fitness,
        begun: now,
        now,
        turns: Vec::new(),
        handed_over: None,
    };
    instance.beat_for(600, ON_TIME_US, USUAL_US);
    instance.beat_for(1_000, LATE_US, SLOW_US);
    assert_eq!(instance.turns, []);
    assert_eq!(instance.handed_over, None);
}

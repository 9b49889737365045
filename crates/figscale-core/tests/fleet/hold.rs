//! Calls that wait for the store, against callers that are sent away at once.
//!
//! The pattern: the store answers nobody for 4.2 s, the longest of the users'
//! ordinary days, while callers come every 20 ms (50 a second). A caller waits
//! 3 s in all, tries five times at most, and comes back a second after a
//! refusal, as it is told.

use std::time;

use figscale_core::fleet::Held;
use figscale_core::fleet::hold_limit;
use figscale_types::fleet;

const OUTAGE: time::Duration = time::Duration::from_millis(4_200);
const PATIENCE: time::Duration = time::Duration::from_secs(3);
const MAX_TRIES: usize = 5;
const COME_BACK: time::Duration = time::Duration::from_secs(1);
const BETWEEN_CALLERS: time::Duration = time::Duration::from_millis(20);
const STEP: time::Duration = time::Duration::from_millis(10);

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// A caller with one job.
struct Caller {
    came: time::Duration,
    next_try: Option<time::Duration>,
    tries: usize,
    taken_after_return: Option<time::Duration>,
}

impl Caller {
    fn new(came: time::Duration) -> Self {
        Self {
            came,
            next_try: Some(came),
            tries: 0,
            taken_after_return: None,
        }
    }

    fn refused(&mut self, at: time::Duration) {
        let again = at + COME_BACK;
        let may = self.tries < MAX_TRIES && again < self.came + PATIENCE;
        self.next_try = may.then_some(again);
    }
}

struct Outcome {
    taken: usize,
    waited_after_return: time::Duration,
    longest_hold: time::Duration,
}

/// Plays one outage; calls wait as long as `limit` says.
fn play(limit: fn(time::Duration) -> time::Duration) -> Outcome {
    let start = time::Instant::now();
    let callers = OUTAGE.as_millis() / BETWEEN_CALLERS.as_millis();
    let mut callers: Vec<Caller> = (0..u32::try_from(callers).unwrap())
        .map(|number| Caller::new(BETWEEN_CALLERS * number))
        .collect();
    let mut held: Held<(usize, time::Duration)> = Held::default();
    let mut longest_hold = time::Duration::ZERO;
    let mut at = time::Duration::ZERO;
    while at < OUTAGE + PATIENCE {
        let away = at < OUTAGE;
        for (_, (number, since)) in held.take_expired(start + at) {
            longest_hold = longest_hold.max(at - since);
            callers[number].refused(at);
        }
        if !away {
            for (_, (number, _)) in held.take_all() {
                callers[number].taken_after_return = Some(at - OUTAGE);
            }
        }
        for (number, caller) in callers.iter_mut().enumerate() {
            if caller.next_try.is_none_or(|next| next > at) {
                continue;
            }
            caller.next_try = None;
            caller.tries += 1;
            if !away {
                caller.taken_after_return = Some(at - OUTAGE);
                continue;
            }
            let until = start + at + limit(caller.came + PATIENCE - at);
            let job = fleet::JobId(number as u64);
            if held.hold(job, (number, at), until, start + at).is_err() {
                caller.refused(at);
            }
        }
        at += STEP;
    }
    let waits: Vec<time::Duration> = callers
        .iter()
        .filter_map(|caller| caller.taken_after_return)
        .collect();
    Outcome {
        taken: waits.len() * 100 / callers.len(),
        waited_after_return: waits.iter().sum::<time::Duration>()
            / u32::try_from(waits.len()).unwrap(),
        longest_hold,
    }
}

#[test]
fn more_callers_are_taken_and_sooner() {
    let sent_away = play(|_| time::Duration::ZERO);
    let waiting = play(hold_limit);
    println!(
        "sent away: {} in 100 after {:?}; waiting: {} in 100 after {:?}",
        sent_away.taken, sent_away.waited_after_return, waiting.taken, waiting.waited_after_return
    );
    assert!(sent_away.taken <= 48, "{}", sent_away.taken);
    assert!(waiting.taken >= 55, "{}", waiting.taken);
    assert!(sent_away.waited_after_return >= ms(450));
    assert!(waiting.waited_after_return <= ms(300));
}

#[test]
fn nobody_waits_longer_than_a_refusal_would_have_taken() {
    let waiting = play(hold_limit);
    assert!(
        waiting.longest_hold < COME_BACK,
        "{:?}",
        waiting.longest_hold
    );
    assert!(
        hold_limit(ms(600)) <= ms(300),
        "no time to come back is left"
    );
    assert_eq!(
        hold_limit(ms(90)),
        time::Duration::ZERO,
        "too short to tell"
    );
    assert_eq!(hold_limit(time::Duration::ZERO), time::Duration::ZERO);
}

/// A refusal says that the job never runs, so the job's other calls go too.
#[test]
fn calls_of_one_job_are_given_up_together() {
    let now = time::Instant::now();
    let mut held = Held::default();
    let (one, other) = (fleet::JobId(1), fleet::JobId(2));
    assert!(held.hold(one, "patient", now + ms(700), now).is_ok());
    assert!(held.hold(other, "another job", now + ms(700), now).is_ok());
    assert!(held.hold(one, "in a hurry", now + ms(100), now).is_ok());
    assert_eq!(
        held.take_expired(now + ms(100)),
        [(one, "patient"), (one, "in a hurry")]
    );
    assert_eq!(held.take_job(other), ["another job"]);
    assert!(held.take_all().is_empty());
}

#[test]
fn what_cannot_wait_is_given_back() {
    let now = time::Instant::now();
    let mut held = Held::default();
    assert_eq!(held.hold(fleet::JobId(1), 1, now, now), Err(1));
    for job in 0..1_000 {
        assert!(held.hold(fleet::JobId(job), 0, now + ms(1), now).is_ok());
    }
    assert_eq!(held.hold(fleet::JobId(5_000), 2, now + ms(1), now), Err(2));
    assert!(held.hold(fleet::JobId(7), 3, now + ms(1), now).is_ok());
    assert_eq!(held.take_all().len(), 1_001);
}

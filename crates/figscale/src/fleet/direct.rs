//! The store as it answers this instance, without a peer in between.
//!
//! A call that fails says that the store may be away, for this instance or for
//! all. From then on it is probed in the background until it answers, so that
//! nobody's call pays a timeout to find that out: a leader that was cut off
//! from a silent store took jobs after 0.5 s at the median, and takes them
//! after one more hop between peers. A single lost answer is taken back by the
//! first probe. The price is one read each 0.2 s for each instance while the
//! store is away from it.

use std::mem;
use std::sync;
use std::time;

use figscale_platform::CallError;
use figscale_platform::store;
use figscale_types::mutex;

use super::keys;
use crate::events;
use crate::metrics;

/// Time between probes; each waits for its own answer.
const PROBE_PAUSE: time::Duration = time::Duration::from_millis(200);

/// An answer that takes longer is told of; the platform's take 4 ms, and a
/// quick job has some 0.4 s to spare, of which its record takes one answer.
const SLOW_ANSWER: time::Duration = time::Duration::from_millis(80);
/// Answers of one kind in a row that make it slow, or usual again: one alone
/// may have met a busy moment of this instance.
const ANSWERS_IN_A_ROW: u32 = 3;

/// The store, and whether it answers.
pub(super) struct Direct {
    store: store::Store,
    metrics: sync::Arc<metrics::Metrics>,
    /// Why the last call failed; `None` while it answers.
    failure: sync::Mutex<Option<String>>,
    speed: sync::Mutex<Speed>,
}

/// How quickly the store answers.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    slow: bool,
    /// Answers in a row that say otherwise.
    otherwise: u32,
}

impl Speed {
    /// Takes in an answer; true if it is slow now and was not, or the reverse.
    fn turns(&mut self, took: time::Duration) -> bool {
        if (took > SLOW_ANSWER) == self.slow {
            self.otherwise = 0;
            return false;
        }
        self.otherwise += 1;
        if self.otherwise < ANSWERS_IN_A_ROW {
            return false;
        }
        self.otherwise = 0;
        self.slow = !self.slow;
        true
    }
}

impl Direct {
    pub(super) fn new(store: store::Store, metrics: sync::Arc<metrics::Metrics>) -> Self {
        Self {
            store,
            metrics,
            failure: sync::Mutex::default(),
            speed: sync::Mutex::default(),
        }
    }

    pub(super) fn store(&self) -> &store::Store {
        &self.store
    }

    /// Whether it is worth a call.
    pub(super) fn answers(&self) -> bool {
        self.failure().is_none()
    }

    /// Why the last call failed; `None` while it answers.
    pub(super) fn failure(&self) -> Option<String> {
        mutex::lock(&self.failure).clone()
    }

    /// Notes how a call ended; must be called within the runtime.
    pub(super) fn note<T>(self: &sync::Arc<Self>, result: &Result<T, CallError>) {
        let failure = result.as_ref().err().map(CallError::to_string);
        let before = mem::replace(&mut *mutex::lock(&self.failure), failure.clone());
        match (before, failure) {
            (Some(_), None) => crate::event!(events::fleet::STORE_BACK, path = "direct"),
            (None, Some(error)) => {
                crate::event!(events::fleet::STORE_LOST, path = "direct", error = error);
                tokio::spawn(probe_until_it_answers(self.clone()));
            }
            _ => (),
        }
    }

    /// Notes how long an answer took.
    pub(super) fn answered_after(&self, took: time::Duration) {
        self.metrics.fleet_store_answered(took);
        let speed = {
            let mut speed = mutex::lock(&self.speed);
            if !speed.turns(took) {
                return;
            }
            *speed
        };
        match speed.slow {
            true => crate::event!(events::fleet::STORE_SLOW, took_ms = took.as_millis()),
            false => crate::event!(events::fleet::STORE_QUICK, took_ms = took.as_millis()),
        }
    }

    /// Asks the store something small.
    pub(super) async fn probe(self: &sync::Arc<Self>) -> bool {
        let answer = self.store.get(keys::LEAD).await;
        // A probe that was sent before the store came back fails late.
        if answer.is_ok() {
            self.note(&answer);
        }
        answer.is_ok()
    }
}

async fn probe_until_it_answers(direct: sync::Arc<Direct>) {
    let mut pause = tokio::time::interval(PROBE_PAUSE);
    while !direct.answers() {
        pause.tick().await;
        let probing = direct.clone();
        tokio::spawn(async move { probing.probe().await });
    }
}

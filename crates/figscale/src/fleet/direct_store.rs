//! Direct access of this instance to the store, with its availability and latency.
//!
//! A failed call means that the store may be unavailable, to this instance or to
//! all. From then on a background task probes it until it answers, so that no
//! call waits for a timeout to find that out. Without this, a leader that was cut
//! off from an unresponsive store took 0.5 s at the median to accept a job; with
//! it, a job costs one more hop between peers. After a single lost answer the first
//! probe marks the store as available again. The cost is one read every 0.2 s per
//! instance while the store is unavailable to it.

use std::mem;
use std::sync;
use std::time;

use figscale_platform::CallError;
use figscale_platform::store;
use figscale_types::mutex;

use super::keys;
use crate::events;
use crate::metrics;

/// Time between probes. A probe does not wait for the answer to the one before.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Answers that take longer count as slow. The platform's store answers in 4 ms;
/// a short job has about 0.4 s of slack, and the write of its record waits for one
/// answer.
const SLOW_ANSWER: time::Duration = time::Duration::from_millis(80);
/// Consecutive slow answers after which the store counts as slow, or quick ones
/// after which it counts as normal: a single one may be due to a moment of load
/// on this instance.
const ANSWERS_IN_A_ROW: u32 = 3;

/// The store, called directly.
pub(super) struct DirectStore {
    store: store::Store,
    metrics: sync::Arc<metrics::Metrics>,
    /// Error of the last call; `None` if it succeeded.
    failure: sync::Mutex<Option<String>>,
    speed: sync::Mutex<Speed>,
}

/// Whether the store counts as slow.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    slow: bool,
    /// Consecutive answers that contradict `slow`.
    contrary: u32,
}

impl Speed {
    /// Records the latency of an answer; true if that changes `slow`.
    fn record(&mut self, took: time::Duration) -> bool {
        if (took > SLOW_ANSWER) == self.slow {
            self.contrary = 0;
            return false;
        }
        self.contrary += 1;
        if self.contrary < ANSWERS_IN_A_ROW {
            return false;
        }
        self.contrary = 0;
        self.slow = !self.slow;
        true
    }
}

impl DirectStore {
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

    /// Whether the last call succeeded.
    pub(super) fn is_available(&self) -> bool {
        self.failure().is_none()
    }

    /// Error of the last call; `None` if it succeeded.
    pub(super) fn failure(&self) -> Option<String> {
        mutex::lock(&self.failure).clone()
    }

    /// Records the result of a call, and starts the probes when the store becomes
    /// unavailable. Must be called within the runtime.
    pub(super) fn record_result<T>(self: &sync::Arc<Self>, result: &Result<T, CallError>) {
        let failure = result.as_ref().err().map(CallError::to_string);
        let before = mem::replace(&mut *mutex::lock(&self.failure), failure.clone());
        match (before, failure) {
            (Some(_), None) => crate::event!(events::fleet::STORE_BACK, path = "direct"),
            (None, Some(error)) => {
                crate::event!(events::fleet::STORE_LOST, path = "direct", error = error);
                tokio::spawn(probe_until_available(self.clone()));
            }
            _ => (),
        }
    }

    /// Records the latency of an answer in the metrics, and logs when the store
    /// becomes slow or normal.
    pub(super) fn record_latency(&self, took: time::Duration) {
        self.metrics.fleet_store_answered(took);
        let speed = {
            let mut speed = mutex::lock(&self.speed);
            if !speed.record(took) {
                return;
            }
            *speed
        };
        match speed.slow {
            true => crate::event!(events::fleet::STORE_SLOW, took_ms = took.as_millis()),
            false => crate::event!(events::fleet::STORE_QUICK, took_ms = took.as_millis()),
        }
    }

    /// Makes a small read; true if the store answers.
    pub(super) async fn probe(self: &sync::Arc<Self>) -> bool {
        let answer = self.store.get(keys::LEAD).await;
        // A probe that was sent before the store recovered may fail after that, so
        // failures are not recorded.
        if answer.is_ok() {
            self.record_result(&answer);
        }
        answer.is_ok()
    }
}

async fn probe_until_available(direct_store: sync::Arc<DirectStore>) {
    let mut pause = tokio::time::interval(PROBE_INTERVAL);
    while !direct_store.is_available() {
        pause.tick().await;
        let probing = direct_store.clone();
        tokio::spawn(async move { probing.probe().await });
    }
}

//! The two ways to a worker: through a relay, and directly.

use std::sync;
use std::time;

use figscale_platform::CallError;
use figscale_platform::workers;
use figscale_types::clock;
use figscale_types::fleet;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use super::CALL_TIMEOUT;
use crate::fleet::relay;

/// Time for the way to a relay and back, on top of the worker's own.
const RELAY_SLACK: time::Duration = time::Duration::from_millis(200);

/// How the calls of one worker go.
#[derive(Clone)]
pub(super) struct Ways {
    pub(super) direct: workers::Workers,
    /// The instance that carries them, if one does.
    pub(super) relay: Option<sync::Arc<relay::Link>>,
    /// Second calls, made directly, that may go on beside calls of relays; `None`
    /// for any number.
    pub(super) second_calls: Option<sync::Arc<Semaphore>>,
    pub(super) clock: clock::SharedClock,
}

impl Ways {
    /// Asks for a report, through the relay if there is one.
    pub(super) async fn report(
        &self,
        worker: &workers::WorkerAddress,
        request: workers::ReportRequest,
    ) -> Result<workers::ReportOutcome, CallError> {
        let call = || relay::Call::Report(request);
        match self.relayed(worker, call, request.wait).await {
            Some(relay::Answer::Report(answer)) => answer,
            _ => self.direct.report(worker, request).await,
        }
    }

    /// Orders a start, through the relay if there is one.
    pub(super) async fn start(
        &self,
        worker: &workers::WorkerAddress,
        epoch: fleet::Epoch,
        order: &fleet::StartOrder,
    ) -> Result<fleet::StartOutcome, CallError> {
        let call = || relay::Call::Start {
            epoch,
            order: order.clone(),
        };
        match self.relayed(worker, call, time::Duration::ZERO).await {
            Some(relay::Answer::Start(answer)) => answer,
            _ => self.direct.start(worker, epoch, order).await,
        }
    }

    /// Permission for a second call; `None` where too many go on already. Without
    /// relays the leader makes all calls itself, and there is no bound.
    pub(super) fn second_call(&self) -> Option<Option<OwnedSemaphorePermit>> {
        let Some(second_calls) = self.second_calls.as_ref().filter(|_| self.relay.is_some()) else {
            return Some(None);
        };
        second_calls.clone().try_acquire_owned().ok().map(Some)
    }

    /// What the relay's call brought; `None` if it brought nothing.
    async fn relayed(
        &self,
        worker: &workers::WorkerAddress,
        call: impl FnOnce() -> relay::Call,
        wait: time::Duration,
    ) -> Option<relay::Answer> {
        let relay = self.relay.as_ref()?;
        let order = relay::Order {
            worker: worker.clone(),
            call: call(),
        };
        let limit = wait + CALL_TIMEOUT + RELAY_SLACK;
        let answer = tokio::time::timeout(limit, relay.call(order)).await;
        let answer = answer.ok().flatten();
        if answer.is_none() {
            relay.set_aside(self.clock.now());
        }
        answer
    }
}

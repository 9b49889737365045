//! The two paths to a worker: through a relay, and directly.

use std::sync;
use std::time;

use figscale_platform::CallError;
use figscale_platform::workers;
use figscale_types::clock;
use figscale_types::fleet;
use figscale_types::verdict::Verdict;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use super::CALL_TIMEOUT;
use crate::fleet::relay;

/// Round trip to a relay, added to the timeout of the call to the worker.
const RELAY_SLACK: time::Duration = time::Duration::from_millis(200);

/// The paths for calls to one worker.
#[derive(Clone)]
pub(super) struct CallPaths {
    pub(super) direct: workers::Workers,
    /// The relay that makes the calls; `None` if the leader makes them itself.
    pub(super) relay: Option<sync::Arc<relay::Link>>,
    /// Limits the direct second calls that run in parallel with calls through
    /// relays; `None` for no limit.
    pub(super) second_calls: Option<sync::Arc<Semaphore>>,
    pub(super) clock: clock::SharedClock,
}

impl CallPaths {
    /// Requests a report, through the relay if there is one.
    pub(super) async fn report(
        &self,
        worker: &workers::WorkerAddress,
        request: workers::ReportRequest,
    ) -> Result<workers::ReportOutcome, CallError> {
        let call = || relay::Call::Report(request);
        match self.call_through_relay(worker, call, request.wait).await {
            Ok(relay::Answer::Report(answer)) => answer,
            _ => self.direct.report(worker, request).await,
        }
    }

    /// Orders a start, through the relay if there is one.
    ///
    /// If the relay does not answer, it may still pass on its order. The refusal of the
    /// direct order after that does not show that the task will not run.
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
        let relayed = self.call_through_relay(worker, call, time::Duration::ZERO);
        let relayed = relayed.await;
        if let Ok(relay::Answer::Start(answer)) = relayed {
            return answer;
        }
        let outcome = self.direct.start(worker, epoch, order).await;
        match (relayed, outcome) {
            (Err(Verdict::NotRun), outcome) => outcome,
            (_, started @ Ok(fleet::StartOutcome::Started { .. })) => started,
            (_, Ok(refused)) => {
                let cause = format!("a relay did not answer, and after that: {refused:?}");
                Err(CallError::may_have_run(cause))
            }
            (_, Err(error)) => Err(CallError::may_have_run(error.cause)),
        }
    }

    /// Permit for a second call; `None` if too many are in flight. Without a relay
    /// the leader makes all calls itself, and there is no limit.
    pub(super) fn permit_second_call(&self) -> Option<Option<OwnedSemaphorePermit>> {
        let Some(second_calls) = self.second_calls.as_ref().filter(|_| self.relay.is_some()) else {
            return Some(None);
        };
        second_calls.clone().try_acquire_owned().ok().map(Some)
    }

    /// The answer through the relay; without one, whether the call may have been made.
    /// If there is none in time, the relay is ejected.
    async fn call_through_relay(
        &self,
        worker: &workers::WorkerAddress,
        call: impl FnOnce() -> relay::Call,
        wait: time::Duration,
    ) -> Result<relay::Answer, Verdict> {
        let relay = self.relay.as_ref().ok_or(Verdict::NotRun)?;
        let order = relay::Order {
            worker: worker.clone(),
            call: call(),
        };
        let limit = wait + CALL_TIMEOUT + RELAY_SLACK;
        let answer = tokio::time::timeout(limit, relay.call(order)).await;
        let answer = answer.unwrap_or(Err(Verdict::MayHaveRun));
        if answer.is_err() {
            relay.eject(self.clock.now());
        }
        answer
    }
}

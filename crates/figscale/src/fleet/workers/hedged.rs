//! Hedged calls to workers: a second call is made when the first is overdue.
//!
//! A call to a healthy worker or its answer is lost occasionally, or a relay is
//! slow. Both calls continue in parallel, the second always directly, and the first
//! useful answer is taken. A worker may thus get a call twice; calls are idempotent
//! there.

use std::time;

use figscale_platform::CallError;
use figscale_platform::workers;
use figscale_types::fleet;

use super::paths;
use crate::fleet::message;
use crate::fleet::message::Message;

/// A report that is overdue by this time, on top of the wait asked for, is requested
/// a second time. Where one call in twenty is lost, ended tasks of a worker are then
/// seen after 1.15 s in place of 1.8 s, for one more call.
const HEDGE_REPORT_AFTER: time::Duration = time::Duration::from_millis(150);
/// A start that is not answered within this time is ordered again unchanged; a
/// worker accepts a run only once. Where one order in twenty is lost, that costs a
/// short task 0.2 s in place of the 1.5 s until the order expires.
const HEDGE_START_AFTER: time::Duration = time::Duration::from_millis(200);

/// Requests a report, and a second time if the first call is overdue.
pub(super) async fn report(
    paths: &paths::CallPaths,
    address: &workers::WorkerAddress,
    request: workers::ReportRequest,
    messages: &message::Messages,
) -> Result<workers::ReportOutcome, CallError> {
    let first = paths.report(address, request);
    tokio::pin!(first);
    let hedge_after = request.wait + HEDGE_REPORT_AFTER;
    if let Ok(report) = tokio::time::timeout(hedge_after, &mut first).await {
        return report;
    }
    let _ = messages.send(Message::Overdue(address.id.clone())).await;
    let Some(_permit) = paths.permit_second_call() else {
        return first.await;
    };
    let immediate = workers::ReportRequest {
        wait: time::Duration::ZERO,
        ..request
    };
    let second = paths.direct.report(address, immediate);
    tokio::pin!(second);
    tokio::select! {
        report = &mut first => match report {
            Ok(report) => Ok(report),
            Err(_) => second.await,
        },
        report = &mut second => match report {
            Ok(report) => {
                on_second_answered_first(paths, messages).await;
                Ok(report)
            }
            Err(_) => first.await,
        },
    }
}

/// Orders a start, and a second time if the first order is overdue.
pub(super) async fn start(
    paths: &paths::CallPaths,
    address: &workers::WorkerAddress,
    epoch: fleet::Epoch,
    order: &fleet::StartOrder,
    messages: &message::Messages,
) -> Result<fleet::StartOutcome, CallError> {
    let first = paths.start(address, epoch, order);
    tokio::pin!(first);
    if let Ok(outcome) = tokio::time::timeout(HEDGE_START_AFTER, &mut first).await {
        return outcome;
    }
    let _ = messages.send(Message::Overdue(address.id.clone())).await;
    let Some(_permit) = paths.permit_second_call() else {
        return first.await;
    };
    let second = paths.direct.start(address, epoch, order);
    tokio::pin!(second);
    let (one, other) = tokio::select! {
        outcome = &mut first => match is_started(&outcome) {
            true => return outcome,
            false => (outcome, second.await),
        },
        outcome = &mut second => match is_started(&outcome) {
            true => {
                on_second_answered_first(paths, messages).await;
                return outcome;
            }
            false => (outcome, first.await),
        },
    };
    let cause = match (one, other) {
        (_, started @ Ok(fleet::StartOutcome::Started { .. })) => return started,
        (Err(error), _) | (_, Err(error)) => error.cause,
        (Ok(one), Ok(other)) => format!("ordered twice: {one:?}, {other:?}"),
    };
    // The refusal of one order does not show the outcome of the other.
    Err(CallError::may_have_run(cause))
}

/// Handles a second call that was answered before the first. If the first went
/// through a relay, the relay may be the cause and is ejected; otherwise the first
/// call or its answer was lost between leader and worker.
async fn on_second_answered_first(paths: &paths::CallPaths, messages: &message::Messages) {
    match &paths.relay {
        Some(relay) => relay.eject(paths.clock.now()),
        None => {
            let _ = messages.send(Message::AnswerLost).await;
        }
    }
}

fn is_started(outcome: &Result<fleet::StartOutcome, CallError>) -> bool {
    matches!(outcome, Ok(fleet::StartOutcome::Started { .. }))
}

//! Hedged calls of workers: sent once more when the first is overdue.
//!
//! A call or its answer is lost now and then on the way to a worker that is
//! well, or a relay is slow. Both calls go on side by side, the second one always
//! directly, and the first useful answer counts; a worker may so get a call
//! twice, which does no more there than once.

use std::time;

use figscale_platform::CallError;
use figscale_platform::workers;
use figscale_types::fleet;

use super::ways;
use crate::fleet::message;
use crate::fleet::message::Message;

/// A worker answers so soon after the wait asked for. One that does not is asked
/// a second time: where one call in twenty is lost, that hides a worker's ends
/// for 1.15 s in place of 1.8 s, for one more call.
const USUAL_ANSWER: time::Duration = time::Duration::from_millis(150);
/// A start that is not answered within this time is ordered again as it was: a
/// worker takes a run once only. Where one order in twenty is lost, that costs
/// a quick task 0.2 s in place of its 1.5 s until the order expires.
const USUAL_START: time::Duration = time::Duration::from_millis(200);

/// Asks for a report, and once more if the first call seems to be lost.
pub(super) async fn report(
    ways: &ways::Ways,
    address: &workers::WorkerAddress,
    request: workers::ReportRequest,
    messages: &message::Messages,
) -> Result<workers::ReportOutcome, CallError> {
    let first = ways.report(address, request);
    tokio::pin!(first);
    let usual = request.wait + USUAL_ANSWER;
    if let Ok(report) = tokio::time::timeout(usual, &mut first).await {
        return report;
    }
    let _ = messages.send(Message::Overdue(address.id.clone())).await;
    let Some(_permit) = ways.second_call() else {
        return first.await;
    };
    let at_once = workers::ReportRequest {
        wait: time::Duration::ZERO,
        ..request
    };
    let second = ways.direct.report(address, at_once);
    tokio::pin!(second);
    tokio::select! {
        report = &mut first => match report {
            Ok(report) => Ok(report),
            Err(_) => second.await,
        },
        report = &mut second => match report {
            Ok(report) => {
                direct_was_first(ways, messages).await;
                Ok(report)
            }
            Err(_) => first.await,
        },
    }
}

/// Orders a start, and once more if the first order seems to be lost.
pub(super) async fn start(
    ways: &ways::Ways,
    address: &workers::WorkerAddress,
    epoch: fleet::Epoch,
    order: &fleet::StartOrder,
    messages: &message::Messages,
) -> Result<fleet::StartOutcome, CallError> {
    let first = ways.start(address, epoch, order);
    tokio::pin!(first);
    if let Ok(outcome) = tokio::time::timeout(USUAL_START, &mut first).await {
        return outcome;
    }
    let _ = messages.send(Message::Overdue(address.id.clone())).await;
    let Some(_permit) = ways.second_call() else {
        return first.await;
    };
    let second = ways.direct.start(address, epoch, order);
    tokio::pin!(second);
    let (one, other) = tokio::select! {
        outcome = &mut first => match is_started(&outcome) {
            true => return outcome,
            false => (outcome, second.await),
        },
        outcome = &mut second => match is_started(&outcome) {
            true => {
                direct_was_first(ways, messages).await;
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
    // That one of them was refused tells nothing of the other.
    Err(CallError::maybe(cause))
}

/// The second call was answered before the first one. Behind a relay that says
/// nothing of the way to the worker.
async fn direct_was_first(ways: &ways::Ways, messages: &message::Messages) {
    match &ways.relay {
        Some(relay) => relay.set_aside(ways.clock.now()),
        None => {
            let _ = messages.send(Message::AnswerLost).await;
        }
    }
}

fn is_started(outcome: &Result<fleet::StartOutcome, CallError>) -> bool {
    matches!(outcome, Ok(fleet::StartOutcome::Started { .. }))
}

//! Queries the advisory service on behalf of the leader.

use std::time;

use figscale_platform::advice;
use figscale_types::fleet;

use super::Context;
use super::calls;
use crate::peer;

/// Added to twice the expected response time to get the timeout of a query.
const RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Registers the handler for queries that the leader sends through this
/// instance.
pub(super) fn start(context: &Context, handlers: &mut peer::Handlers) {
    let context = context.clone();
    let answer = move |_from, (question, expected_ms): (advice::Question, u64)| {
        let context = context.clone();
        async move {
            ask(
                &context,
                &question,
                time::Duration::from_millis(expected_ms),
            )
            .await
        }
    };
    handlers.on_call(calls::ADVICE_SERVICE, answer);
}

/// Queries the advisory service from this instance.
pub(super) async fn ask(
    context: &Context,
    question: &advice::Question,
    expected: time::Duration,
) -> eyre::Result<Vec<fleet::Ticket>> {
    let Some(address) = context.fleet.advice_address else {
        eyre::bail!("no advisory service in the settings");
    };
    let service = advice::AdvisoryService::new(context.client.clone(), address);
    Ok(service
        .ask(question, expected * 2 + RESPONSE_MARGIN)
        .await?)
}

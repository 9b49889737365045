//! Asks the advisory service for the leader.

use std::time;

use figscale_platform::advice;
use figscale_types::fleet;

use super::Context;
use super::calls;
use crate::peer;

/// Time beyond the expected in which an answer must come.
const SLACK: time::Duration = time::Duration::from_millis(500);

/// Answers the leader's calls.
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

/// Asks from this instance.
pub(super) async fn ask(
    context: &Context,
    question: &advice::Question,
    expected: time::Duration,
) -> eyre::Result<Vec<fleet::Ticket>> {
    let Some(address) = context.fleet.advice_address else {
        eyre::bail!("no advisory service in the settings");
    };
    let service = advice::Advice::new(context.client.clone(), address);
    Ok(service.ask(question, expected * 2 + SLACK).await?)
}

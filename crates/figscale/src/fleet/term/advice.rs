//! Questions to the advisory service, sent through the instances chosen.

use std::net;
use std::time;

use figscale_core::fleet::Question;
use figscale_platform::advice;
use figscale_types::clock;
use figscale_types::fleet;
use figscale_types::verdict::Verdict;

use super::Message;
use super::Term;
use crate::events;
use crate::fleet::Context;
use crate::fleet::advice as adviser;
use crate::fleet::calls;
use crate::peer;

/// Time for the way to a peer and back, and its own wait for the service.
const PEER_SLACK: time::Duration = time::Duration::from_millis(900);

impl Term {
    pub(super) fn ask(&self, question: Question) {
        let context = self.context.clone();
        let messages = self.messages.clone();
        let address = self
            .members
            .get(&question.member)
            .map(|member| member.address);
        tokio::spawn(async move {
            let asked = advice::Question {
                task: question.task,
                workers: question.workers.clone(),
            };
            let answer = ask_through(&context, address, &asked, question.expected).await;
            if let Err(error) = &answer {
                crate::event!(
                    events::fleet::ADVICE_FAILED,
                    task = question.task,
                    member = question.member,
                    error = format_args!("{error:#}")
                );
                if is_gone(error) {
                    let gone = Message::MemberGone(question.member.clone());
                    let _ = messages.send(gone).await;
                }
            }
            let _ = messages.send(Message::Advised(question, answer.ok())).await;
        });
    }
}

/// Whether a peer never got the question: its process has ended, most likely,
/// and every further question would fail like this one.
fn is_gone(error: &eyre::Report) -> bool {
    let error = error.downcast_ref::<peer::PeerError>();
    error.is_some_and(|error| error.verdict == Verdict::NotRun)
}

/// Asks through another entry instance, or from here.
async fn ask_through(
    context: &Context,
    address: Option<net::SocketAddr>,
    question: &advice::Question,
    expected: time::Duration,
) -> eyre::Result<Vec<fleet::Ticket>> {
    let Some(address) = address else {
        return adviser::ask(context, question, expected).await;
    };
    let expected_ms = clock::millis(expected);
    let timeout = expected * 2 + PEER_SLACK;
    let service = calls::ADVICE_SERVICE;
    let call = (question, expected_ms);
    Ok(context.peers.call(address, service, &call, timeout).await?)
}

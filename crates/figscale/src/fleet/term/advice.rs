//! Queries to the advisory service, sent through the entry instances that the
//! scheduler chose.

use std::net;
use std::time;

use figscale_core::fleet::AdviceQuery;
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

/// Added to the timeout of a query through a peer: for the path to the peer and
/// back, and for the peer's own wait for the service.
const PEER_SLACK: time::Duration = time::Duration::from_millis(900);

impl Term {
    /// Sends a query; the result comes back as a message.
    pub(super) fn query_advice(&self, query: AdviceQuery) {
        let context = self.context.clone();
        let messages = self.messages.clone();
        let address = self.members.get(&query.member).map(|member| member.address);
        tokio::spawn(async move {
            let question = advice::Question {
                task: query.task,
                workers: query.workers.clone(),
            };
            let answer = query_through(&context, address, &question, query.expected).await;
            if let Err(error) = &answer {
                crate::event!(
                    events::fleet::ADVICE_FAILED,
                    task = query.task,
                    member = query.member,
                    through_peer = address.is_some(),
                    error = format_args!("{error:#}")
                );
                if is_unreachable(error) {
                    let unreachable = Message::MemberGone(query.member.clone());
                    let _ = messages.send(unreachable).await;
                }
            }
            let _ = messages.send(Message::Advised(query, answer.ok())).await;
        });
    }
}

/// Whether the query never reached the peer: most likely its process has ended,
/// and further queries through it would fail too.
fn is_unreachable(error: &eyre::Report) -> bool {
    let error = error.downcast_ref::<peer::PeerError>();
    error.is_some_and(|error| error.verdict == Verdict::NotRun)
}

/// Queries the advisory service through another entry instance, or directly if
/// there is no address.
async fn query_through(
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

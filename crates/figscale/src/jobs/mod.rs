//! The jobs service: accepts jobs, places their tasks on workers and sees them end.
//!
//! One [`service::Service`] on the control thread owns the homes of the job
//! shards and the placer of the worker shards that this process holds. Calls
//! to workers, peers and the store run on the traffic threads and come back as
//! messages, so that no decision waits for the network.

mod calls;
mod service;
mod submit;
mod wire;
mod workers;

use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;

use crate::kernel;
use crate::peer;
use crate::state;

/// Name of the service.
pub const NAME: &str = "jobs";

/// An answer about one job.
pub type JobResult = Result<jobs::JobStatus, operator::OperatorError>;

/// What the service is asked.
pub enum Message {
    /// Accept a job under an id that its submitter chose, so that a repeat counts once.
    Submit(ids::JobId, jobs::JobSpec, kernel::Reply<JobResult>),
    /// Tell how a job stands.
    Status(ids::JobId, kernel::Reply<JobResult>),
    /// Cancel a job.
    Cancel(ids::JobId, kernel::Reply<JobResult>),
    /// List jobs, of one owner or of all, newest first.
    List(
        Option<ids::OwnerName>,
        kernel::Reply<Result<Vec<jobs::JobStatus>, operator::OperatorError>>,
    ),
    /// Answer another entry instance.
    Peer(PeerQuestion),
    /// Give up a shard in order.
    Drain(ids::ShardId, kernel::Reply<kernel::Drained>),
    /// Bring the gauges up to date.
    Report(kernel::Reply<()>),
    /// Show the state.
    Dump(kernel::Reply<serde_json::Value>),
}

/// A call of another entry instance, with where its answer goes.
pub struct PeerQuestion {
    pub(crate) from: ids::MemberKey,
    pub(crate) question: wire::Question,
    pub(crate) reply: kernel::Reply<wire::Answer>,
}

/// Registers the service and what it answers to peers, then runs it on the
/// control thread.
pub fn start(context: &state::Context, handlers: &mut peer::Handlers) {
    let inbox = context.kernel.register::<Message>(NAME);
    let Ok(address) = context.kernel.find::<Message>(NAME) else {
        return;
    };
    answer_peers(&address, handlers);
    offer_drains(&address, &context.kernel);
    let dumped = address.clone();
    context.kernel.offer_dump(NAME, move || {
        let address = dumped.clone();
        Box::pin(async move { address.call(Message::Dump).await.unwrap_or_default() })
    });
    let reported = address.clone();
    context.kernel.offer_report(NAME, move || {
        let address = reported.clone();
        Box::pin(async move { address.call(Message::Report).await.unwrap_or_default() })
    });
    tokio::task::spawn_local(service::run(context.clone(), inbox));
}

fn answer_peers(address: &kernel::Address<Message>, handlers: &mut peer::Handlers) {
    let address = address.clone();
    handlers.on_call(NAME, move |from, question: wire::Question| {
        let address = address.clone();
        async move {
            let make = |reply| {
                Message::Peer(PeerQuestion {
                    from,
                    question,
                    reply,
                })
            };
            Ok(address.call(make).await?)
        }
    });
}

fn offer_drains(address: &kernel::Address<Message>, kernel: &kernel::Kernel) {
    for prefix in ["worker/", "job/"] {
        let address = address.clone();
        kernel.offer_drain(prefix, move |shard| {
            let address = address.clone();
            Box::pin(async move {
                let drained = address.call(|reply| Message::Drain(shard, reply)).await;
                drained.unwrap_or(kernel::Drained::Unclean)
            })
        });
    }
}

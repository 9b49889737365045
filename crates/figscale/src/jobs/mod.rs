//! The jobs service: accepts jobs, places their tasks on workers and tracks
//! them until they end.
//!
//! Jobs and workers are divided into shards, and the claims service decides
//! which entry instance holds which shard. The *home* of a job shard keeps the
//! state of its jobs in one document in the store. The *placer* of a process
//! places tasks on the workers of the worker shards that it holds.
//!
//! One `service::Service` on the control thread owns the homes and the placer
//! of this process. Calls to workers, peers and the store run on the traffic
//! threads and return as messages, so that no decision waits for the network.

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

/// The result of a request about one job.
pub type JobResult = Result<jobs::JobStatus, operator::OperatorError>;

/// A request to the service.
pub enum Message {
    /// Accept a job. Its submitter chooses the id, so that a retry does not
    /// submit it twice.
    Submit(ids::JobId, jobs::JobSpec, kernel::Reply<JobResult>),
    /// Return the status of a job.
    Status(ids::JobId, kernel::Reply<JobResult>),
    /// Cancel a job.
    Cancel(ids::JobId, kernel::Reply<JobResult>),
    /// List jobs, of one owner or of all, newest first.
    List(
        Option<ids::OwnerName>,
        kernel::Reply<Result<Vec<jobs::JobStatus>, operator::OperatorError>>,
    ),
    /// Answer a call of another entry instance.
    Peer(PeerQuestion),
    /// Drain a shard before it is released.
    Drain(ids::ShardId, kernel::Reply<kernel::Drained>),
    /// Update the gauges.
    Report(kernel::Reply<()>),
    /// Return the state for diagnostics.
    Dump(kernel::Reply<serde_json::Value>),
}

/// A call of another entry instance, and the channel for its answer.
pub struct PeerQuestion {
    pub(crate) from: ids::MemberKey,
    pub(crate) question: wire::Question,
    pub(crate) reply: kernel::Reply<wire::Answer>,
}

/// Registers the service and its handler for calls of peers, and runs it on
/// the control thread.
pub fn start(context: &state::Context, handlers: &mut peer::Handlers) {
    let inbox = context.kernel.register::<Message>(NAME);
    let Ok(address) = context.kernel.find::<Message>(NAME) else {
        return;
    };
    register_peer_handler(&address, handlers);
    register_drains(&address, &context.kernel);
    let dumped = address.clone();
    context.kernel.register_dump(NAME, move || {
        let address = dumped.clone();
        Box::pin(async move { address.call(Message::Dump).await.unwrap_or_default() })
    });
    let reported = address.clone();
    context.kernel.register_report(NAME, move || {
        let address = reported.clone();
        Box::pin(async move { address.call(Message::Report).await.unwrap_or_default() })
    });
    tokio::task::spawn_local(service::run(context.clone(), inbox));
}

fn register_peer_handler(address: &kernel::Address<Message>, handlers: &mut peer::Handlers) {
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

fn register_drains(address: &kernel::Address<Message>, kernel: &kernel::Kernel) {
    for prefix in ["worker/", "job/"] {
        let address = address.clone();
        kernel.register_drain(prefix, move |shard| {
            let address = address.clone();
            Box::pin(async move {
                let drained = address.call(|reply| Message::Drain(shard, reply)).await;
                drained.unwrap_or(kernel::Drained::Unclean)
            })
        });
    }
}

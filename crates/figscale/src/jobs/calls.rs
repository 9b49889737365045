//! Calls of the jobs service to workers, peers and the store.
//!
//! Each call runs on the traffic threads, so that the control thread never
//! waits for the network. Its result is sent back to the service as a
//! [`CallResult`].

use std::net;
use std::time;

use figscale_core::job::home;
use figscale_core::job::message;
use figscale_core::job::placer;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;
use figscale_types::sizes;
use figscale_types::verdict::Verdict;
use figscale_types::worker;
use tokio::sync::mpsc;

use super::wire;
use super::workers;
use crate::events;
use crate::kernel;
use crate::peer;
use crate::state;
use crate::store;

/// Timeout of a call between the home of a job shard and a placer.
const CORE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Timeout of a forwarded request; a submission waits for a write to the store.
const FORWARD_TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Delay after which a caller may retry when a home could not be reached.
const RETRY_AFTER_MS: u64 = 500;

/// The result of a call.
pub(super) enum CallResult {
    /// The start of a task on a worker.
    Start(placer::Target, message::Attempt, placer::StartOutcome),
    /// A lease renewal or an action on a task.
    Report(ReportResult),
    /// A call of the home of a job shard to a placer.
    Call(PlacerCallResult),
    /// Task events were sent to a home; whether it acknowledged them.
    EventsSent(Vec<message::TaskEvent>, bool),
    /// The document of a job shard was read.
    Read(message::HomeKey, home::ReadOutcome),
    /// The document of a job shard was written.
    Write(message::HomeKey, home::WriteOutcome),
}

/// The result of a lease renewal or an action.
pub(super) struct ReportResult {
    pub(super) target: placer::Target,
    pub(super) sent_at: time::Instant,
    pub(super) forgotten: Vec<ids::TaskId>,
    pub(super) report: Option<worker::WorkerReport>,
}

/// The result of a call to a placer.
pub(super) struct PlacerCallResult {
    pub(super) home: message::HomeKey,
    pub(super) placer: ids::MemberKey,
    pub(super) sent_at: time::Instant,
    pub(super) question: message::Question,
    pub(super) result: Result<message::Answer, Verdict>,
}

/// Makes the calls and sends their results to the service.
#[derive(Clone)]
pub(super) struct Calls {
    context: state::Context,
    workers: workers::Workers,
    results: mpsc::UnboundedSender<CallResult>,
}

impl Calls {
    pub(super) fn new(
        context: &state::Context,
        timeout: time::Duration,
        results: mpsc::UnboundedSender<CallResult>,
    ) -> Self {
        Self {
            context: context.clone(),
            workers: workers::Workers::new(context, timeout),
            results,
        }
    }

    /// Queues a result, so that the service handles it after its current work.
    pub(super) fn send_result(&self, result: CallResult) {
        // The receiver lives as long as the service.
        let _ = self.results.send(result);
    }

    fn spawn(&self, call: impl Future<Output = CallResult> + Send + 'static) {
        let results = self.results.clone();
        self.context.traffic.spawn(async move {
            let _ = results.send(call.await);
        });
    }

    /// Sends a task start to a worker.
    pub(super) fn start(&self, call: placer::StartCall) {
        let workers = self.workers.clone();
        self.spawn(async move {
            let outcome = workers.start(&call).await;
            let attempt = message::Attempt {
                task: call.start.task,
                number: call.start.attempt,
            };
            CallResult::Start(call.target, attempt, outcome)
        });
    }

    /// Sends a lease renewal that the placer decided on at `sent_at`.
    pub(super) fn renew(&self, sent_at: time::Instant, call: placer::RenewCall) {
        let workers = self.workers.clone();
        self.spawn(async move {
            let report = workers.renew(&call).await.ok();
            CallResult::Report(ReportResult {
                target: call.target,
                sent_at,
                forgotten: call.renew.forget,
                report,
            })
        });
    }

    /// Sends an action that the placer decided on at `sent_at`.
    pub(super) fn act(&self, sent_at: time::Instant, call: placer::ActCall) {
        let workers = self.workers.clone();
        self.spawn(async move {
            let report = workers.act(&call).await.ok();
            CallResult::Report(ReportResult {
                target: call.target,
                sent_at,
                forgotten: Vec::new(),
                report,
            })
        });
    }

    /// Calls the placer of a peer on behalf of a home.
    ///
    /// Without an address the call fails with [`Verdict::NotRun`].
    pub(super) fn call_placer(
        &self,
        home: message::HomeKey,
        placer: ids::MemberKey,
        address: Option<net::SocketAddr>,
        question: message::Question,
    ) {
        let sent_at = self.context.clock.now();
        let peers = self.context.peers.clone();
        self.spawn(async move {
            let result = match address {
                Some(address) => core_call(&peers, address, question.clone()).await,
                None => Err(Verdict::NotRun),
            };
            CallResult::Call(PlacerCallResult {
                home,
                placer,
                sent_at,
                question,
                result,
            })
        });
    }

    /// Sends task events to a peer that is the home of a job shard.
    pub(super) fn send_events(
        &self,
        address: net::SocketAddr,
        shard: ids::ShardId,
        events: Vec<message::TaskEvent>,
    ) {
        let peers = self.context.peers.clone();
        self.spawn(async move {
            let question = message::Question::Tell(shard, events.clone());
            let answer = core_call(&peers, address, question).await;
            CallResult::EventsSent(events, answer == Ok(message::Answer::Noted))
        });
    }

    /// Sends peers the usage of each owner on the workers held here.
    ///
    /// The result is ignored: a lost call is made up for by the next report.
    pub(super) fn send_usage(
        &self,
        peers: Vec<net::SocketAddr>,
        usage: Vec<(ids::OwnerName, sizes::Resources)>,
    ) {
        for address in peers {
            let peers = self.context.peers.clone();
            let question = wire::Question::Usage(usage.clone());
            self.context.traffic.spawn(async move {
                let answer = peers.call(address, super::NAME, &question, CORE_TIMEOUT);
                let _: Result<wire::Answer, _> = answer.await;
            });
        }
    }

    /// Reads the document of a job shard.
    pub(super) fn read(&self, home: message::HomeKey) {
        let store = self.context.store.clone();
        self.spawn(async move {
            let key = jobs::document_key(&home.shard);
            let outcome = match store.get(&key).await {
                Ok(None) => home::ReadOutcome::Read(ids::Revision(0), jobs::JobDocument::default()),
                Ok(Some(found)) => parse(&home, found),
                Err(error) => {
                    crate::event!(
                        events::jobs::JOB_STORE_AWAY,
                        shard = home.shard,
                        error = error
                    );
                    home::ReadOutcome::NoAnswer
                }
            };
            CallResult::Read(home, outcome)
        });
    }

    /// Writes the document of a job shard.
    pub(super) fn write(&self, home: message::HomeKey, call: home::WriteCall) {
        let store = self.context.store.clone();
        self.spawn(async move {
            let key = jobs::document_key(&home.shard);
            let outcome = match serde_json::to_vec(&call.document) {
                Ok(value) => write_outcome(store.put(&key, call.expected, value, None).await),
                Err(_) => home::WriteOutcome::Failed(Verdict::NotRun),
            };
            if matches!(outcome, home::WriteOutcome::Failed(_)) {
                crate::event!(
                    events::jobs::JOB_STORE_AWAY,
                    shard = home.shard,
                    error = "write failed"
                );
            }
            CallResult::Write(home, outcome)
        });
    }

    /// Forwards a request about a job to its home.
    pub(super) fn forward(
        &self,
        address: net::SocketAddr,
        question: wire::Question,
        reply: kernel::Reply<super::JobResult>,
    ) {
        let peers = self.context.peers.clone();
        self.context.traffic.spawn(async move {
            let answer = peers
                .call(address, super::NAME, &question, FORWARD_TIMEOUT)
                .await;
            reply.send(match answer {
                Ok(wire::Answer::Job(result)) => result,
                Ok(_) => Err(unreachable_home(Verdict::MayHaveRun)),
                Err(error) => Err(unreachable_home(error.verdict)),
            });
        });
    }

    /// Lists the jobs of all homes, newest first; `own` are those of this process.
    ///
    /// Fails if any home does not answer, since the list would be incomplete.
    pub(super) fn list(
        &self,
        own: Vec<(u64, jobs::JobStatus)>,
        homes: Vec<net::SocketAddr>,
        owner: Option<ids::OwnerName>,
        reply: kernel::Reply<Result<Vec<jobs::JobStatus>, operator::OperatorError>>,
    ) {
        let peers = self.context.peers.clone();
        self.context.traffic.spawn(async move {
            let question = wire::Question::List(owner);
            let asked = homes
                .iter()
                .map(|home| peers.call(*home, super::NAME, &question, CORE_TIMEOUT));
            let mut all = own;
            for answer in futures_util::future::join_all(asked).await {
                let Ok(wire::Answer::List(jobs)) = answer else {
                    return reply.send(Err(unreachable_home(Verdict::NotRun)));
                };
                all.extend(jobs);
            }
            all.sort_by_key(|(accepted_unix_ms, _)| std::cmp::Reverse(*accepted_unix_ms));
            reply.send(Ok(all.into_iter().map(|(_, status)| status).collect()));
        });
    }
}

async fn core_call(
    peers: &peer::Peers,
    address: net::SocketAddr,
    question: message::Question,
) -> Result<message::Answer, Verdict> {
    let question = wire::Question::Core(question);
    match peers
        .call(address, super::NAME, &question, CORE_TIMEOUT)
        .await
    {
        Ok(wire::Answer::Core(answer)) => Ok(answer),
        Ok(_) => Err(Verdict::MayHaveRun),
        Err(error) => {
            crate::event!(
                events::jobs::JOB_PEER_CALL_FAILED,
                peer = address,
                error = error
            );
            Err(error.verdict)
        }
    }
}

fn parse(home: &message::HomeKey, found: store::Versioned) -> home::ReadOutcome {
    match serde_json::from_slice(&found.value) {
        Ok(document) => home::ReadOutcome::Read(found.revision, document),
        Err(error) => {
            crate::event!(
                events::jobs::JOB_DOCUMENT_INVALID,
                shard = home.shard,
                error = error
            );
            home::ReadOutcome::NoAnswer
        }
    }
}

fn write_outcome(result: Result<ids::Revision, store::StoreError>) -> home::WriteOutcome {
    match result {
        Ok(revision) => home::WriteOutcome::Written(revision),
        Err(error) => match error.kind {
            store::StoreErrorKind::Conflict(_) => home::WriteOutcome::Conflict,
            _ => home::WriteOutcome::Failed(error.verdict),
        },
    }
}

/// The error returned when the home of a job could not be reached.
pub(super) fn unreachable_home(verdict: Verdict) -> operator::OperatorError {
    let (kind, message) = match verdict {
        Verdict::NotRun => (
            operator::ErrorKind::Unavailable,
            "the home of the job cannot be reached; nothing was done",
        ),
        _ => (
            operator::ErrorKind::Unknown,
            "the home of the job did not answer in time; ask again with the same id",
        ),
    };
    let mut error = operator::OperatorError::new(kind, message);
    error.retry_after_ms = Some(RETRY_AFTER_MS);
    error
}

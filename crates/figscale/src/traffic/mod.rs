//! Callers' requests: admission, queue, slot choice, dispatch and answer.
//!
//! The decision logic is in [`figscale_core::request`]; this module does the
//! I/O around it. A request runs in a slot of a runner, and only the *holder*
//! of the runner's shard, one of the entry instances, dispatches to it. The
//! request is received in `front` and taken through its stages in `route`. It
//! gets a slot of this process in `local`, or one of another holder through
//! `forward` (sender) and `peer_side` (receiver), and is sent to the runner in
//! `exchange`. The *home* of a request id (`homes`) remembers the id, so that a
//! request that is not idempotent is executed at most once.
//!
//! One mutex guards the decision state of a process. It is never held across an
//! await, and the work done under it is arithmetic over at most a few hundred
//! runners.

mod answer;
mod attempts;
mod call;
mod dump;
mod exchange;
mod fence;
mod forward;
mod front;
mod handover;
mod homes;
mod local;
mod peer_side;
mod pool;
mod progress;
mod push;
mod route;
mod shards;
mod wire;

use std::sync;
use std::sync::atomic;
use std::time;

use figscale_core::request::admission;
use figscale_core::request::dispatcher;
use figscale_core::request::queue;
use figscale_core::request::retry;
use figscale_core::request::usage_table;
use figscale_types::ids;
use figscale_types::mutex;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;
use rand::SeedableRng as _;
use rand::rngs;
use tokio::net::TcpSocket;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::kernel;
use crate::peer;
use crate::settings;
use crate::state;

/// Name of the service.
pub const NAME: &str = "traffic";

/// Messages to the service.
enum Message {
    /// Stop accepting requests; replied to once all requests in progress are answered.
    Drain(kernel::Reply<()>),
    /// Replied to once the memories of request ids are handed over to their next
    /// homes.
    HandOver(kernel::Reply<()>),
}

/// The decision state, behind one mutex.
struct Decisions {
    dispatcher: dispatcher::Dispatcher,
    usage_table: usage_table::UsageTable,
    admission: admission::Admission,
    budgets: IndexMap<ids::ServiceName, retry::RetryBudget>,
    retry: retry::RetryConfig,
    waiters: IndexMap<queue::Ticket, local::Waiter>,
    last_ticket: u64,
    rng: rngs::StdRng,
}

impl Decisions {
    fn new(settings: &settings::TrafficSettings, seed: u64) -> Self {
        let mut config = dispatcher::DispatcherConfig {
            reserve_share: settings.reserve_share,
            ..dispatcher::DispatcherConfig::default()
        };
        config.slots.settle = time::Duration::from_millis(settings.settle_ms);
        Self {
            dispatcher: dispatcher::Dispatcher::new(config),
            usage_table: usage_table::UsageTable::new(usage_table::UsageTableConfig::default()),
            admission: admission::Admission::new(admission::AdmissionConfig::default()),
            budgets: IndexMap::new(),
            retry: retry::RetryConfig {
                ratio: settings.retry_ratio,
                ..retry::RetryConfig::default()
            },
            waiters: IndexMap::new(),
            last_ticket: 0,
            rng: rngs::StdRng::seed_from_u64(seed),
        }
    }

    fn budget(&mut self, service: &ids::ServiceName) -> &mut retry::RetryBudget {
        let config = self.retry;
        let budget = self.budgets.entry(service.clone());
        budget.or_insert_with(|| retry::RetryBudget::new(config))
    }

    fn retry_after(&mut self, backlog: time::Duration) -> time::Duration {
        self.admission.retry_after(backlog, &mut self.rng)
    }
}

/// State shared by the tasks of this service.
struct Traffic {
    context: state::Context,
    decisions: sync::Mutex<Decisions>,
    pool: pool::Pool,
    homes: homes::Homes,
    /// Signalled when slots, queues or shards change: the counts pushed to peers
    /// are then out of date.
    changed: Notify,
    /// Number of requests of callers and peers in progress.
    in_progress: watch::Sender<usize>,
    /// Dispatches that were not written because this process no longer held the
    /// shard or had no authority.
    fenced: atomic::AtomicU64,
}

impl Traffic {
    fn new(context: &state::Context) -> Self {
        let settings = &context.settings.traffic;
        let seed = context.me().incarnation.0;
        Self {
            context: context.clone(),
            decisions: sync::Mutex::new(Decisions::new(settings, seed)),
            pool: pool::Pool::default(),
            homes: homes::Homes::new(settings),
            changed: Notify::new(),
            in_progress: watch::Sender::new(0),
            fenced: atomic::AtomicU64::new(0),
        }
    }

    fn now(&self) -> time::Instant {
        self.context.clock.now()
    }

    fn settings(&self) -> &settings::TrafficSettings {
        &self.context.settings.traffic
    }

    fn decide(&self) -> sync::MutexGuard<'_, Decisions> {
        mutex::lock(&self.decisions)
    }

    fn has_authority(&self) -> bool {
        self.context.shared.authority.is_valid(self.now())
    }

    fn is_leaving(&self) -> bool {
        *self.context.shared.leaving.borrow()
    }

    /// Counts a request until the guard is dropped.
    fn begin(self: &sync::Arc<Self>) -> InProgress {
        self.in_progress.send_modify(|count| *count += 1);
        InProgress(self.clone())
    }
}

struct InProgress(sync::Arc<Traffic>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.send_modify(|count| *count -= 1);
    }
}

/// Logs an attempt that failed.
fn log_failure(request: ids::RequestId, verdict: Verdict, code: &str) {
    crate::event!(
        crate::events::requests::REQUEST_FAILED,
        request = request,
        verdict = verdict,
        fault = code
    );
}

/// Registers the handlers for peers, then serves callers on the traffic threads.
pub fn start(context: &state::Context, handlers: &mut peer::Handlers, callers: TcpSocket) {
    let traffic = sync::Arc::new(Traffic::new(context));
    let runtime = context.traffic.clone();
    peer_side::register(&traffic, handlers);
    push::register(&traffic, handlers);
    homes::register(&traffic, handlers);
    handover::register(&traffic, handlers);
    dump::offer(&traffic);
    shards::offer_drains(&traffic);
    runtime.spawn(shards::follow(traffic.clone()));
    runtime.spawn(shards::keep_fetching_usage(traffic.clone()));
    runtime.spawn(local::keep_polling(traffic.clone()));
    runtime.spawn(push::keep_pushing(traffic.clone()));
    runtime.spawn(handover::keep_handing_over(traffic.clone()));
    let inbox = context.kernel.register::<Message>(NAME);
    runtime.spawn(run(traffic, callers, inbox));
}

/// Serves callers until told to stop, then waits for the handover of request ids.
async fn run(traffic: sync::Arc<Traffic>, callers: TcpSocket, mut inbox: kernel::Inbox<Message>) {
    let mut message = front::serve(&traffic, callers, &mut inbox).await;
    while let Some(asked) = message {
        match asked {
            Message::Drain(reply) => {
                front::wait_until_idle(&traffic).await;
                reply.send(());
            }
            Message::HandOver(reply) => {
                handover::wait_until_handed_over(&traffic).await;
                reply.send(());
            }
        }
        message = inbox.recv().await;
    }
}

/// Stops accepting requests and waits until those in progress are answered.
pub async fn drain(context: &state::Context) {
    if let Ok(address) = context.kernel.find::<Message>(NAME) {
        let _ = address.call(Message::Drain).await;
    }
}

/// Waits until the memories of request ids are handed over to their next homes.
pub async fn hand_over_ids(context: &state::Context) {
    if let Ok(address) = context.kernel.find::<Message>(NAME) {
        let _ = address.call(Message::HandOver).await;
    }
}

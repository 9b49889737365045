//! Scheduling on the workers of the users' platform.
//!
//! An entry instance with the `fleet` section in its settings runs these
//! services in place of claims, catalogue, jobs and traffic:
//!
//! - `access` calls the store, directly or through a peer;
//! - `machine_health` measures whether this machine has become slow;
//! - `config_watch` keeps the operators' queue configuration up to date;
//! - `election` tracks the current leader and runs for leader;
//! - `heartbeat` sends heartbeats to the leader and detects its end;
//! - `term` runs the scheduler while this instance leads;
//! - `entry` answers callers, forwarding to the leader what it decides;
//! - `operators` answers the operators;
//! - `relay` makes calls of workers on the leader's behalf;
//! - `advice` queries the advisory service on the leader's behalf.
//!
//! Everything runs on one thread: these machines have a quarter of a core, on
//! which a second thread would only add context switches.

mod access;
mod advice;
mod calls;
mod config_watch;
mod decision_log;
mod direct_store;
mod election;
mod entry;
mod heartbeat;
mod keys;
mod leader_client;
mod leadership;
mod ledger;
mod machine_health;
mod message;
mod operators;
mod readiness;
mod relay;
mod term;
mod workers;

use std::net;
use std::sync;
use std::time;

use eyre::WrapErr as _;
use figscale_platform::Client;
use figscale_platform::store;
use figscale_types::clock;
use figscale_types::fleet;
use figscale_types::ids;
use tokio::net::TcpListener;
use tokio::signal::unix;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::events;
use crate::inbound;
use crate::kernel;
use crate::metrics;
use crate::peer;
use crate::settings;

/// Timeout of one call of the store, which answers in about 4 ms, or in up to
/// sixty times that when it is slow.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// How long callers are still served after a stop was requested, until the
/// balancer sends no more; it needs two readiness checks, a second apart.
const STOP_NOTICE: time::Duration = time::Duration::from_millis(2_600);
/// How long open connections then have to finish; the platform kills the
/// process 6 s after its request to stop.
const STOP_LIMIT: time::Duration = time::Duration::from_millis(2_600);

/// Share of the machine's memory for submissions that wait for the leader's answer.
const SUBMISSION_MEMORY_DIVISOR: u64 = 16;

/// State shared by all services of this process.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) settings: sync::Arc<settings::Settings>,
    pub(crate) fleet: settings::FleetSettings,
    pub(crate) clock: clock::SharedClock,
    pub(crate) kernel: sync::Arc<kernel::Kernel>,
    pub(crate) peers: sync::Arc<peer::Peers>,
    pub(crate) client: sync::Arc<Client>,
    pub(crate) store: sync::Arc<access::Access>,
    pub(crate) metrics: sync::Arc<metrics::Metrics>,
    /// When this process started.
    pub(crate) started: time::Instant,
    /// This entry instance and its incarnation.
    pub(crate) own_member: ids::MemberKey,
    /// The queues of the configuration in force.
    pub(crate) queues: sync::Arc<watch::Sender<sync::Arc<fleet::QueueTable>>>,
    /// Proof that these queues are in force.
    config_proof: sync::Arc<config_watch::SharedProof>,
    pub(crate) leadership: sync::Arc<watch::Sender<leadership::Leadership>>,
    /// Whether this machine has become slow.
    pub(crate) machine_health: machine_health::Shared,
    /// Whether this process is shutting down.
    pub(crate) leaving: sync::Arc<watch::Sender<bool>>,
    /// Memory for submissions that this instance answers while it leads.
    submissions: sync::Arc<Semaphore>,
    /// Heartbeats received while this instance leads.
    heartbeats: sync::Arc<sync::Mutex<term::Heartbeats>>,
}

impl Context {
    /// A listener with limits on what its clients may hold.
    fn listener(&self, listener: TcpListener, limits: inbound::Limits) -> inbound::Listener {
        inbound::Listener::new(listener, limits, self.clock.clone(), self.metrics.clone())
    }

    /// Milliseconds since 1970, for times recorded in the store.
    pub(crate) fn wall_ms(&self) -> u64 {
        let since = self.clock.wall().duration_since(time::UNIX_EPOCH);
        clock::millis(since.unwrap_or_default())
    }
}

/// Runs until a signal requests a planned stop.
pub fn serve_until_signal(
    settings: settings::Settings,
    fleet: settings::FleetSettings,
    clock: clock::SharedClock,
) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let handle = runtime.handle().clone();
    runtime.block_on(serve(settings, fleet, clock, handle))
}

async fn serve(
    settings: settings::Settings,
    fleet: settings::FleetSettings,
    clock: clock::SharedClock,
    runtime: tokio::runtime::Handle,
) -> eyre::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    let buffer_bytes = settings.traffic.receive_buffer_bytes;
    let callers = listen(
        "caller_address",
        settings.caller_address,
        Some(buffer_bytes),
    )?;
    let ready = listen(
        "fleet.ready_address",
        fleet.ready_address,
        Some(buffer_bytes),
    )?;
    let peers = listen("peer_address", settings.peer_address, None)?;
    let operators = listen(
        "operator_address",
        settings.operator_address,
        Some(buffer_bytes),
    )?;
    let context = context(settings, fleet, clock, runtime);

    let mut handlers = peer::Handlers::default();
    context.store.serve(&mut handlers);
    advice::start(&context, &mut handlers);
    relay::start(&context, &mut handlers);
    term::start(&context, &mut handlers);
    election::start(&context, &mut handlers);
    machine_health::start(&context);
    config_watch::start(&context);
    let peers = context.listener(peers, inbound::Limits::peers(&context.settings.machine));
    let token = context.settings.peer_token.clone();
    let limits = peer::Limits::default();
    tokio::spawn(peer::serve(peers, token, handlers, limits));
    let mut served = entry::start(&context, callers, ready);
    operators::start(&context, operators);
    crate::event!(
        events::process::PROCESS_STARTED,
        member = context.own_member
    );

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {
                crate::event!(events::fleet::SETTINGS_CHANGED, member = context.own_member);
            }
        }
    }
    crate::event!(
        events::process::PROCESS_LEAVING,
        member = context.own_member
    );
    context.leaving.send_replace(true);
    tokio::time::sleep(STOP_NOTICE).await;
    served.stop();
    let _ = tokio::time::timeout(STOP_LIMIT, served.ended()).await;
    crate::event!(events::process::PROCESS_ENDED, member = context.own_member);
    Ok(())
}

fn listen(
    field: &str,
    address: net::SocketAddr,
    receive_buffer_bytes: Option<u64>,
) -> eyre::Result<TcpListener> {
    let listener = inbound::listener::bind(address, receive_buffer_bytes)
        .and_then(|socket| socket.listen(inbound::listener::BACKLOG));
    listener.wrap_err_with(|| format!("{field}: cannot listen on {address}"))
}

fn context(
    settings: settings::Settings,
    fleet: settings::FleetSettings,
    clock: clock::SharedClock,
    runtime: tokio::runtime::Handle,
) -> Context {
    let own_member = ids::MemberKey {
        id: settings.member.clone(),
        incarnation: crate::serve::new_incarnation(&clock),
    };
    let client = sync::Arc::new(Client::default());
    let peers = peer::Peers::new(
        own_member.clone(),
        settings.peer_token.clone(),
        runtime,
        clock.clone(),
    )
    .with_routes(settings.claims.peer_routes.clone());
    let peers = sync::Arc::new(peers);
    let direct_store = store::Store::new(client.clone(), settings.platform_address, STORE_TIMEOUT);
    let address = settings.peer_address;
    let metrics = sync::Arc::new(metrics::Metrics::default());
    let store = access::Access::new(
        direct_store,
        peers.clone(),
        address,
        metrics.clone(),
        clock.clone(),
    );
    let platform_client = client.clone();
    metrics.observe_platform(move || {
        let counts = platform_client.counts();
        [
            ("sent", counts.calls),
            ("unanswered", counts.unanswered),
            ("connections", counts.connections),
        ]
    });
    let submission_bytes = settings.machine.memory_bytes() / SUBMISSION_MEMORY_DIVISOR;
    let submission_units = calls::memory_units(submission_bytes).min(Semaphore::MAX_PERMITS);
    Context {
        started: clock.now(),
        settings: sync::Arc::new(settings),
        fleet,
        clock,
        kernel: sync::Arc::new(kernel::Kernel::default()),
        peers,
        client,
        store: sync::Arc::new(store),
        metrics,
        own_member,
        queues: sync::Arc::new(watch::Sender::new(sync::Arc::default())),
        config_proof: sync::Arc::default(),
        leadership: sync::Arc::new(watch::Sender::new(leadership::Leadership::default())),
        machine_health: machine_health::Shared::default(),
        leaving: sync::Arc::new(watch::Sender::new(false)),
        submissions: sync::Arc::new(Semaphore::new(submission_units)),
        heartbeats: sync::Arc::default(),
    }
}

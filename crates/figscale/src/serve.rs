//! Starts the services of one entry instance and shuts them down gracefully.
//!
//! The control thread is an OS thread with a single-threaded runtime, on which
//! the services run as local tasks. Listeners are bound before
//! anything else, so that a wrong address makes the start fail rather than
//! the first request.

use std::net;
use std::sync;
use std::thread;
use std::time;

use eyre::WrapErr as _;
use figscale_types::clock;
use figscale_types::ids;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::watch;

use crate::catalogue;
use crate::claims;
use crate::events;
use crate::inbound;
use crate::jobs;
use crate::kernel;
use crate::metrics;
use crate::operator;
use crate::peer;
use crate::settings;
use crate::state;
use crate::store;
use crate::traffic;

/// Maximum time that a process spends during shutdown on handing over the
/// request ids that it remembers.
const HANDOVER_LIMIT: time::Duration = time::Duration::from_secs(2);

/// A running entry instance.
pub struct EntryInstance {
    stop: watch::Sender<bool>,
    ended: watch::Receiver<()>,
    control: Option<thread::JoinHandle<eyre::Result<()>>>,
}

struct Listeners {
    /// Only bound at first; listened on once the claims and a catalogue are known.
    caller: TcpSocket,
    peer: TcpListener,
    operator: TcpListener,
}

impl EntryInstance {
    /// Starts an entry instance; returns once it listens on all its addresses.
    pub fn start(settings: settings::Settings, clock: clock::SharedClock) -> eyre::Result<Self> {
        let traffic = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let listeners = traffic.block_on(bind(&settings))?;
        let (stop, stopped) = watch::channel(false);
        let (running, ended) = watch::channel(());
        let control = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                // Dropped when the thread ends, also by a panic.
                let _running = running;
                control_thread(settings, clock, traffic, listeners, stopped)
            })?;
        Ok(Self {
            stop,
            ended,
            control: Some(control),
        })
    }

    /// Begins a planned stop. Idempotent.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Completes once the control thread has ended, gracefully or not.
    pub async fn ended(&mut self) {
        while self.ended.changed().await.is_ok() {}
    }

    /// Waits for the control thread to end and returns its result.
    pub fn join(mut self) -> eyre::Result<()> {
        match self.control.take().map(thread::JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(eyre::eyre!("the control thread panicked")),
            None => Ok(()),
        }
    }
}

async fn bind(settings: &settings::Settings) -> eyre::Result<Listeners> {
    async fn one(field: &str, address: net::SocketAddr) -> eyre::Result<TcpListener> {
        TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("{field}: cannot listen on {address}"))
    }
    let caller = settings.caller_address;
    let buffer_bytes = settings.traffic.receive_buffer_bytes;
    let bound = inbound::listener::bind(caller, Some(buffer_bytes))
        .wrap_err_with(|| format!("caller_address: cannot listen on {caller}"));
    Ok(Listeners {
        caller: bound?,
        peer: one("peer_address", settings.peer_address).await?,
        operator: one("operator_address", settings.operator_address).await?,
    })
}

fn control_thread(
    settings: settings::Settings,
    clock: clock::SharedClock,
    traffic: tokio::runtime::Runtime,
    listeners: Listeners,
    stopped: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let control = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let context = context(settings, clock, traffic.handle().clone());
    let local = tokio::task::LocalSet::new();
    local.block_on(&control, run(context, listeners, stopped));
    traffic.shutdown_timeout(time::Duration::from_secs(1));
    Ok(())
}

/// Returns the incarnation number of this process, from the wall clock: a later
/// start gets a larger number unless the clock was set back, which the claims
/// service detects.
pub(crate) fn new_incarnation(clock: &clock::SharedClock) -> ids::Incarnation {
    let since_epoch = clock.wall().duration_since(time::UNIX_EPOCH);
    let micros = since_epoch.unwrap_or_default().as_micros();
    ids::Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// Creates the context that the services of a process share; starts no service.
pub fn context(
    settings: settings::Settings,
    clock: clock::SharedClock,
    traffic: tokio::runtime::Handle,
) -> state::Context {
    let me = ids::MemberKey {
        id: settings.member.clone(),
        incarnation: new_incarnation(&clock),
    };
    let store = store::Store::new(settings.platform_address, &settings.store, clock.clone())
        .with_client_name(&settings.member);
    let store = sync::Arc::new(store);
    let metrics = metrics::Metrics::default();
    let counted = store.clone();
    metrics.observe_store(move || counted.counts());
    let peers = peer::Peers::new(
        me.clone(),
        settings.peer_token.clone(),
        traffic.clone(),
        clock.clone(),
    )
    .with_routes(settings.claims.peer_routes.clone());
    state::Context {
        kernel: sync::Arc::new(kernel::Kernel::default()),
        shared: sync::Arc::new(state::Shared::new(me, clock.now())),
        settings: sync::Arc::new(settings),
        clock,
        peers: sync::Arc::new(peers),
        store,
        metrics: sync::Arc::new(metrics),
        traffic,
    }
}

async fn run(context: state::Context, listeners: Listeners, mut stopped: watch::Receiver<bool>) {
    let mut handlers = peer::Handlers::default();
    catalogue::start(&context, &mut handlers);
    claims::start(&context, &mut handlers);
    jobs::start(&context, &mut handlers);
    traffic::start(&context, &mut handlers, listeners.caller);
    let operators = operator::start(&context, listeners.operator);
    let token = context.settings.peer_token.clone();
    let limits = inbound::Limits::peers(&context.settings.machine);
    let (clock, metrics) = (context.clock.clone(), context.metrics.clone());
    context.traffic.spawn(async move {
        let peers = inbound::Listener::new(listeners.peer, limits, clock, metrics);
        peer::serve(peers, token, handlers, peer::Limits::default()).await;
    });
    crate::event!(events::process::PROCESS_STARTED, member = context.me());

    // A dropped handle also requests a stop.
    let _ = stopped.wait_for(|stop| *stop).await;
    leave(&context, operators).await;
    crate::event!(events::process::PROCESS_ENDED, member = context.me());
}

/// Shuts down: reports not ready, accepts no new work, lets requests in progress
/// finish and releases the claims.
///
/// The operator address is served until the end, so that the stop can be observed.
async fn leave(context: &state::Context, operators: operator::Server) {
    crate::event!(events::process::PROCESS_LEAVING, member = context.me());
    context.shared.leaving.send_replace(true);
    let limit = time::Duration::from_millis(context.settings.shutdown_ms);
    let in_order = async {
        traffic::drain(context).await;
        claims::leave(context).await;
        let handover = traffic::hand_over_ids(context);
        let _ = tokio::time::timeout(HANDOVER_LIMIT, handover).await;
        operators.end().await;
    };
    let _ = tokio::time::timeout(limit, in_order).await;
}

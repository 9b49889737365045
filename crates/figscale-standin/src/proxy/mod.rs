//! A TCP proxy that injects faults between two processes.
//!
//! One proxy stands for the path from one client to one target, so that a path
//! can be broken in one direction, or between two particular processes only.
//! Faults are injected through the [`Handle`], or over HTTP at its control
//! address (`/control/faults`, `/control/break`), and apply to open and
//! new connections.
//!
//! `/control/silence_open` silences the connections that are open: they carry
//! nothing in either direction from then on, not even their end, as after the
//! loss of a path's state between the two ends. Later connections work.
//!
//! A cut path discards what is sent along it, as a broken link does. A
//! connection that lost bytes in a cut is reset when the cut ends, since TCP
//! would not deliver a stream with a gap either. While a path is cut in either
//! direction, a new connection is accepted but not connected to the target; on
//! a real link it would wait for its handshake.

mod control;
mod pump;

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use figscale_types::clock;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task;

use crate::http_server;

/// Faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Direction {
    /// Bytes are discarded.
    pub cut: bool,
    /// Bytes are held back until this is switched off.
    pub freeze: bool,
    /// Latency added to every byte.
    pub delay_ms: u64,
    /// A connection is reset after this many bytes in this direction.
    pub drop_after_bytes: Option<u64>,
    /// The stream is shut down, while the other direction stays open.
    pub half_close: bool,
}

/// Faults that can be injected while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// From the client to the target.
    pub to_target: Direction,
    /// From the target to the client.
    pub to_client: Direction,
    /// New connections are reset.
    pub refuse_new: bool,
}

impl Faults {
    /// Cuts both directions, or ends the cut.
    pub fn cut_both(&mut self, cut: bool) {
        self.to_target.cut = cut;
        self.to_client.cut = cut;
    }

    /// Adds this time to every byte in both directions.
    pub fn delay_both(&mut self, delay: time::Duration) {
        let delay_ms = clock::millis(delay);
        self.to_target.delay_ms = delay_ms;
        self.to_client.delay_ms = delay_ms;
    }

    fn any_cut(&self) -> bool {
        self.to_target.cut || self.to_client.cut
    }
}

/// Configuration of a proxy.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where to listen.
    pub listen: net::SocketAddr,
    /// Where to connect to.
    pub target: net::SocketAddr,
    /// Where to take control calls; `None` for a proxy inside a test.
    pub control: Option<net::SocketAddr>,
}

impl Config {
    /// A proxy to `target` on any free port of 127.0.0.1.
    pub fn to(target: net::SocketAddr) -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            target,
            control: None,
        }
    }
}

/// State shared by the connections of a proxy.
#[derive(Debug)]
pub(crate) struct Shared {
    target: watch::Sender<net::SocketAddr>,
    faults: watch::Sender<Faults>,
    /// Incremented by each command to reset all connections.
    resets: watch::Sender<u64>,
    /// Incremented by each command to silence all open connections.
    silences: watch::Sender<u64>,
    connections: atomic::AtomicU64,
    to_target_bytes: atomic::AtomicU64,
    to_client_bytes: atomic::AtomicU64,
}

/// Connections and bytes that passed through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Connections accepted since the start.
    pub connections: u64,
    /// Bytes delivered to the target.
    pub to_target_bytes: u64,
    /// Bytes delivered to the client.
    pub to_client_bytes: u64,
}

/// A running proxy; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct Handle {
    address: net::SocketAddr,
    shared: sync::Arc<Shared>,
    task: task::JoinHandle<()>,
    control: Option<http_server::Server>,
}

/// Starts a proxy; returns once it listens.
pub async fn start(config: Config) -> io::Result<Handle> {
    let listener = TcpListener::bind(config.listen).await?;
    let address = listener.local_addr()?;
    let shared = sync::Arc::new(Shared {
        target: watch::Sender::new(config.target),
        faults: watch::Sender::new(Faults::default()),
        resets: watch::Sender::new(0),
        silences: watch::Sender::new(0),
        connections: atomic::AtomicU64::new(0),
        to_target_bytes: atomic::AtomicU64::new(0),
        to_client_bytes: atomic::AtomicU64::new(0),
    });
    let control = match config.control {
        Some(listen) => {
            let app = control::router(shared.clone());
            Some(http_server::Server::start(listen, app, || ()).await?)
        }
        None => None,
    };
    let task = tokio::spawn(accept(listener, shared.clone()));
    Ok(Handle {
        address,
        shared,
        task,
        control,
    })
}

async fn accept(listener: TcpListener, shared: sync::Arc<Shared>) {
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                let _ = client.set_nodelay(true);
                shared.connections.fetch_add(1, atomic::Ordering::Relaxed);
                connections.spawn(connect(client, shared.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connect(client: TcpStream, shared: sync::Arc<Shared>) {
    let mut resets = shared.resets.subscribe();
    let mut silences = shared.silences.subscribe();
    let mut faults = shared.faults.subscribe();
    if faults.borrow().refuse_new {
        reset(&client);
        return;
    }
    let target = async {
        // Cannot fail: the sender lives as long as the proxy.
        let _ = faults.wait_for(|faults| !faults.any_cut()).await;
        let target = *shared.target.borrow();
        TcpStream::connect(target).await
    };
    tokio::select! {
        target = target => match target {
            Ok(target) => pump::forward_both(client, target, &shared, resets, silences).await,
            Err(_) => reset(&client),
        },
        _ = resets.changed() => reset(&client),
        _ = silences.changed() => {
            // Cannot fail: the sender lives as long as the proxy.
            let _ = resets.changed().await;
            reset(&client);
        }
    }
}

/// Makes closing a connection send a reset.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Handle {
    /// The address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// The address for control calls.
    pub fn control_address(&self) -> Option<net::SocketAddr> {
        self.control.as_ref().map(http_server::Server::address)
    }

    /// Changes the faults that are injected.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.shared.faults.send_modify(change);
    }

    /// Sets the target of new connections, for a process that restarts at another
    /// address.
    pub fn set_target(&self, target: net::SocketAddr) {
        self.shared.target.send_replace(target);
    }

    /// Resets every open connection.
    pub fn reset_connections(&self) {
        self.shared.resets.send_modify(|resets| *resets += 1);
    }

    /// Silences every open connection for good.
    pub fn silence_open(&self) {
        self.shared.silences.send_modify(|silences| *silences += 1);
    }

    /// Connections and bytes that passed through it.
    pub fn traffic(&self) -> Traffic {
        self.shared.traffic()
    }
}

impl Shared {
    fn traffic(&self) -> Traffic {
        let read = |count: &atomic::AtomicU64| count.load(atomic::Ordering::Relaxed);
        Traffic {
            connections: read(&self.connections),
            to_target_bytes: read(&self.to_target_bytes),
            to_client_bytes: read(&self.to_client_bytes),
        }
    }
}

//! Accepts connections within the limits of a listener.

use std::io;
use std::net;
use std::sync;
use std::time;

use figscale_types::clock;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use super::limits::Limits;
use super::registry::Connection;
use super::registry::Registry;
use super::stream::Stream;
use crate::metrics;

/// Delay after an accept that failed, most likely for lack of file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Timeouts are checked this number of times while the shortest one passes.
const CHECKS_PER_TIMEOUT: u32 = 4;
/// Shortest time between two checks of timeouts.
const MIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Length of the listen queue: connections that wait to be accepted.
pub(crate) const BACKLOG: u32 = 1_024;

/// Binds a socket to an address without listening on it. Its connections have receive
/// buffers of the given size, if there is one.
pub(crate) fn bind(
    address: net::SocketAddr,
    receive_buffer_bytes: Option<u64>,
) -> io::Result<TcpSocket> {
    let socket = match address {
        net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // `TcpListener::bind` sets it too: a new process can bind the address at once.
    socket.set_reuseaddr(true)?;
    // Connections inherit the size, which has to be known before they are opened.
    if let Some(bytes) = receive_buffer_bytes {
        socket.set_recv_buffer_size(u32::try_from(bytes).unwrap_or(u32::MAX))?;
    }
    socket.bind(address)?;
    Ok(socket)
}

/// A new connection, registered.
pub(crate) struct Accepted {
    pub(crate) socket: TcpStream,
    pub(crate) connection: sync::Arc<Connection>,
}

impl Accepted {
    /// The socket, which records when its client sends and reads.
    pub(crate) fn into_stream(self) -> Stream {
        Stream::new(self.socket, self.connection)
    }
}

/// A listener with a bound on its connections.
pub(crate) struct Listener {
    listener: TcpListener,
    registry: sync::Arc<Registry>,
    checks: tokio::time::Interval,
}

impl Listener {
    pub(crate) fn new(
        listener: TcpListener,
        limits: Limits,
        clock: clock::SharedClock,
        metrics: sync::Arc<metrics::Metrics>,
    ) -> Self {
        let shortest = limits.head_timeout.min(limits.write_timeout);
        let period = (shortest / CHECKS_PER_TIMEOUT).max(MIN_CHECK_INTERVAL);
        let mut checks = tokio::time::interval(period);
        checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        Self {
            listener,
            registry: Registry::new(limits, clock, metrics),
            checks,
        }
    }

    /// Accepts the next connection; closes those that exceed a timeout meanwhile.
    pub(crate) async fn accept(&mut self) -> Accepted {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = self.checks.tick() => {
                    self.registry.close_overdue();
                    continue;
                }
            };
            let Ok((socket, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // Without a place the socket is closed: a refusal would have to say whether
            // the request, which may be a repeat, has run.
            let Some(connection) = self.registry.admit().await else {
                continue;
            };
            let _ = socket.set_nodelay(true);
            return Accepted { socket, connection };
        }
    }
}

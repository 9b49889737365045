//! Pool of keep-alive HTTP/1.1 connections to runners, limited per runner.
//!
//! Only the holder of a runner's shard connects to it, so the limit here holds
//! over all entry instances. A permit belongs to an open socket, not to a
//! request, and is returned when the socket is closed.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use figscale_types::ids;
use figscale_types::mutex;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use super::fence;

/// The sending side of a connection to a runner.
pub(super) struct Connection {
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
    pub(super) gate: sync::Arc<fence::Gate>,
    /// Whether it has already served a request.
    pub(super) reused: bool,
}

#[derive(Default)]
struct Runner {
    idle: Vec<Connection>,
    permits: Option<sync::Arc<Semaphore>>,
}

/// Connections by runner.
#[derive(Default)]
pub(super) struct Pool {
    runners: sync::Mutex<IndexMap<ids::InstanceId, Runner>>,
}

/// Why no connection could be provided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoConnection {
    /// The limit of connections to the runner is reached.
    Limit,
    /// The runner could not be reached in time.
    Unreachable,
}

impl Pool {
    /// Returns an idle connection, or opens a new one within the limit.
    pub(super) async fn get(
        &self,
        runner: &ids::InstanceId,
        address: net::SocketAddr,
        limit: u32,
        timeout: time::Duration,
    ) -> Result<Connection, NoConnection> {
        while let Some(mut connection) = self.idle(runner) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let permits = self.permits(runner, limit);
        let permit = match permits.try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => return Err(NoConnection::Limit),
        };
        let unreachable = |_| NoConnection::Unreachable;
        let connect = TcpStream::connect(address);
        let socket = tokio::time::timeout(timeout, connect).await;
        let socket = socket
            .map_err(|_| NoConnection::Unreachable)?
            .map_err(unreachable)?;
        let _ = socket.set_nodelay(true);
        let gate = sync::Arc::new(fence::Gate::default());
        let io = TokioIo::new(fence::Fenced::new(socket, gate.clone()));
        let (sender, connection) = http1::handshake(io)
            .await
            .map_err(|_| NoConnection::Unreachable)?;
        tokio::spawn(async move {
            let _ = connection.await;
            drop(permit);
        });
        Ok(Connection {
            sender,
            gate,
            reused: false,
        })
    }

    fn idle(&self, runner: &ids::InstanceId) -> Option<Connection> {
        let mut runners = mutex::lock(&self.runners);
        let idle = &mut runners.get_mut(runner)?.idle;
        idle.retain(|connection| !connection.sender.is_closed());
        // One that is not ready has just been returned, and will be ready at once.
        let ready = idle
            .iter()
            .rposition(|connection| connection.sender.is_ready());
        match ready {
            Some(index) => Some(idle.swap_remove(index)),
            None => idle.pop(),
        }
    }

    fn permits(&self, runner: &ids::InstanceId, limit: u32) -> sync::Arc<Semaphore> {
        let mut runners = mutex::lock(&self.runners);
        let runner = runners.entry(runner.clone()).or_default();
        let new = || sync::Arc::new(Semaphore::new(limit as usize));
        runner.permits.get_or_insert_with(new).clone()
    }

    /// Returns a connection whose exchange is complete to the pool.
    pub(super) fn put(&self, runner: &ids::InstanceId, mut connection: Connection) {
        connection.reused = true;
        if connection.sender.is_closed() {
            return;
        }
        let mut runners = mutex::lock(&self.runners);
        // If the runner was removed meanwhile, the connection is dropped and closed.
        if let Some(runner) = runners.get_mut(runner) {
            runner.idle.push(connection);
        }
    }

    /// Closes idle connections to runners that are no longer held.
    pub(super) fn retain(&self, is_held: impl Fn(&ids::InstanceId) -> bool) {
        let mut runners = mutex::lock(&self.runners);
        for (id, runner) in runners.iter_mut() {
            if !is_held(id) {
                runner.idle.clear();
            }
        }
        runners.retain(|id, runner| {
            let open = runner.permits.as_ref();
            is_held(id) || open.is_some_and(|permits| sync::Arc::strong_count(permits) > 1)
        });
    }
}

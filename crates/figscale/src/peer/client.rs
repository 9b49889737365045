//! Client side of the connections to other entry instances.

use std::error;
use std::fmt;
use std::io;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::mutex;
use figscale_types::verdict::Verdict;
use h2::client;
use indexmap::IndexMap;
use serde::Serialize;
use serde::de;
use tokio::net::TcpStream;

use super::codec;
use super::connection;

/// A connection that carries nothing for a shorter time than this counts as
/// responsive.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(250);
/// A call that ends later than its timeout by more than this was held up in this
/// process, where its response may be unread.
const MAX_TIMER_LAG: time::Duration = time::Duration::from_millis(100);
/// Time to connect to a peer.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// A call to a peer that failed.
#[derive(Debug)]
pub struct PeerError {
    /// Whether the peer may have executed the call.
    pub verdict: Verdict,
    /// The underlying error.
    pub cause: eyre::Report,
    /// The connection that the call was sent on; `None` if it was not sent.
    pub connection: Option<connection::ConnectionAges>,
}

impl PeerError {
    fn new(verdict: Verdict, cause: impl Into<eyre::Report>) -> Self {
        Self {
            verdict,
            cause: cause.into(),
            connection: None,
        }
    }

    fn with_connection(self, connection: Option<connection::ConnectionAges>) -> Self {
        Self { connection, ..self }
    }

    /// Whether the peer's address refused the connection: no process listens there.
    pub fn is_refused(&self) -> bool {
        let cause = self.cause.downcast_ref::<io::Error>();
        cause.is_some_and(|cause| cause.kind() == io::ErrorKind::ConnectionRefused)
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer call ({}): {:#}", self.verdict, self.cause)?;
        match &self.connection {
            Some(connection) => write!(f, "; {connection}"),
            None => Ok(()),
        }
    }
}

impl error::Error for PeerError {}

type SharedConnection = sync::Arc<connection::Connection>;

/// The connection in use for each peer and kind.
type Connections = IndexMap<(net::SocketAddr, connection::Kind), SharedConnection>;

/// Where a connection comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// Opened for the stream that is to use it.
    Opened,
    /// Opened for an earlier stream.
    Reused,
}

/// A stream that is open for sending.
pub struct OpenStream {
    /// Completes with the head of the response.
    pub response: client::ResponseFuture,
    /// Sends the body of the request.
    pub sender: h2::SendStream<Bytes>,
    pub(crate) connection: sync::Arc<connection::Connection>,
}

/// Connections to other entry instances, opened on first use and then reused.
pub struct Peers {
    me: ids::MemberKey,
    token: String,
    runtime: tokio::runtime::Handle,
    clock: clock::SharedClock,
    routes: IndexMap<net::SocketAddr, net::SocketAddr>,
    connections: sync::Mutex<Connections>,
}

impl Peers {
    /// Creates a client that authenticates with `token`; its connections run on
    /// `runtime`.
    pub fn new(
        me: ids::MemberKey,
        token: String,
        runtime: tokio::runtime::Handle,
        clock: clock::SharedClock,
    ) -> Self {
        Self {
            me,
            token,
            runtime,
            clock,
            routes: IndexMap::new(),
            connections: sync::Mutex::default(),
        }
    }

    /// Replaces published peer addresses by others: connections to a key of
    /// `routes` are made to its value.
    pub fn with_routes(mut self, routes: IndexMap<net::SocketAddr, net::SocketAddr>) -> Self {
        self.routes = routes;
        self
    }

    /// Calls a service of a peer and waits at most `timeout` for the response.
    pub async fn call<Q: Serialize, A: de::DeserializeOwned>(
        &self,
        peer: net::SocketAddr,
        service: &str,
        message: &Q,
        timeout: time::Duration,
    ) -> Result<A, PeerError> {
        let body = codec::encode(message).map_err(|e| PeerError::new(Verdict::NotRun, e))?;
        let begun_at = self.clock.now();
        let mut opened_on = None;
        let response = self.call_bytes(peer, service, body.into(), &mut opened_on);
        let response = tokio::time::timeout(timeout, response).await;
        let now = self.clock.now();
        if let (Err(_), Some(connection)) = (&response, &opened_on) {
            let since = connection.awaited_since(begun_at);
            let is_punctual = now <= begun_at + timeout + MAX_TIMER_LAG;
            if is_punctual && now >= since + MIN_SILENCE {
                self.retire_if_silent(connection, since);
            }
        }
        let bytes = response.unwrap_or_else(|_| {
            // Once the stream is open the peer may execute the call.
            let verdict = match opened_on {
                Some(_) => Verdict::MayHaveRun,
                None => Verdict::NotRun,
            };
            Err(PeerError::new(
                verdict,
                eyre::eyre!("no response within {timeout:?}"),
            ))
        });
        let bytes = bytes.map_err(|error| {
            error.with_connection(opened_on.map(|connection| connection.ages(now)))
        })?;
        codec::decode(&bytes).map_err(|e| PeerError::new(Verdict::MayHaveRun, e))
    }

    /// Sets `opened_on` to the connection once the stream is open.
    async fn call_bytes(
        &self,
        peer: net::SocketAddr,
        service: &str,
        body: Bytes,
        opened_on: &mut Option<SharedConnection>,
    ) -> Result<Bytes, PeerError> {
        let path = format!("{}{service}", super::CALL_PATH);
        let stream = self.open(peer, connection::Kind::Calls, &path).await?;
        let (answer, mut sender) = (stream.response, stream.sender);
        let connection = opened_on.insert(stream.connection);
        let maybe = |e: h2::Error| PeerError::new(Verdict::MayHaveRun, e);
        send_all(&mut sender, body).await.map_err(maybe)?;
        let answer = answer.await.map_err(maybe)?;
        connection.record_response(self.clock.now());
        let status = answer.status();
        let record_part = || connection.record_response(self.clock.now());
        let bytes = read_all(answer.into_body(), record_part).await;
        let bytes = bytes.map_err(maybe)?;
        match status {
            http::StatusCode::OK => Ok(bytes),
            http::StatusCode::FORBIDDEN | http::StatusCode::NOT_FOUND => Err(PeerError::new(
                Verdict::NotRun,
                eyre::eyre!("peer rejected the call: {status}"),
            )),
            _ => Err(PeerError::new(
                Verdict::MayHaveRun,
                eyre::eyre!(
                    "call failed at the peer: {status}: {}",
                    String::from_utf8_lossy(&bytes)
                ),
            )),
        }
    }

    /// Opens a stream at `path` of a peer.
    ///
    /// An error means that the peer did not receive the stream.
    async fn open(
        &self,
        peer: net::SocketAddr,
        kind: connection::Kind,
        path: &str,
    ) -> Result<OpenStream, PeerError> {
        let not_run = |e: eyre::Report| PeerError::new(Verdict::NotRun, e);
        let request = http::Request::post(format!("http://{peer}{path}"))
            .header(super::TOKEN, &self.token)
            .header(super::FROM, self.me.to_string())
            .body(())
            .map_err(|e| not_run(e.into()))?;
        loop {
            let (connection, origin) = self.connection(peer, kind).await.map_err(not_run)?;
            match open_on(&connection, request.clone()).await {
                Ok((response, sender)) => {
                    return Ok(OpenStream {
                        response,
                        sender,
                        connection,
                    });
                }
                // A connection may break while it is idle, which shows only now.
                Err(_) if origin == Origin::Reused => self.retire(&connection),
                Err(error) => {
                    self.retire(&connection);
                    return Err(not_run(error.into()));
                }
            };
        }
    }

    /// Opens a stream to the handler `name` of a peer.
    pub async fn open_stream(
        &self,
        peer: net::SocketAddr,
        name: &str,
    ) -> Result<OpenStream, PeerError> {
        let path = format!("{}{name}", super::STREAM_PATH);
        self.open(peer, connection::Kind::Streams, &path).await
    }

    async fn connection(
        &self,
        peer: net::SocketAddr,
        kind: connection::Kind,
    ) -> eyre::Result<(SharedConnection, Origin)> {
        let known = self.connections().get(&(peer, kind)).cloned();
        if let Some(connection) = known {
            return Ok((connection, Origin::Reused));
        }
        let address = self.routes.get(&peer).copied().unwrap_or(peer);
        let connect = TcpStream::connect(address);
        let timeout = time::Duration::from_millis(CONNECT_TIMEOUT_MS);
        let socket = tokio::time::timeout(timeout, connect).await??;
        socket.set_nodelay(true)?;
        let (sender, driver) = client::Builder::new()
            .initial_window_size(1 << 20)
            .initial_connection_window_size(8 << 20)
            .handshake(socket)
            .await?;
        self.runtime.spawn(async move {
            if let Err(error) = driver.await {
                crate::event!(
                    crate::events::process::PEER_LINK_BROKEN,
                    peer = peer,
                    error = error
                );
            }
        });
        let connection = connection::Connection::new(peer, kind, sender, self.clock.now());
        let connection = sync::Arc::new(connection);
        self.connections().insert((peer, kind), connection.clone());
        Ok((connection, Origin::Opened))
    }

    /// Replaces a connection that has carried no response since `since`: the next
    /// call opens a new one. Calls that wait on the old one may still be answered.
    pub(crate) fn retire_if_silent(
        &self,
        connection: &sync::Arc<connection::Connection>,
        since: time::Instant,
    ) {
        if connection.is_silent_since(since) && self.retire(connection) {
            crate::event!(
                crate::events::process::PEER_LINK_SILENT,
                peer = connection.peer,
                state = connection.ages(self.clock.now())
            );
        }
    }

    /// Takes a connection out of use; false if another one has replaced it.
    fn retire(&self, connection: &SharedConnection) -> bool {
        let mut connections = self.connections();
        let key = (connection.peer, connection.kind);
        let in_use = connections.get(&key);
        let is_in_use = in_use.is_some_and(|in_use| sync::Arc::ptr_eq(in_use, connection));
        if is_in_use {
            connections.swap_remove(&key);
        }
        is_in_use
    }

    fn connections(&self) -> sync::MutexGuard<'_, Connections> {
        mutex::lock(&self.connections)
    }
}

async fn open_on(
    connection: &connection::Connection,
    request: http::Request<()>,
) -> Result<(client::ResponseFuture, h2::SendStream<Bytes>), h2::Error> {
    let mut sender = connection.sender().ready().await?;
    sender.send_request(request, false)
}

/// Sends a whole body, respecting the peer's flow control, and ends the stream.
pub(super) async fn send_all(
    sender: &mut h2::SendStream<Bytes>,
    body: Bytes,
) -> Result<(), h2::Error> {
    send(sender, body).await?;
    sender.send_data(Bytes::new(), true)
}

/// Sends bytes, respecting the peer's flow control; the stream stays open.
pub(crate) async fn send(
    sender: &mut h2::SendStream<Bytes>,
    mut bytes: Bytes,
) -> Result<(), h2::Error> {
    while !bytes.is_empty() {
        sender.reserve_capacity(bytes.len());
        let capacity = match std::future::poll_fn(|cx| sender.poll_capacity(cx)).await {
            Some(capacity) => capacity?,
            None => return Err(h2::Reason::CANCEL.into()),
        };
        let part = bytes.split_to(capacity.min(bytes.len()));
        sender.send_data(part, false)?;
    }
    Ok(())
}

/// Reads a whole body of at most [`codec::MAX_MESSAGE_BYTES`]; `on_part` is called
/// for each part that arrives.
pub(super) async fn read_all(
    mut body: h2::RecvStream,
    on_part: impl Fn(),
) -> Result<Bytes, h2::Error> {
    let mut all = bytes::BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part?;
        on_part();
        let _ = body.flow_control().release_capacity(part.len());
        if all.len() + part.len() > codec::MAX_MESSAGE_BYTES {
            return Err(h2::Reason::ENHANCE_YOUR_CALM.into());
        }
        all.extend_from_slice(&part);
    }
    Ok(all.freeze())
}

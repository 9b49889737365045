//! Server side of the connections from other entry instances.

use std::future;
use std::net;
use std::str::FromStr;
use std::sync;
use std::time;

use bytes::Bytes;
use figscale_types::clock;
use figscale_types::ids;
use h2::server;
use indexmap::IndexMap;
use serde::Serialize;
use serde::de;
use tokio::net::TcpListener;

use super::client;
use super::codec;
use crate::inbound;
use crate::kernel;
use crate::settings;

/// Flow-control window of a connection before its peer has shown the token.
const STRANGER_WINDOW_BYTES: u32 = 1 << 16;
/// Flow-control window of a connection of a peer.
const PEER_WINDOW_BYTES: u32 = 8 << 20;
/// Largest list of headers of a stream.
const MAX_HEADER_LIST_BYTES: u32 = 16_384;

/// Why a call failed; its text is sent to the peer.
pub type CallError = eyre::Report;

/// A stream that a peer opened.
pub struct IncomingStream {
    /// The peer that opened it.
    pub from: ids::MemberKey,
    /// The body that the peer sends.
    pub body: h2::RecvStream,
    /// Sends the response.
    pub respond: server::SendResponse<Bytes>,
}

type CallFn = sync::Arc<
    dyn Fn(ids::MemberKey, Bytes) -> kernel::BoxFuture<Result<Vec<u8>, CallError>> + Send + Sync,
>;
type StreamFn = sync::Arc<dyn Fn(IncomingStream) -> kernel::BoxFuture<()> + Send + Sync>;

/// Handlers of the calls and streams of peers, by name.
#[derive(Clone, Default)]
pub struct Handlers {
    calls: IndexMap<&'static str, CallFn>,
    streams: IndexMap<&'static str, StreamFn>,
}

impl Handlers {
    /// Registers the handler of calls to the service `name`.
    pub fn on_call<Q, A, F>(
        &mut self,
        name: &'static str,
        handler: impl Fn(ids::MemberKey, Q) -> F + Send + Sync + 'static,
    ) where
        Q: de::DeserializeOwned + Send + 'static,
        A: Serialize,
        F: future::Future<Output = Result<A, CallError>> + Send + 'static,
    {
        let handler = sync::Arc::new(handler);
        let call = move |from, body: Bytes| -> kernel::BoxFuture<Result<Vec<u8>, CallError>> {
            let message = codec::decode(&body);
            let handler = handler.clone();
            Box::pin(async move {
                let answer = handler(from, message?).await?;
                codec::encode(&answer)
            })
        };
        self.calls.insert(name, sync::Arc::new(call));
    }

    /// Registers the handler of streams opened to `name`.
    pub fn on_stream<F>(
        &mut self,
        name: &'static str,
        handler: impl Fn(IncomingStream) -> F + Send + Sync + 'static,
    ) where
        F: future::Future<Output = ()> + Send + 'static,
    {
        let stream = move |stream| -> kernel::BoxFuture<()> { Box::pin(handler(stream)) };
        self.streams.insert(name, sync::Arc::new(stream));
    }
}

/// Limits of the connections from peers.
///
/// A peer that lost power or is cut off closes no connection, and neither does one
/// that has replaced a silent connection. Each would otherwise keep a descriptor
/// until the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time to complete the handshake; 5 s by default.
    pub handshake_timeout: time::Duration,
    /// Pause before each ping; 30 s by default.
    pub ping_interval: time::Duration,
    /// Time to answer a ping; 10 s by default.
    pub ping_timeout: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            handshake_timeout: time::Duration::from_secs(5),
            ping_interval: time::Duration::from_secs(30),
            ping_timeout: time::Duration::from_secs(10),
        }
    }
}

/// Serves peers on `listener` until the process ends, with the default limits.
pub async fn listen(listener: TcpListener, token: String, handlers: Handlers) {
    listen_within(listener, token, handlers, Limits::default()).await;
}

/// Like [`listen`], with other limits.
pub async fn listen_within(
    listener: TcpListener,
    token: String,
    handlers: Handlers,
    limits: Limits,
) {
    let on_connections = inbound::Limits::peers(&settings::MachineSettings::default());
    let clock = sync::Arc::new(clock::SystemClock);
    let listener = inbound::Listener::new(listener, on_connections, clock, sync::Arc::default());
    serve(listener, token, handlers, limits).await;
}

/// Serves peers until the process ends.
pub(crate) async fn serve(
    mut listener: inbound::Listener,
    token: String,
    handlers: Handlers,
    limits: Limits,
) {
    let handlers = sync::Arc::new(handlers);
    loop {
        let accepted = listener.accept().await;
        let registered = accepted.connection.clone();
        let handlers = handlers.clone();
        let token = token.clone();
        let task = tokio::spawn(async move {
            let _ = serve_connection(accepted, token, handlers, limits).await;
        });
        registered.set_task(task.abort_handle());
    }
}

async fn serve_connection(
    accepted: inbound::listener::Accepted,
    token: String,
    handlers: sync::Arc<Handlers>,
    limits: Limits,
) -> eyre::Result<()> {
    let peer = accepted.socket.peer_addr()?;
    let registered = accepted.connection.clone();
    let handshake = server::Builder::new()
        .initial_window_size(1 << 20)
        .initial_connection_window_size(STRANGER_WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .max_concurrent_streams(4_096)
        .handshake(accepted.into_stream());
    let mut connection = tokio::time::timeout(limits.handshake_timeout, handshake).await??;
    let ping_pong = connection.ping_pong();
    tokio::select! {
        served = serve_streams(&mut connection, &registered, peer, &token, &handlers) => served?,
        () = unanswered_ping(ping_pong, limits) => {
            crate::event!(crate::events::process::PEER_GONE, address = peer);
        }
    }
    Ok(())
}

/// Completes when the peer has left a ping unanswered.
async fn unanswered_ping(ping_pong: Option<h2::PingPong>, limits: Limits) {
    let Some(mut ping_pong) = ping_pong else {
        return future::pending().await;
    };
    loop {
        tokio::time::sleep(limits.ping_interval).await;
        let ping = ping_pong.ping(h2::Ping::opaque());
        if tokio::time::timeout(limits.ping_timeout, ping)
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn serve_streams(
    connection: &mut server::Connection<inbound::Stream, Bytes>,
    registered: &inbound::Connection,
    peer: net::SocketAddr,
    token: &str,
    handlers: &sync::Arc<Handlers>,
) -> Result<(), h2::Error> {
    while let Some(stream) = connection.accept().await {
        let (request, respond) = stream?;
        let Some(from) = authenticate(&request, token) else {
            crate::event!(crate::events::process::PEER_REFUSED, address = peer);
            refuse(respond, http::StatusCode::FORBIDDEN);
            continue;
        };
        // From now on the connection is not closed in favour of another.
        registered.complete_request();
        connection.set_target_window_size(PEER_WINDOW_BYTES);
        tokio::spawn(dispatch(request, respond, from, handlers.clone()));
    }
    Ok(())
}

fn authenticate(request: &http::Request<h2::RecvStream>, token: &str) -> Option<ids::MemberKey> {
    let header = |name| request.headers().get(name)?.to_str().ok();
    if header(super::TOKEN)? != token {
        return None;
    }
    let (id, incarnation) = header(super::FROM)?.rsplit_once('#')?;
    Some(ids::MemberKey {
        id: id.parse().ok()?,
        incarnation: ids::Incarnation::from_str(incarnation).ok()?,
    })
}

fn refuse(mut respond: server::SendResponse<Bytes>, status: http::StatusCode) {
    let mut answer = http::Response::new(());
    *answer.status_mut() = status;
    let _ = respond.send_response(answer, true);
}

async fn dispatch(
    request: http::Request<h2::RecvStream>,
    respond: server::SendResponse<Bytes>,
    from: ids::MemberKey,
    handlers: sync::Arc<Handlers>,
) {
    let path = request.uri().path().to_owned();
    let body = request.into_body();
    if let Some(name) = path.strip_prefix(super::CALL_PATH)
        && let Some(call) = handlers.calls.get(name)
    {
        answer_call(call(from, read_or_empty(body).await).await, respond).await;
    } else if let Some(name) = path.strip_prefix(super::STREAM_PATH)
        && let Some(stream) = handlers.streams.get(name)
    {
        let incoming = IncomingStream {
            from,
            body,
            respond,
        };
        stream(incoming).await;
    } else {
        refuse(respond, http::StatusCode::NOT_FOUND);
    }
}

/// Reads a body; a truncated one becomes empty, which fails to decode, and the
/// peer is sent that error.
async fn read_or_empty(body: h2::RecvStream) -> Bytes {
    client::read_all(body, || ()).await.unwrap_or_default()
}

async fn answer_call(result: Result<Vec<u8>, CallError>, mut respond: server::SendResponse<Bytes>) {
    let (status, bytes) = match result {
        Ok(bytes) => (http::StatusCode::OK, bytes),
        Err(error) => (
            http::StatusCode::INTERNAL_SERVER_ERROR,
            format!("{error:#}").into_bytes(),
        ),
    };
    let mut head = http::Response::new(());
    *head.status_mut() = status;
    if let Ok(mut sender) = respond.send_response(head, false) {
        let _ = client::send_all(&mut sender, bytes.into()).await;
    }
}

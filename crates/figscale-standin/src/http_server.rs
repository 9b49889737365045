//! The HTTP/1.1 server used by every stand-in.
//!
//! Unlike `axum::serve`, it closes all its connections when it is dropped, as a
//! crashed process does, and a handler can close a connection without a
//! response, which is what a lost response looks like to the caller.

mod counted;

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use axum::Router;
use axum::body::Body;
use axum::response::IntoResponse as _;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper::service::Service as _;
use hyper_util::rt;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;

/// Marks a response that is never sent: the connection is closed instead.
#[derive(Clone, Copy, Debug)]
struct CloseWithoutResponse;

/// A response that makes the server close the connection without sending one.
pub(crate) fn close_without_response() -> Response<Body> {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    response.extensions_mut().insert(CloseWithoutResponse);
    response
}

/// A running server; dropping it stops it and closes its connections.
#[derive(Debug)]
pub(crate) struct Server {
    address: net::SocketAddr,
    bytes: sync::Arc<atomic::AtomicU64>,
    task: task::JoinHandle<()>,
}

impl Server {
    /// Serves `app`; `connected` returns a guard that is dropped when
    /// the connection ends.
    pub(crate) async fn start<G: Send + 'static>(
        listen: net::SocketAddr,
        app: Router,
        connected: impl Fn() -> G + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let bytes = sync::Arc::new(atomic::AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, app, bytes.clone(), connected));
        Ok(Self {
            address,
            bytes,
            task,
        })
    }

    /// Bytes received and sent over all connections.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(atomic::Ordering::Relaxed)
    }

    /// The address that it listens on.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<G: Send + 'static>(
    listener: TcpListener,
    app: Router,
    bytes: sync::Arc<atomic::AtomicU64>,
    connected: impl Fn() -> G + Send + 'static,
) {
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let guard = connected();
                let app = app.clone();
                let bytes = bytes.clone();
                connections.spawn(async move {
                    serve(stream, app, bytes).await;
                    drop(guard);
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, app: Router, bytes: sync::Arc<atomic::AtomicU64>) {
    let _ = stream.set_nodelay(true);
    let stream = counted::Counted::new(stream, bytes);
    let app = TowerToHyperService::new(app);
    let service = service::service_fn(move |request: Request<Incoming>| {
        let answer = app.call(request);
        async move {
            let response = answer.await.unwrap_or_else(|never| match never {});
            match response.extensions().get::<CloseWithoutResponse>() {
                Some(_) => Err(io::Error::other("closed without an answer")),
                None => Ok(response),
            }
        }
    });
    // Errors of the connection are ignored: the client sees them.
    let _ = http1::Builder::new()
        .serve_connection(rt::TokioIo::new(stream), service)
        .await;
}

//! Serves HTTP/1.1 on accepted connections.

use std::convert;
use std::error;
use std::future;
use std::pin;
use std::sync;
use std::task;

use axum::Router;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service as _;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful;
use hyper_util::service::TowerToHyperService;
use tokio::sync::watch;

use super::body;
use super::listener::Accepted;
use super::listener::Listener;
use super::registry::Cause;
use super::registry::Connection;

/// Counts a request as in progress on its connection until the end of its answer.
struct RequestGuard(sync::Arc<Connection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// Body of an answer, with the guard of its request.
pub(crate) struct AnswerBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl<B: hyper::body::Body + Unpin> hyper::body::Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<hyper::body::Frame<B::Data>, B::Error>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

/// Whether answers have a `date` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DateHeader {
    /// They have one.
    Sent,
    /// They have none.
    Omitted,
}

/// Starts serving a connection with `handler`, which reads each body by
/// [`super::body::read`].
pub(crate) fn spawn<H, F, B>(
    accepted: Accepted,
    shutdown: &graceful::GracefulShutdown,
    date: DateHeader,
    handler: H,
) where
    H: Fn(sync::Arc<Connection>, Request<Incoming>) -> F + Send + 'static,
    F: future::Future<Output = Response<B>> + Send + 'static,
    B: hyper::body::Body + Unpin + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let connection = accepted.connection.clone();
    let limits = connection.limits();
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(limits.max_head_bytes)
        .max_headers(limits.max_headers)
        .auto_date_header(date == DateHeader::Sent);
    let stream = TokioIo::new(accepted.into_stream());
    let on_connection = connection.clone();
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let connection = on_connection.clone();
        let begun = connection.begin_request(!request.body().is_end_stream());
        let guard = RequestGuard(connection.clone());
        let crowded = connection.clone();
        let answer = begun.then(|| handler(connection, request));
        async move {
            let answer = match answer {
                Some(answer) => answer.await,
                // The connection is being closed; the request has no effect.
                None => future::pending().await,
            };
            let mut answer = answer.map(|body| AnswerBody {
                body,
                _guard: guard,
            });
            if crowded.is_crowded() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, convert::Infallible>(answer)
        }
    });
    let served = shutdown.watch(builder.serve_connection(stream, service));
    let on_error = connection.clone();
    let task = tokio::spawn(async move {
        if let Err(error) = served.await
            && error.is_parse_too_large()
        {
            on_error.record_refused(Cause::HeadSize);
        }
    });
    connection.set_task(task.abort_handle());
}

/// Serves a listener until `stopped`, then until the last answer has been sent.
pub(crate) async fn serve<H, F, B>(
    mut listener: Listener,
    mut stopped: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(sync::Arc<Connection>, Request<Incoming>) -> F + Clone + Send + 'static,
    F: future::Future<Output = Response<B>> + Send + 'static,
    B: hyper::body::Body + Unpin + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let shutdown = graceful::GracefulShutdown::new();
    let until = async move {
        let _ = stopped.wait_for(|stop| *stop).await;
    };
    tokio::pin!(until);
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                spawn(accepted, &shutdown, DateHeader::Sent, handler.clone());
            }
            () = &mut until => break,
        }
    }
    drop(listener);
    shutdown.shutdown().await;
}

/// Like [`serve`], with a router and a limit on the bodies that it is given. A body that
/// cannot be read is answered with `refuse`.
pub(crate) async fn serve_router(
    listener: Listener,
    stopped: watch::Receiver<bool>,
    router: Router,
    max_body_bytes: usize,
    refuse: fn(body::BodyError) -> axum::response::Response,
) {
    let handler = move |connection: sync::Arc<Connection>, request: Request<Incoming>| {
        let router = TowerToHyperService::new(router.clone());
        async move {
            let timeout = connection.limits().body_timeout;
            let (head, body) = request.into_parts();
            let body = body::read(&connection, body, max_body_bytes as u64, timeout).await;
            let body = match body {
                Ok(body) => body,
                Err(error) => return refuse(error),
            };
            let bytes = axum::body::Body::from(body.bytes().clone());
            match router.call(Request::from_parts(head, bytes)).await {
                Ok(answer) => answer,
                Err(never) => match never {},
            }
        }
    };
    serve(listener, stopped, handler).await;
}

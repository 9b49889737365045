//! Answers callers: finds the queue, asks the leader, tells the outcome.
//!
//! Any instance takes any call. A call that the leader did not answer is sent
//! again, to whoever leads then, as long as the caller waits: the id makes a
//! repeated submission the same job. A caller is told 503 or 429 only where
//! its job surely was not taken, which only a leader can know: an earlier try
//! may have gone through another instance. Where nobody knows it is 504.

mod authorize;
mod call;
mod dispatch;
mod reply;
mod submit;

use std::future::IntoFuture as _;

use axum::Router;
use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use figscale_platform::ingress;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task;

use super::Context;
use super::readiness;

/// The callers' listener of a running process.
pub(super) struct Server {
    stop: watch::Sender<bool>,
    served: Vec<task::JoinHandle<()>>,
}

impl Server {
    /// Takes no more connections; open ones end after their answer.
    pub(super) fn stop(&mut self) {
        self.stop.send_replace(true);
    }

    /// Completes when the last connection has ended.
    pub(super) async fn ended(&mut self) {
        for served in self.served.drain(..) {
            let _ = served.await;
        }
    }
}

/// Serves callers, and the balancer's question whether to send any.
pub(super) fn start(context: &Context, callers: TcpListener, ready: TcpListener) -> Server {
    let (stop, stopped) = watch::channel(false);
    let calls = Router::new()
        .fallback(dispatch::answer)
        .layer(extract::DefaultBodyLimit::max(call::MAX_BODY_BYTES))
        .with_state(context.clone());
    let balancer = Router::new()
        .route(ingress::READY_PATH, routing::get(is_ready))
        .with_state(context.clone());
    let served = vec![
        tokio::spawn(serve(callers, calls, stopped.clone())),
        tokio::spawn(serve(ready, balancer, stopped)),
    ];
    Server { stop, served }
}

async fn serve(listener: TcpListener, app: Router, mut stopped: watch::Receiver<bool>) {
    let until = async move {
        let _ = stopped.wait_for(|stop| *stop).await;
    };
    let _ = axum::serve(listener, app)
        .with_graceful_shutdown(until)
        .into_future()
        .await;
}

async fn is_ready(extract::State(context): extract::State<Context>) -> response::Response {
    match readiness::why_not_ready(&context) {
        None => http::StatusCode::OK.into_response(),
        Some(why) => (http::StatusCode::SERVICE_UNAVAILABLE, why).into_response(),
    }
}

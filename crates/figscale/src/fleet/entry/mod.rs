//! Serves callers: finds the queue of a call, calls the leader, returns its answer.
//!
//! Any instance accepts any call. A call that the leader does not answer is sent
//! again, to whichever instance leads by then, until the caller's deadline; the
//! job's id makes a repeated submission idempotent. A submission is answered with
//! 503 or 429 only if the job was certainly not accepted. Only a leader can know
//! that, since an earlier attempt may have gone through another instance. If
//! that is not known, the answer is 504.

mod authorize;
mod call;
mod dispatch;
mod reply;
mod submit;

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
use crate::inbound;

/// The listeners for callers and for the load balancer.
pub(super) struct Server {
    stop: watch::Sender<bool>,
    served: Vec<task::JoinHandle<()>>,
}

impl Server {
    /// Accepts no more connections; open ones end after the current answer.
    pub(super) fn stop(&mut self) {
        self.stop.send_replace(true);
    }

    /// Completes once the last connection has ended.
    pub(super) async fn ended(&mut self) {
        for served in self.served.drain(..) {
            let _ = served.await;
        }
    }
}

/// Serves callers, and the readiness checks of the load balancer.
pub(super) fn start(context: &Context, callers: TcpListener, ready: TcpListener) -> Server {
    let callers = context.listener(callers, inbound::Limits::callers(&context.settings));
    let ready = context.listener(ready, inbound::Limits::balancer(&context.settings));
    let (stop, stopped) = watch::channel(false);
    let balancer = Router::new()
        .route(ingress::READY_PATH, routing::get(is_ready))
        .with_state(context.clone());
    let served = vec![
        tokio::spawn(serve_callers(context.clone(), callers, stopped.clone())),
        tokio::spawn(inbound::server::serve_router(
            ready,
            stopped,
            balancer,
            0,
            |error| error.status().into_response(),
        )),
    ];
    Server { stop, served }
}

async fn serve_callers(
    context: Context,
    callers: inbound::Listener,
    stopped: watch::Receiver<bool>,
) {
    let answer = move |connection, request| dispatch::answer(context.clone(), connection, request);
    inbound::server::serve(callers, stopped, answer).await;
}

async fn is_ready(extract::State(context): extract::State<Context>) -> response::Response {
    match readiness::why_not_ready(&context) {
        None => http::StatusCode::OK.into_response(),
        Some(why) => (http::StatusCode::SERVICE_UNAVAILABLE, why).into_response(),
    }
}

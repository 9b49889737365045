//! The HTTP API of the operator address: catalogue, jobs, dump, metrics and
//! readiness.
//!
//! It runs on the traffic threads and calls the services on the control thread
//! by name. If a service is unavailable or the process is shutting down, the
//! response is 503 with the time after which to retry. A change that is in
//! progress when a planned stop begins is still answered.

pub(crate) mod answer;
mod catalogue;
mod jobs;
mod process;
pub(crate) mod query;

use std::time;

use axum::Router;
use axum::extract;
use axum::middleware;
use axum::response;
use axum::response::IntoResponse as _;
use figscale_types::operator;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task;

use crate::inbound;
use crate::state;

pub use answer::RETRY_AFTER_MS;

/// Maximum size of a body, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// The server of the operator address.
pub struct Server {
    stop: watch::Sender<bool>,
    served: task::JoinHandle<()>,
}

impl Server {
    /// Stops accepting connections and waits for calls in progress.
    pub async fn end(self) {
        self.stop.send_replace(true);
        let _ = self.served.await;
    }
}

/// Starts serving the operator address on the traffic threads.
pub fn start(context: &state::Context, listener: TcpListener) -> Server {
    process::register_dump(context);
    let app = router(context);
    let (stop, stopped) = watch::channel(false);
    let limits = inbound::Limits::operators(&context.settings);
    let (clock, metrics) = (context.clock.clone(), context.metrics.clone());
    let served = context.traffic.spawn(async move {
        let listener = inbound::Listener::new(listener, limits, clock, metrics);
        let refuse = answer::refuse_unread;
        inbound::server::serve_router(listener, stopped, app, MAX_BODY_BYTES, refuse).await;
    });
    Server { stop, served }
}

fn router(context: &state::Context) -> Router {
    Router::new()
        .merge(catalogue::routes())
        .merge(jobs::routes())
        .merge(process::routes())
        .fallback(no_such_path)
        .method_not_allowed_fallback(no_such_method)
        .layer(middleware::from_fn_with_state(
            context.clone(),
            refuse_changes_when_leaving,
        ))
        .layer(middleware::from_fn_with_state(context.clone(), limit_time))
        .layer(extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(context.clone())
}

pub(crate) async fn no_such_path(uri: http::Uri) -> response::Response {
    let text = format!("there is no {}; docs/API.md lists the paths", uri.path());
    answer::refuse(operator::OperatorError::new(
        operator::ErrorKind::NotFound,
        text,
    ))
}

pub(crate) async fn no_such_method(method: http::Method, uri: http::Uri) -> response::Response {
    let text = format!(
        "{} does not take {method}; docs/API.md lists both",
        uri.path()
    );
    let error = operator::OperatorError::new(operator::ErrorKind::Invalid, text);
    let status = http::StatusCode::METHOD_NOT_ALLOWED;
    (status, axum::Json(error)).into_response()
}

/// Refuses changes during shutdown; reads are still served. Other entry instances
/// accept the changes.
async fn refuse_changes_when_leaving(
    extract::State(context): extract::State<state::Context>,
    request: extract::Request,
    next: middleware::Next,
) -> response::Response {
    if is_change(&request) && *context.shared.leaving.borrow() {
        let text = "this entry instance is leaving and did nothing; ask another one";
        return answer::refuse(answer::unavailable(text));
    }
    next.run(request).await
}

/// Limits the time that a call waits for a service. If the limit is reached, the
/// result of a change is unknown.
async fn limit_time(
    extract::State(context): extract::State<state::Context>,
    request: extract::Request,
    next: middleware::Next,
) -> response::Response {
    let changes = is_change(&request);
    let limit = time::Duration::from_millis(context.settings.operator.timeout_ms);
    if let Ok(response) = tokio::time::timeout(limit, next.run(request)).await {
        return response;
    }
    let mut error = answer::unavailable("the service asked did not answer in time");
    if changes {
        error.kind = operator::ErrorKind::Unknown;
    }
    answer::refuse(error)
}

fn is_change(request: &extract::Request) -> bool {
    request.method() != http::Method::GET
}

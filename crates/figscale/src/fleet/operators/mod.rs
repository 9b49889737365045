//! HTTP API for operators: catalogue and jobs in the form of figscale's own API,
//! metrics, a dump of the state, liveness and readiness.

mod catalogue;
mod jobs;

use axum::Json;
use axum::Router;
use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::Context;
use super::readiness;
use crate::inbound;
use crate::operator;

/// Serves the operators' API until the process ends.
pub(super) fn start(context: &Context, listener: TcpListener) {
    let app = Router::new()
        .route("/metrics", routing::get(metrics))
        .route("/v1/dump", routing::get(dump))
        .route("/livez", routing::get(|| async { "live\n" }))
        .route("/readyz", routing::get(ready))
        .merge(catalogue::routes())
        .merge(jobs::routes())
        .fallback(operator::no_such_path)
        .method_not_allowed_fallback(operator::no_such_method)
        .layer(extract::DefaultBodyLimit::max(operator::MAX_BODY_BYTES))
        .with_state(context.clone());
    let listener = context.listener(listener, inbound::Limits::operators(&context.settings));
    tokio::spawn(async move {
        let (_stop, stopped) = watch::channel(false);
        let max_bytes = operator::MAX_BODY_BYTES;
        let refuse = operator::answer::refuse_unread;
        inbound::server::serve_router(listener, stopped, app, max_bytes, refuse).await;
    });
}

async fn metrics(extract::State(context): extract::State<Context>) -> String {
    context.kernel.report().await;
    context.metrics.render()
}

async fn ready(extract::State(context): extract::State<Context>) -> response::Response {
    match readiness::why_not_ready(&context) {
        None => "ready\n".into_response(),
        Some(why) => (http::StatusCode::SERVICE_UNAVAILABLE, why).into_response(),
    }
}

async fn dump(extract::State(context): extract::State<Context>) -> Json<serde_json::Value> {
    let leadership = context.leadership.borrow().clone();
    let counts = context.client.counts();
    Json(json!({
        "version": env!("CARGO_PKG_VERSION"),
        "member": context.own_member,
        "leaving": *context.leaving.borrow(),
        "settings": context.settings.without_secrets(),
        "configuration_version": context.queues.borrow().version,
        "leading": leadership.leading,
        "leader": leadership.leader,
        "platform_calls": counts.calls,
        "platform_calls_unanswered": counts.unanswered,
        "platform_connections": counts.connections,
        "services": context.kernel.dump().await,
    }))
}

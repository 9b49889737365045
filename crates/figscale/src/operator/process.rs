//! Handlers about the process: dump, metrics, liveness and readiness.

use axum::Json;
use axum::Router;
use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use figscale_types::clock;
use figscale_types::ids;
use serde_json::json;

use super::answer;
use crate::state;

/// Media type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

pub(super) fn routes() -> Router<state::Context> {
    Router::new()
        .route("/v1/dump", routing::get(dump))
        .route("/metrics", routing::get(metrics))
        .route("/livez", routing::get(live))
        .route("/readyz", routing::get(ready))
}

/// Registers the section of the dump about the process itself.
pub(super) fn register_dump(context: &state::Context) {
    let shared = context.shared.clone();
    let settings = context.settings.clone();
    let clock = context.clock.clone();
    let started = clock.now();
    context.kernel.register_dump("process", move || {
        let shared = shared.clone();
        let settings = settings.clone();
        let clock = clock.clone();
        Box::pin(async move {
            let uptime = clock.now().saturating_duration_since(started);
            json!({
                "version": env!("CARGO_PKG_VERSION"),
                "member": shared.claims_now().me,
                "uptime_ms": clock::millis(uptime),
                "leaving": *shared.leaving.borrow(),
                "catalogue_revision": shared.catalogue_now().revision,
                "claims_revision": shared.claims_now().revision,
                "settings": settings.without_secrets(),
            })
        })
    });
}

async fn dump(extract::State(context): extract::State<state::Context>) -> Json<serde_json::Value> {
    Json(context.kernel.dump().await)
}

async fn metrics(extract::State(context): extract::State<state::Context>) -> response::Response {
    let metrics = &context.metrics;
    metrics.claims_changed(context.shared.claims_now().held.len());
    metrics.catalogue_adopted(context.shared.catalogue_now().revision);
    context.kernel.report().await;
    let text = metrics.render();
    ([(http::header::CONTENT_TYPE, METRICS_TYPE)], text).into_response()
}

async fn live() -> &'static str {
    "live\n"
}

async fn ready(extract::State(context): extract::State<state::Context>) -> response::Response {
    match why_not_ready(&context.shared) {
        Some(why) => answer::refuse(answer::unavailable(why)),
        None => "ready\n".into_response(),
    }
}

fn why_not_ready(shared: &state::Shared) -> Option<&'static str> {
    let unread = ids::Revision(0);
    if *shared.leaving.borrow() {
        Some("this entry instance is leaving")
    } else if shared.claims_now().revision == unread {
        Some("the claims have not been read yet")
    } else if shared.catalogue_now().revision == unread {
        Some("no catalogue is in force yet")
    } else {
        None
    }
}

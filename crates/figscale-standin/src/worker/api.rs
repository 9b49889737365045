//! HTTP interface of a stand-in worker, behind a fault-injecting middleware.

use std::sync;

use axum::Json;
use axum::Router;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware;
use axum::response::Response;
use axum::routing;
use figscale_types::worker;

use super::Faults;
use super::Record;
use super::Shared;
use super::ledger;
use crate::http_server;

type SharedState = State<sync::Arc<Shared>>;

pub(super) fn router(shared: sync::Arc<Shared>, ledger: ledger::TaskLedger) -> Router {
    let protocol = Router::new()
        .route("/v1/tasks", routing::post(start))
        .route("/v1/renew", routing::post(renew))
        .route("/v1/act", routing::post(act))
        .route("/v1/report", routing::get(report))
        .layer(middleware::from_fn_with_state(
            shared.clone(),
            inject_faults,
        ));
    let violations = move || async move { Json(ledger.violations()) };
    let control = Router::new()
        .route("/control/faults", routing::get(faults).put(set_faults))
        .route("/control/record", routing::get(record))
        .route("/control/violations", routing::get(violations));
    protocol.merge(control).with_state(shared)
}

/// Applies the injected faults to a call.
async fn inject_faults(
    State(shared): SharedState,
    request: Request,
    next: middleware::Next,
) -> Response {
    let mut faults = shared.faults.subscribe();
    // Cannot fail: the sender lives as long as the server.
    let _ = faults.wait_for(|faults| !faults.freeze).await;
    if faults.borrow().cut_off {
        return http_server::close_without_response();
    }
    let starts = request.uri().path() == "/v1/tasks";
    let response = next.run(request).await;
    let lost = starts
        && shared.faults.send_if_modified(|faults| {
            let lose = faults.lose_next_starts > 0;
            faults.lose_next_starts = faults.lose_next_starts.saturating_sub(1);
            lose
        });
    if lost || faults.borrow().cut_off {
        return http_server::close_without_response();
    }
    response
}

async fn start(
    State(shared): SharedState,
    Json(request): Json<worker::StartTask>,
) -> Json<worker::StartAnswer> {
    Json(shared.with_tasks(|tasks, now| tasks.start(&request, now)))
}

async fn renew(
    State(shared): SharedState,
    Json(request): Json<worker::Renew>,
) -> Json<worker::WorkerReport> {
    Json(shared.with_tasks(|tasks, now| tasks.renew(&request, now)))
}

async fn act(
    State(shared): SharedState,
    Json(request): Json<worker::ActOnTask>,
) -> Json<worker::WorkerReport> {
    Json(shared.with_tasks(|tasks, now| tasks.act(&request, now)))
}

async fn report(State(shared): SharedState) -> Json<worker::WorkerReport> {
    Json(shared.with_tasks(|tasks, now| tasks.report(now, false)))
}

async fn faults(State(shared): SharedState) -> Json<Faults> {
    Json(shared.faults.borrow().clone())
}

async fn set_faults(State(shared): SharedState, Json(faults): Json<Faults>) {
    shared.change_faults(|current| *current = faults);
}

async fn record(State(shared): SharedState) -> Json<Record> {
    Json(shared.with_tasks(|tasks, _| tasks.record()))
}

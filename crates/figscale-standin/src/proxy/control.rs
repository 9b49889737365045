//! HTTP interface to the faults and counters of a proxy.

use std::sync;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing;

use super::Faults;
use super::Shared;
use super::Traffic;

type SharedState = State<sync::Arc<Shared>>;

pub(super) fn router(shared: sync::Arc<Shared>) -> Router {
    Router::new()
        .route("/control/faults", routing::get(faults).put(set_faults))
        .route("/control/break", routing::post(reset_connections))
        .route("/control/silence_open", routing::post(silence_open))
        .route("/control/traffic", routing::get(traffic))
        .with_state(shared)
}

async fn faults(State(shared): SharedState) -> Json<Faults> {
    Json(*shared.faults.borrow())
}

async fn set_faults(State(shared): SharedState, Json(faults): Json<Faults>) {
    shared.faults.send_replace(faults);
}

async fn reset_connections(State(shared): SharedState) {
    shared.resets.send_modify(|resets| *resets += 1);
}

async fn silence_open(State(shared): SharedState) {
    shared.silences.send_modify(|silences| *silences += 1);
}

async fn traffic(State(shared): SharedState) -> Json<Traffic> {
    Json(shared.traffic())
}

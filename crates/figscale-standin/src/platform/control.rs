//! HTTP interface to the faults, the instance list and the counters of a stand-in
//! platform.

use std::sync;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing;
use figscale_types::instances;
use figscale_types::mutex;

use super::Faults;
use super::Shared;
use super::counts;

type SharedState = State<sync::Arc<Shared>>;

pub(super) fn router(shared: sync::Arc<Shared>) -> Router {
    Router::new()
        .route("/control/faults", routing::get(faults).put(set_faults))
        .route(
            "/control/instances",
            routing::get(instances).put(set_instances),
        )
        .route("/control/counts", routing::get(read_counts))
        .with_state(shared)
}

async fn faults(State(shared): SharedState) -> Json<Faults> {
    Json(shared.faults.borrow().clone())
}

async fn set_faults(State(shared): SharedState, Json(faults): Json<Faults>) {
    shared.faults.send_replace(faults);
}

async fn instances(State(shared): SharedState) -> Json<instances::InstanceList> {
    let now = shared.clock.now();
    Json(mutex::lock(&shared.instances).visible(now))
}

async fn set_instances(State(shared): SharedState, Json(lines): Json<Vec<instances::Instance>>) {
    let now = shared.clock.now();
    mutex::lock(&shared.instances).change(now, |instances| *instances = lines);
}

async fn read_counts(State(shared): SharedState) -> Json<counts::CountsByClient> {
    Json(mutex::lock(&shared.counts).clone())
}

//! The platform's protocol over HTTP, behind a middleware that injects faults and
//! counts calls.

use std::sync;
use std::time;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::HttpBody as _;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing;
use bytes::Bytes;
use figscale_types::ids;
use figscale_types::mutex;
use figscale_types::platform;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use serde::Deserialize;

use super::Shared;
use super::counts;
use super::store;
use crate::http_server;
use crate::runner;

type SharedState = State<sync::Arc<Shared>>;

/// Name under which calls without a client name are counted.
const UNNAMED: &str = "-";

pub(super) fn router(shared: sync::Arc<Shared>) -> Router {
    let layer = sync::Arc::new(Layer {
        shared: shared.clone(),
        rng: sync::Mutex::new(rngs::SmallRng::seed_from_u64(shared.seed)),
    });
    Router::new()
        .route("/v1/kv/{*key}", routing::get(get).put(put).delete(delete))
        .route("/v1/watch/{*key}", routing::get(watch))
        .route("/v1/keys", routing::get(keys))
        .route("/v1/leases", routing::post(grant))
        .route("/v1/leases/{id}", routing::put(renew).delete(revoke))
        .route("/v1/instances", routing::get(instances))
        .layer(DefaultBodyLimit::max(platform::MAX_VALUE_BYTES))
        .layer(middleware::from_fn_with_state(layer, inject_faults))
        .with_state(shared)
}

struct Layer {
    shared: sync::Arc<Shared>,
    rng: sync::Mutex<rngs::SmallRng>,
}

/// Applies the injected faults to a call, and counts it.
async fn inject_faults(
    State(layer): State<sync::Arc<Layer>>,
    request: Request,
    next: middleware::Next,
) -> Response {
    let Some(kind) = counts::kind_of(request.method(), request.uri().path()) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let client = client_name(request.headers());
    let received = request.body().size_hint().exact().unwrap_or_default();
    let response = layer.answer(kind, request, next).await;
    let sent = response.body().size_hint().exact().unwrap_or_default();
    let status = response.status();
    let one = counts::Counts {
        calls: 1,
        over_rate: (status == StatusCode::TOO_MANY_REQUESTS).into(),
        outage: (status == StatusCode::SERVICE_UNAVAILABLE).into(),
        received_bytes: received,
        sent_bytes: sent,
    };
    let mut all = mutex::lock(&layer.shared.counts);
    let line = all.entry(client).or_default().entry(kind).or_default();
    *line = line.plus(&one);
    drop(all);
    layer.lose_response(kind, response)
}

fn client_name(headers: &HeaderMap) -> String {
    let name = headers.get(platform::CLIENT).and_then(|v| v.to_str().ok());
    name.unwrap_or(UNNAMED).to_owned()
}

impl Layer {
    async fn answer(
        &self,
        kind: super::CallKind,
        request: Request,
        next: middleware::Next,
    ) -> Response {
        let mut faults = self.shared.faults.subscribe();
        let delay_ms = faults.borrow().delay_ms;
        sleep_ms(delay_ms).await;
        // Cannot fail: the sender lives as long as the server.
        let _ = faults.wait_for(|faults| !faults.hang).await;
        if faults.borrow().outage {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let now = self.shared.clock.now();
        if !mutex::lock(&self.shared.limits).take(kind.is_write(), now) {
            return StatusCode::TOO_MANY_REQUESTS.into_response();
        }
        let mut response = tokio::select! {
            response = next.run(request) => response,
            // An outage ends waiting watches; a write that is already taking
            // effect is completed.
            _ = faults.wait_for(|faults| faults.outage), if !kind.is_write() => {
                StatusCode::SERVICE_UNAVAILABLE.into_response()
            }
        };
        let delay_ms = self.shared.faults.borrow().answer_delay_ms;
        sleep_ms(delay_ms).await;
        if self.shared.faults.borrow().hang {
            response = http_server::close_without_response();
        }
        response
    }

    /// Drops the response to a write that took effect, if such a fault is
    /// injected.
    fn lose_response(&self, kind: super::CallKind, response: Response) -> Response {
        if !kind.is_write() || !response.status().is_success() {
            return response;
        }
        let probability = self.shared.faults.borrow().lose_answer_probability;
        let by_chance =
            probability > 0.0 && mutex::lock(&self.rng).random_bool(probability.min(1.0));
        let by_count = self.shared.faults.send_if_modified(|faults| {
            let lose = faults.lose_next_answers > 0;
            faults.lose_next_answers = faults.lose_next_answers.saturating_sub(1);
            lose
        });
        if by_chance || by_count {
            return http_server::close_without_response();
        }
        response
    }
}

async fn sleep_ms(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(ms)).await;
    }
}

fn with_revision(status: StatusCode, revision: ids::Revision, body: impl Into<Body>) -> Response {
    let headers = [(platform::REVISION, revision.to_string())];
    (status, headers, body.into()).into_response()
}

fn refused(refusal: store::Refusal) -> Response {
    match refusal {
        store::Refusal::Conflict(found) => {
            with_revision(StatusCode::PRECONDITION_FAILED, found, Body::empty())
        }
        store::Refusal::LeaseGone => StatusCode::GONE.into_response(),
    }
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    match parsed {
        Some(number) => Ok(Some(number)),
        None => Err(format!("{name}: expected a whole number")),
    }
}

fn expected_revision(headers: &HeaderMap) -> Result<ids::Revision, String> {
    let name = platform::IF_REVISION;
    match number(headers, name)? {
        Some(revision) => Ok(ids::Revision(revision)),
        None => Err(format!("{name} is missing")),
    }
}

fn bad_request(message: String) -> Response {
    (StatusCode::BAD_REQUEST, message).into_response()
}

fn get_response(store: &store::Store, key: &str) -> Response {
    match store.get(key) {
        Some(stored) => with_revision(StatusCode::OK, stored.revision, stored.value.clone()),
        None => with_revision(StatusCode::NOT_FOUND, store.changed_at(key), Body::empty()),
    }
}

async fn get(State(shared): SharedState, Path(key): Path<String>) -> Response {
    shared.with_store(|store, _| get_response(store, &key))
}

async fn put(
    State(shared): SharedState,
    Path(key): Path<String>,
    headers: HeaderMap,
    value: Bytes,
) -> Result<Response, Response> {
    let expected = expected_revision(&headers).map_err(bad_request)?;
    let lease = number(&headers, platform::LEASE)
        .map_err(bad_request)?
        .map(ids::LeaseId);
    let put = shared.with_store(|store, _| store.put(&key, expected, value, lease));
    let revision = put.map_err(refused)?;
    Ok(with_revision(StatusCode::OK, revision, Body::empty()))
}

async fn delete(
    State(shared): SharedState,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Result<(), Response> {
    let expected = expected_revision(&headers).map_err(bad_request)?;
    shared
        .with_store(|store, _| store.delete(&key, expected))
        .map_err(refused)
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

async fn watch(
    State(shared): SharedState,
    Path(key): Path<String>,
    Query(query): Query<WatchQuery>,
) -> Response {
    let mut revisions = shared.revision.subscribe();
    let changed = async {
        loop {
            revisions.mark_unchanged();
            let ignores_changes = shared.faults.borrow().deaf_watches;
            let response = shared.with_store(|store, _| {
                (!ignores_changes && store.changed_at(&key).0 > query.after)
                    .then(|| get_response(store, &key))
            });
            if let Some(response) = response {
                return response;
            }
            let _ = revisions.changed().await;
        }
    };
    let wait = time::Duration::from_millis(query.wait_ms);
    tokio::time::timeout(wait, changed)
        .await
        .unwrap_or_else(|_| StatusCode::NO_CONTENT.into_response())
}

#[derive(Deserialize)]
struct KeysQuery {
    prefix: String,
}

async fn keys(
    State(shared): SharedState,
    Query(query): Query<KeysQuery>,
) -> Json<platform::KeyList> {
    Json(shared.with_store(|store, _| store.keys(&query.prefix)))
}

async fn grant(
    State(shared): SharedState,
    Json(request): Json<platform::LeaseRequest>,
) -> Json<platform::LeaseAnswer> {
    let ttl = time::Duration::from_millis(request.ttl_ms);
    let lease = shared.with_store(|store, now| store.grant(ttl, now));
    Json(platform::LeaseAnswer { lease })
}

async fn renew(State(shared): SharedState, Path(id): Path<u64>) -> Result<(), Response> {
    shared
        .with_store(|store, now| store.renew(ids::LeaseId(id), now))
        .map_err(refused)
}

async fn revoke(State(shared): SharedState, Path(id): Path<u64>) -> Result<(), Response> {
    shared
        .with_store(|store, _| store.revoke(ids::LeaseId(id)))
        .map_err(refused)
}

async fn instances(State(shared): SharedState, headers: HeaderMap) -> Response {
    let now = shared.clock.now();
    let list = mutex::lock(&shared.instances).visible(now);
    let Ok(body) = serde_json::to_vec(&list) else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let tag = format!("\"{}\"", runner::checksum(&body));
    let known = headers.get(header::IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    let kind = (header::CONTENT_TYPE, "application/json".to_owned());
    ([kind, (header::ETAG, tag)], body).into_response()
}

//! HTTP interface of a stand-in runner.

use std::io;
use std::sync;
use std::time;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::response::IntoResponse as _;
use axum::response::Response;
use axum::routing;
use bytes::Bytes;
use figscale_types::headers;
use figscale_types::instances;
use figscale_types::mutex;

use futures_util::stream;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt as _;
use rand::RngExt as _;

use super::Faults;
use super::RunTime;
use super::Shared;
use super::answer;
use super::ledger;

/// Largest padding of a response, in bytes.
const MAX_PADDING_BYTES: usize = 64 << 20;
/// Value of a header that is a flag, when it is set.
const FLAG_SET: HeaderValue = HeaderValue::from_static("1");

type SharedState = State<sync::Arc<Shared>>;

pub(super) fn router(shared: sync::Arc<Shared>) -> Router {
    Router::new()
        .route(instances::RUNNER_USAGE_PATH, routing::get(usage))
        .route("/control/faults", routing::get(faults).put(set_faults))
        .route("/control/requests", routing::get(requests))
        .route("/control/violations", routing::get(violations))
        .fallback(routing::post(run))
        .with_state(shared)
}

async fn usage(State(shared): SharedState) -> Json<instances::RunnerUsage> {
    Json(shared.usage())
}

async fn faults(State(shared): SharedState) -> Json<Faults> {
    Json(shared.faults.borrow().clone())
}

async fn set_faults(State(shared): SharedState, Json(faults): Json<Faults>) {
    shared.faults.send_replace(faults);
}

async fn requests(State(shared): SharedState) -> Json<Vec<ledger::SeenRequest>> {
    Json(shared.ledger.requests())
}

async fn violations(State(shared): SharedState) -> Json<Vec<ledger::Violation>> {
    Json(shared.ledger.violations())
}

async fn run(State(shared): SharedState, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let request_index = shared.ledger.seen(&shared.id, head(&parts.headers));
    if shared.faults.borrow().refuse {
        shared.ledger.refused(request_index);
        return refused(&shared);
    }
    if !shared.ledger.take_slot(request_index, shared.slots) {
        return refused(&shared);
    }
    let slot = Slot {
        shared: shared.clone(),
        request_index,
    };
    let Ok(body) = body.collect().await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    shared.ledger.started(request_index);
    let length = shared.run_length(&parts.headers);
    // In a separate task, since a run does not end when its connection closes.
    let run = tokio::spawn(hold_slot(slot, length));
    let _ = run.await;
    answer(&shared, &parts.headers, &body.to_bytes())
}

/// A slot in use; dropping it frees the slot.
struct Slot {
    shared: sync::Arc<Shared>,
    request_index: usize,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.ledger.free_slot(self.request_index);
    }
}

/// Holds a slot for the length of a run, or until the runner stops.
async fn hold_slot(slot: Slot, length: time::Duration) {
    let mut stopped = slot.shared.stopped.subscribe();
    let mut faults = slot.shared.faults.subscribe();
    let run = async {
        // The timer has a resolution of 1 ms: even a sleep of zero would take time.
        if !length.is_zero() {
            tokio::time::sleep(length).await;
        }
        let _ = faults.wait_for(|faults| !faults.hang).await;
    };
    tokio::select! {
        () = run => {}
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn head(headers: &HeaderMap) -> ledger::Head {
    ledger::Head {
        request_id: text(headers, headers::REQUEST_ID),
        entry: text(headers, headers::ENTRY),
        idempotent: text(headers, headers::IDEMPOTENT) == "true",
        holder: text(headers, headers::HOLDER).parse().ok(),
    }
}

impl Shared {
    fn run_length(&self, headers: &HeaderMap) -> time::Duration {
        let requested = text(headers, headers::RUN_MS).parse();
        let length = match (requested, self.run_time) {
            (Ok(ms), _) => time::Duration::from_millis(ms),
            (Err(_), RunTime::Fixed(length)) => length,
            (Err(_), RunTime::Exponential(mean)) => {
                let uniform: f64 = mutex::lock(&self.rng).random();
                mean.mul_f64(-(1.0 - uniform).ln())
            }
        };
        length.mul_f64(self.faults.borrow().slow_factor.max(0.0))
    }
}

fn refused(shared: &Shared) -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    set(&mut response, headers::REFUSED, FLAG_SET);
    mark_leaving(shared, &mut response);
    response
}

fn set(response: &mut Response, name: &'static str, value: HeaderValue) {
    let name = HeaderName::from_static(name);
    response.headers_mut().insert(name, value);
}

fn mark_leaving(shared: &Shared, response: &mut Response) {
    if shared.faults.borrow().leaving {
        set(response, headers::LEAVING, FLAG_SET);
    }
}

fn answer(shared: &Shared, request: &HeaderMap, body: &[u8]) -> Response {
    let faults = shared.faults.borrow().clone();
    let padding_len = text(request, headers::ANSWER_BYTES).parse().unwrap_or(0);
    let answer = answer::RunAnswer {
        request_id: text(request, headers::REQUEST_ID),
        body_checksum: answer::checksum(body),
        entry: text(request, headers::ENTRY),
        runner: shared.id.clone(),
        filling: answer::RunAnswer::padding(padding_len.min(MAX_PADDING_BYTES)),
    };
    let Ok(serialized) = serde_json::to_vec(&answer) else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let checksum = answer::checksum(&serialized);
    let mut response = answer_response(&faults, serialized);
    if faults.fail {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    if let Ok(checksum) = HeaderValue::from_str(&checksum) {
        set(&mut response, headers::CHECKSUM, checksum);
    }
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    mark_leaving(shared, &mut response);
    response
}

fn answer_response(faults: &Faults, serialized: Vec<u8>) -> Response {
    let half = Bytes::copy_from_slice(&serialized[..serialized.len() / 2]);
    if faults.cut_answer {
        let broken = io::Error::other("response cut by an injected fault");
        let parts = stream::iter([Ok(half), Err(broken)]);
        return Response::new(Body::from_stream(parts));
    }
    if faults.wrong_length {
        let parts = stream::iter([Ok::<_, io::Error>(half)]);
        let mut response = Response::new(Body::from_stream(parts));
        let declared = HeaderValue::from(serialized.len());
        response
            .headers_mut()
            .insert(header::CONTENT_LENGTH, declared);
        return response;
    }
    Response::new(Body::from(serialized))
}

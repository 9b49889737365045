//! Answers callers: finds the queue, asks the leader, tells the outcome.
//!
//! Any instance takes any call. A call that the leader did not answer is sent
//! again, to whoever leads then, as long as the caller waits: the id makes a
//! repeated submission the same job. A caller is told 503 or 429 only where
//! its job surely was not taken, which only a leader can know: an earlier try
//! may have gone through another instance. Where nobody knows it is 504.

use std::future::IntoFuture as _;
use std::time;

use axum::Router;
use axum::body;
use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use figscale_core::fleet as scheduling;
use figscale_platform::ingress;
use figscale_types::clock;
use figscale_types::fleet;
use figscale_types::verdict::Verdict;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task;

use super::Context;
use super::ask;
use super::calls::LeaderAnswer;
use super::calls::LeaderCall;
use crate::events;

/// Largest body that is read; the platform's jobs are a tenth of it.
const MAX_BODY_BYTES: usize = 256 * 1_024;
/// What a caller without a deadline of its own is taken to wait.
const STANDARD_DEADLINE: time::Duration = time::Duration::from_secs(3);
/// Kept of a caller's wait for the way back, at most. Callers whose time runs
/// out try more often, and an answer takes some 10 ms with the way: what was
/// kept of a wait of 100 ms had them refused, eight in the first 0.3 s after an
/// outage of 4.2 s by the log of such a day.
const MAX_ANSWER_MARGIN: time::Duration = time::Duration::from_millis(150);
/// Part of a caller's wait that is kept for the way back.
const ANSWER_MARGIN_PART: u32 = 4;
/// When to come back where there is no leader.
const LEADERLESS_RETRY_AFTER_MS: u64 = 1_000;

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
        .fallback(answer)
        .layer(extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(context.clone());
    let readiness = Router::new()
        .route(ingress::READY_PATH, routing::get(is_ready))
        .with_state(context.clone());
    let served = vec![
        tokio::spawn(serve(callers, calls, stopped.clone())),
        tokio::spawn(serve(ready, readiness, stopped)),
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

/// Ready with a configuration and a leader, and not while leaving.
async fn is_ready(extract::State(context): extract::State<Context>) -> response::Response {
    match why_not_ready(&context) {
        None => http::StatusCode::OK.into_response(),
        Some(why) => (http::StatusCode::SERVICE_UNAVAILABLE, why).into_response(),
    }
}

pub(super) fn why_not_ready(context: &Context) -> Option<&'static str> {
    if *context.leaving.borrow() {
        return Some("this entry instance is leaving");
    }
    if context.queues.borrow().version == 0 {
        return Some("no configuration has been read");
    }
    let leadership = context.leadership.borrow();
    if !leadership.leading && leadership.leader.is_none() {
        return Some("no leader is known");
    }
    None
}

/// A call as its caller sent it.
struct Call {
    method: http::Method,
    host: String,
    path: String,
    deadline: time::Instant,
    body: bytes::Bytes,
}

async fn answer(
    extract::State(context): extract::State<Context>,
    request: extract::Request,
) -> response::Response {
    let arrived = context.clock.now();
    let (head, body) = request.into_parts();
    let Ok(body) = body::to_bytes(body, MAX_BODY_BYTES).await else {
        return http::StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let wait = deadline_of(&head.headers);
    let margin = MAX_ANSWER_MARGIN.min(wait / ANSWER_MARGIN_PART);
    let call = Call {
        host: host_of(&head),
        path: head.uri.path().to_owned(),
        method: head.method.clone(),
        deadline: arrived + wait.saturating_sub(margin),
        body,
    };
    let answer = dispatch(&context, call).await;
    let took = context.clock.now().saturating_duration_since(arrived);
    let status = answer.status().as_u16();
    let method = method_label(&head.method);
    context.metrics.fleet_call_answered(method, status, took);
    answer
}

/// Labels are bounded, whatever callers send.
fn method_label(method: &http::Method) -> &'static str {
    match *method {
        http::Method::POST => "POST",
        http::Method::GET => "GET",
        http::Method::DELETE => "DELETE",
        _ => "other",
    }
}

fn deadline_of(headers: &http::HeaderMap) -> time::Duration {
    let header = headers.get(ingress::DEADLINE_HEADER);
    let text = header.and_then(|value| value.to_str().ok());
    let wait_ms = text.and_then(|text| text.trim().parse::<f64>().ok());
    wait_ms.map_or(STANDARD_DEADLINE, |ms| {
        time::Duration::from_millis(ms.max(0.0) as u64)
    })
}

/// The host that the caller named, without a port.
fn host_of(head: &http::request::Parts) -> String {
    let header = head.headers.get(http::header::HOST);
    let named = header
        .and_then(|value| value.to_str().ok())
        .or_else(|| head.uri.host());
    let host = named.unwrap_or_default();
    host.split(':')
        .next()
        .unwrap_or_default()
        .to_ascii_lowercase()
}

async fn dispatch(context: &Context, call: Call) -> response::Response {
    let table = context.queues.borrow().clone();
    if table.version == 0 {
        return refuse(
            http::StatusCode::SERVICE_UNAVAILABLE,
            LEADERLESS_RETRY_AFTER_MS,
        );
    }
    let Some(queue) = table.find(&call.host, &call.path).cloned() else {
        return not_found(&call, "no such queue");
    };
    let id = &call.path[queue.prefix.len()..];
    if id.is_empty() && call.method == http::Method::GET {
        return pending(context, &call, queue).await;
    }
    let Ok(job) = id.parse::<fleet::JobId>() else {
        return not_found(&call, "not a job id");
    };
    match call.method {
        http::Method::POST => submit(context, &call, job, queue).await,
        http::Method::GET => state(context, &call, job).await,
        http::Method::DELETE => cancel(context, &call, job).await,
        _ => http::StatusCode::METHOD_NOT_ALLOWED.into_response(),
    }
}

fn not_found(call: &Call, cause: &'static str) -> response::Response {
    crate::event!(
        events::fleet::CALL_REJECTED,
        host = call.host,
        path = call.path,
        cause = cause
    );
    (http::StatusCode::NOT_FOUND, cause).into_response()
}

fn refuse(status: http::StatusCode, retry_after_ms: u64) -> response::Response {
    let retry_after_s = retry_after_ms.div_ceil(1_000).max(1).to_string();
    (status, [(http::header::RETRY_AFTER, retry_after_s)]).into_response()
}

fn json(status: http::StatusCode, body: bytes::Bytes) -> response::Response {
    (
        status,
        [(http::header::CONTENT_TYPE, "application/json")],
        body,
    )
        .into_response()
}

async fn submit(
    context: &Context,
    call: &Call,
    job: fleet::JobId,
    queue: fleet::Queue,
) -> response::Response {
    let decoded = ingress::decode_job(&call.body);
    let description = match decoded.and_then(checked) {
        Ok(description) => description,
        Err(fault) => {
            crate::event!(events::fleet::CALL_REJECTED, job = job, cause = fault);
            return (http::StatusCode::BAD_REQUEST, fault).into_response();
        }
    };
    let queue_name = queue.name.clone();
    let shape = shape(&description);
    let started = context.clock.now();
    let question = LeaderCall::Submit {
        job,
        queue,
        description,
        patience: call.deadline.saturating_duration_since(started),
    };
    let (answer, verdict) = ask::leader(context, &question, call.deadline).await;
    let waited_ms = clock::millis(context.clock.now().saturating_duration_since(started));
    match answer {
        Some(LeaderAnswer::Accepted) => {
            crate::event!(
                events::fleet::JOB_ACCEPTED,
                job = job,
                queue = queue_name,
                shape = shape,
                waited_ms = waited_ms
            );
            json(http::StatusCode::OK, bytes::Bytes::from_static(b"{}"))
        }
        // Beside an earlier call without an answer, which may arrive yet, no
        // refusal says that the job never runs.
        Some(LeaderAnswer::Refused { retry_after_ms }) if verdict == Verdict::NotRun => {
            refuse(http::StatusCode::TOO_MANY_REQUESTS, retry_after_ms)
        }
        Some(LeaderAnswer::StoreAway { retry_after_ms }) if verdict == Verdict::NotRun => {
            let cause = "the store is away";
            crate::event!(
                events::fleet::JOB_REFUSED,
                job = job,
                queue = queue_name,
                cause = cause,
                waited_ms = waited_ms
            );
            refuse(http::StatusCode::SERVICE_UNAVAILABLE, retry_after_ms)
        }
        answer => {
            crate::event!(
                events::fleet::JOB_UNANSWERED,
                job = job,
                queue = queue_name,
                cause = why_unanswered(answer.as_ref(), verdict),
                waited_ms = waited_ms
            );
            http::StatusCode::GATEWAY_TIMEOUT.into_response()
        }
    }
}

/// Why nobody can say whether a job was taken. Where this try did nothing an
/// earlier one may have: any instance takes any try, and only a leader knows
/// all jobs.
fn why_unanswered(answer: Option<&LeaderAnswer>, verdict: Verdict) -> &'static str {
    match answer {
        Some(LeaderAnswer::Overloaded) => "the leader is overloaded",
        Some(_) => "an earlier call of the leader had no answer",
        None if verdict == Verdict::NotRun => "no leader in time",
        None => "the leader did not answer in time",
    }
}

/// The job itself unless it has a fault.
fn checked(job: fleet::JobDescription) -> Result<fleet::JobDescription, String> {
    match scheduling::fault_of(&job) {
        Some(fault) => Err(fault),
        None => Ok(job),
    }
}

/// A job's steps in one word, as tasks x cores, with `g` for a gang.
fn shape(description: &fleet::JobDescription) -> String {
    let steps = description.steps.iter().map(|step| {
        let gang = if step.gang { "g" } else { "" };
        format!(
            "{}x{}{gang}",
            step.count,
            step.room.cpu_millis.div_ceil(1_000)
        )
    });
    steps.collect::<Vec<String>>().join("+")
}

async fn state(context: &Context, call: &Call, job: fleet::JobId) -> response::Response {
    tell_state(context, call, &LeaderCall::State { job }).await
}

async fn cancel(context: &Context, call: &Call, job: fleet::JobId) -> response::Response {
    tell_state(context, call, &LeaderCall::Cancel { job }).await
}

/// Tells how a job stands after a question that is answered with its state.
async fn tell_state(context: &Context, call: &Call, question: &LeaderCall) -> response::Response {
    match ask::leader(context, question, call.deadline).await.0 {
        Some(LeaderAnswer::State(Some(state))) => {
            json(http::StatusCode::OK, ingress::encode_state(state))
        }
        Some(LeaderAnswer::State(None)) => http::StatusCode::GONE.into_response(),
        _ => unanswered(call),
    }
}

async fn pending(context: &Context, call: &Call, queue: fleet::Queue) -> response::Response {
    let question = LeaderCall::Pending { queue: queue.name };
    match ask::leader(context, &question, call.deadline).await.0 {
        Some(LeaderAnswer::Pending(jobs)) => {
            json(http::StatusCode::OK, ingress::encode_pending(jobs))
        }
        _ => unanswered(call),
    }
}

fn unanswered(call: &Call) -> response::Response {
    crate::event!(
        events::fleet::CALL_FAILED,
        method = call.method,
        path = call.path
    );
    refuse(
        http::StatusCode::SERVICE_UNAVAILABLE,
        LEADERLESS_RETRY_AFTER_MS,
    )
}

//! Submissions: validates a job, sends it to the leader and answers the caller.

use axum::response;
use axum::response::IntoResponse as _;
use figscale_core::fleet as scheduling;
use figscale_platform::ingress;
use figscale_types::clock;
use figscale_types::fleet;
use figscale_types::verdict::Verdict;
use tokio::task;

use super::call;
use super::reply;
use crate::events;
use crate::fleet::Context;
use crate::fleet::calls::LeaderAnswer;
use crate::fleet::calls::LeaderCall;
use crate::fleet::leader_client;

/// Polls of a connection after which it has noticed that its peer has closed it. The
/// first one takes in the end of the call's body.
const CONNECTION_POLLS: usize = 2;

/// Sends a job to the leader, and returns the outcome to its caller.
pub(super) async fn submit(
    context: &Context,
    call: &call::Call,
    job: fleet::JobId,
    queue: fleet::Queue,
    customer: Option<fleet::CustomerName>,
) -> response::Response {
    let decoded = ingress::decode_job(call.body_bytes());
    let max_spec_bytes = context.fleet.max_spec_bytes;
    let description = match decoded.and_then(|job| validated(job, max_spec_bytes)) {
        Ok(description) => description,
        Err(fault) => {
            crate::event!(events::fleet::CALL_REJECTED, job = job, cause = fault);
            return (http::StatusCode::BAD_REQUEST, fault).into_response();
        }
    };
    let_connection_end().await;
    let queue_name = queue.name.clone();
    let shape = shape(&description);
    let started = context.clock.now();
    let leader_call = LeaderCall::Submit {
        job,
        queue,
        customer,
        description,
    };
    let (answer, verdict) = leader_client::call_leader(context, &leader_call, call.deadline).await;
    let waited_ms = clock::millis(context.clock.now().saturating_duration_since(started));
    let (event, cause, response) = match answer {
        Some(LeaderAnswer::Accepted) => {
            crate::event!(
                events::fleet::JOB_ACCEPTED,
                job = job,
                queue = queue_name,
                shape = shape,
                waited_ms = waited_ms
            );
            return reply::json(http::StatusCode::OK, bytes::Bytes::from_static(b"{}"));
        }
        // An earlier call that was not answered may still arrive, and then no
        // refusal can say that the job never runs.
        Some(LeaderAnswer::Refused { retry_after_ms }) if verdict == Verdict::NotRun => {
            let cause = "the work in front of it would last too long";
            return reply::refuse_job(http::StatusCode::TOO_MANY_REQUESTS, cause, retry_after_ms);
        }
        Some(LeaderAnswer::IdTaken) => {
            return reply::rejected(call, http::StatusCode::CONFLICT, "the id is taken");
        }
        Some(LeaderAnswer::Cancelled) => {
            let cause = "the job was cancelled before it was submitted, and never runs";
            return reply::rejected(call, http::StatusCode::GONE, cause);
        }
        Some(LeaderAnswer::TooLarge) => {
            let cause = "a gang needs more than its customer may ever have running";
            return reply::rejected(call, http::StatusCode::BAD_REQUEST, cause);
        }
        Some(LeaderAnswer::StoreAway { retry_after_ms }) if verdict == Verdict::NotRun => {
            let cause = "the store is away";
            let status = http::StatusCode::SERVICE_UNAVAILABLE;
            let refusal = reply::refuse_job(status, cause, retry_after_ms);
            (events::fleet::JOB_REFUSED, cause, refusal)
        }
        answer => (
            events::fleet::JOB_UNANSWERED,
            unanswered_cause(answer.as_ref(), verdict),
            http::StatusCode::GATEWAY_TIMEOUT.into_response(),
        ),
    };
    crate::event!(
        event,
        job = job,
        queue = queue_name,
        cause = cause,
        waited_ms = waited_ms
    );
    response
}

/// Lets the caller's connection notice that the caller has closed it, as callers do at
/// their deadline. The call is dropped then, with this future, before it has an effect.
/// Many calls are read after their caller has left when the process was paused.
async fn let_connection_end() {
    for _ in 0..CONNECTION_POLLS {
        task::yield_now().await;
    }
}

/// Why it is unknown whether a job was accepted. Even if this attempt had no
/// effect, an earlier one through another instance may have had one, and only a
/// leader knows all jobs.
fn unanswered_cause(answer: Option<&LeaderAnswer>, verdict: Verdict) -> &'static str {
    match answer {
        Some(LeaderAnswer::Overloaded) => "the leader is overloaded",
        Some(_) => "an earlier call of the leader had no answer",
        None if verdict == Verdict::NotRun => "no leader in time",
        None => "the leader did not answer in time",
    }
}

/// The job itself if it is valid, or else the fault.
fn validated(
    job: fleet::JobDescription,
    max_spec_bytes: usize,
) -> Result<fleet::JobDescription, String> {
    let spec_bytes = job.spec.len();
    if spec_bytes > max_spec_bytes {
        let limit = format!("expected {max_spec_bytes} at most");
        return Err(format!("a specification of {spec_bytes} bytes: {limit}"));
    }
    match scheduling::validation_error(&job) {
        Some(fault) => Err(fault),
        None => Ok(job),
    }
}

/// Summary of a job's steps as tasks x cores, with `g` for a gang.
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

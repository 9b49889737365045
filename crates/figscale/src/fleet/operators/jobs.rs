//! Jobs in the form of figscale's own API, for operators and the command line.
//!
//! An entry of the catalogue is a queue of the platform. The platform's job ids
//! are 16 hexadecimal digits; any other id is mapped to one by its hash, so that
//! it names the same job in every call. Failed tasks of a queue are retried, so a
//! job that is not idempotent is refused.

use std::time;

use axum::Json;
use axum::Router;
use axum::extract;
use axum::extract::rejection;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use bytes::Bytes;
use figscale_core::fleet as scheduling;
use figscale_types::fleet;
use figscale_types::hash;
use figscale_types::ids;
use figscale_types::jobs as schema;
use figscale_types::operator;
use figscale_types::sizes;
use figscale_types::verdict::Verdict;

use crate::fleet::Context;
use crate::fleet::calls::Caller;
use crate::fleet::calls::LeaderAnswer;
use crate::fleet::calls::LeaderCall;
use crate::fleet::leader_client;
use crate::operator::answer;
use crate::operator::query;

pub(super) fn routes() -> Router<Context> {
    Router::new()
        .route("/v1/jobs", routing::get(list).post(submit))
        .route("/v1/jobs/{id}", routing::get(status))
        .route("/v1/jobs/{id}/cancel", routing::post(cancel))
}

/// The platform's id of a job that an operator names.
fn job_id(text: &str) -> Result<fleet::JobId, operator::OperatorError> {
    let name: ids::JobId = query::parse(text)?;
    let hashed = || fleet::JobId(hash::fnv1a(name.as_str().bytes()));
    Ok(name.as_str().parse().unwrap_or_else(|_| hashed()))
}

/// Calls the leader. The verdict says whether an attempt that was not answered may
/// have taken effect.
async fn ask_leader(context: &Context, call: &LeaderCall) -> (Option<LeaderAnswer>, Verdict) {
    let limit = time::Duration::from_millis(context.settings.operator.timeout_ms);
    leader_client::call_leader(context, call, context.clock.now() + limit).await
}

async fn status(
    extract::State(context): extract::State<Context>,
    extract::Path(id): extract::Path<String>,
) -> answer::Answer<schema::JobStatus> {
    Ok(Json(show(&context, job_id(&id)?).await?))
}

async fn show(
    context: &Context,
    job: fleet::JobId,
) -> Result<schema::JobStatus, operator::OperatorError> {
    match ask_leader(context, &LeaderCall::Show { job }).await.0 {
        Some(LeaderAnswer::Shown(view)) => status_of(&view),
        Some(LeaderAnswer::State(None)) => Err(no_such_job(job)),
        _ => Err(answer::unavailable("no leader answered")),
    }
}

async fn cancel(
    extract::State(context): extract::State<Context>,
    extract::Path(id): extract::Path<String>,
) -> answer::Answer<schema::JobStatus> {
    let job = job_id(&id)?;
    let call = LeaderCall::Cancel {
        job,
        caller: Caller::Operator,
    };
    match ask_leader(&context, &call).await {
        (Some(LeaderAnswer::State(Some(_))), _) => Ok(Json(show(&context, job).await?)),
        (Some(LeaderAnswer::State(None)), _) => Err(no_such_job(job).into()),
        (_, verdict) => Err(unanswered(verdict).into()),
    }
}

async fn list(
    extract::State(context): extract::State<Context>,
    extract::Query(asked): extract::Query<query::Listing>,
) -> answer::Answer<Vec<schema::JobStatus>> {
    let owner: Option<ids::OwnerName> = asked.owner.as_deref().map(query::parse).transpose()?;
    let Some(LeaderAnswer::Listed(views)) = ask_leader(&context, &LeaderCall::ListOpen).await.0
    else {
        return Err(answer::unavailable("no leader answered").into());
    };
    let statuses: Result<Vec<schema::JobStatus>, _> = views.iter().map(status_of).collect();
    let mut statuses = statuses?;
    statuses.retain(|status| owner.as_ref().is_none_or(|owner| &status.owner == owner));
    Ok(Json(statuses))
}

async fn submit(
    extract::State(context): extract::State<Context>,
    extract::Query(asked): extract::Query<query::Submission>,
    body: Result<Bytes, rejection::BytesRejection>,
) -> response::Response {
    match answer::body(body) {
        Ok(body) => accept(context, asked, body).await.into_response(),
        Err(refusal) => refusal.into_response(),
    }
}

async fn accept(
    context: Context,
    asked: query::Submission,
    body: Bytes,
) -> answer::Answer<schema::JobStatus> {
    let id = asked.id()?;
    let job = job_id(&id)?;
    let spec: schema::JobSpec = answer::parse(&body)?;
    let queue = queue_of(&context, &spec)?;
    let call = LeaderCall::Submit {
        job,
        queue,
        customer: None,
        description: description_of(spec)?,
    };
    match ask_leader(&context, &call).await {
        (Some(LeaderAnswer::Accepted), _) => Ok(Json(show(&context, job).await?)),
        (Some(LeaderAnswer::Refused { retry_after_ms }), Verdict::NotRun) => {
            let text = "the work in front of it would last too long; it was not taken";
            Err(retry_later(text, retry_after_ms).into())
        }
        (Some(LeaderAnswer::StoreAway { retry_after_ms }), Verdict::NotRun) => {
            Err(retry_later("the store is away; it was not taken", retry_after_ms).into())
        }
        (Some(LeaderAnswer::Cancelled), _) => {
            let text = format!("the id {job} was cancelled before; use another one");
            let error = operator::OperatorError::new(operator::ErrorKind::Conflict, text);
            Err(error.into())
        }
        // An earlier attempt may have been accepted, so this is never reported as
        // "not taken".
        _ => Err(unanswered(Verdict::MayHaveRun).into()),
    }
}

fn queue_of(
    context: &Context,
    spec: &schema::JobSpec,
) -> Result<fleet::Queue, operator::OperatorError> {
    let table = context.queues.borrow().clone();
    let Some(queue) = table.named(spec.entry.as_str()) else {
        let text = format!("entry: there is no {}", spec.entry);
        return Err(answer::invalid(text));
    };
    if queue.service != spec.owner.as_str() {
        let text = format!("owner: {} belongs to {}", spec.entry, queue.service);
        return Err(answer::invalid(text));
    }
    Ok(queue.clone())
}

/// The job in the scheduler's form, with one step.
fn description_of(spec: schema::JobSpec) -> Result<fleet::JobDescription, operator::OperatorError> {
    if !spec.idempotent {
        let text = "idempotent: expected true; tasks of this cell run again after a failure";
        return Err(answer::invalid(text));
    }
    if spec.deadline_ms.is_some() {
        let text = "deadline_ms: not supported here; the latency objective of the queue holds";
        return Err(answer::invalid(text));
    }
    let step = fleet::StepDescription {
        count: spec.tasks,
        room: fleet::Room {
            cpu_millis: spec.task.cpu_millis.0,
            memory_mb: spec.task.memory_bytes.0.div_ceil(sizes::MIB),
            accelerators: u64::from(spec.task.accelerators),
        },
        estimate_ms: spec.run_ms,
        saves_progress: spec.checkpointable,
        ..fleet::StepDescription::default()
    };
    let description = fleet::JobDescription {
        spec: spec.command,
        steps: vec![step],
        ..fleet::JobDescription::default()
    };
    match scheduling::validation_error(&description) {
        Some(fault) => Err(answer::invalid(fault)),
        None => Ok(description),
    }
}

fn status_of(view: &fleet::JobView) -> Result<schema::JobStatus, operator::OperatorError> {
    let tasks: Result<Vec<schema::TaskStatus>, _> = (0..).zip(&view.tasks).map(task_of).collect();
    Ok(schema::JobStatus {
        id: query::parse(&view.id.to_string())?,
        owner: query::parse(&view.service)?,
        entry: query::parse(&view.queue)?,
        state: state_of(view.state),
        verdict: verdict_of(view),
        reason: None,
        tasks: tasks?,
    })
}

fn task_of(
    (index, view): (u32, &fleet::TaskView),
) -> Result<schema::TaskStatus, operator::OperatorError> {
    let worker = view
        .worker
        .as_ref()
        .map(|worker| query::parse(worker.name()));
    Ok(schema::TaskStatus {
        index,
        state: match view.progress {
            fleet::TaskProgress::Waiting => schema::JobState::Queued,
            fleet::TaskProgress::Placed => schema::JobState::Running,
            fleet::TaskProgress::Done => schema::JobState::Done,
        },
        worker: worker.transpose()?,
        attempts: view.attempts,
    })
}

fn state_of(state: fleet::JobState) -> schema::JobState {
    match state {
        fleet::JobState::Queued => schema::JobState::Queued,
        fleet::JobState::Running => schema::JobState::Running,
        fleet::JobState::Completed => schema::JobState::Done,
        fleet::JobState::Failed => schema::JobState::Failed,
        fleet::JobState::Cancelled => schema::JobState::Cancelled,
    }
}

/// Whether any task of the job ran. No task of a queued job has been started; of a
/// cancelled job that is no longer known.
fn verdict_of(view: &fleet::JobView) -> Verdict {
    match view.state {
        fleet::JobState::Queued => Verdict::NotRun,
        fleet::JobState::Cancelled => Verdict::MayHaveRun,
        _ => Verdict::Ran,
    }
}

fn no_such_job(job: fleet::JobId) -> operator::OperatorError {
    let text = format!("there is no job {job}");
    operator::OperatorError::new(operator::ErrorKind::NotFound, text)
}

fn retry_later(text: &str, retry_after_ms: u64) -> operator::OperatorError {
    operator::OperatorError {
        retry_after_ms: Some(retry_after_ms),
        ..answer::unavailable(text)
    }
}

fn unanswered(verdict: Verdict) -> operator::OperatorError {
    let kind = match verdict {
        Verdict::NotRun => operator::ErrorKind::Unavailable,
        _ => operator::ErrorKind::Unknown,
    };
    operator::OperatorError {
        kind,
        ..answer::unavailable("no leader answered in time")
    }
}

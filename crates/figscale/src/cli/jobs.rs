//! `figscale job`: submit, status, cancel, list.

use std::fmt::Write as _;

use figscale_types::ids;
use figscale_types::jobs;

use super::Failure;
use super::Outcome;
use super::args;
use super::client;
use crate::settings::document;

pub(super) fn run(command: args::JobCommand, client: &client::Client, json: bool) -> Outcome {
    match command {
        args::JobCommand::Submit(args) => submit(&args, client, json),
        args::JobCommand::Status(args) => status(&args.id, client, json),
        args::JobCommand::Cancel(args) => cancel(&args.id, client, json),
        args::JobCommand::List(args) => list(args.owner.as_ref(), client, json),
    }
}

fn submit(args: &args::JobSubmit, client: &client::Client, json: bool) -> Outcome {
    let document = document::Document::read(&args.file).map_err(Failure::usage)?;
    let spec: jobs::JobSpec = document.parse().map_err(Failure::usage)?;
    let id = match &args.id {
        Some(id) => id.clone(),
        None => new_id()?,
    };
    let path = format!("/v1/jobs?id={id}");
    let accepted: jobs::JobStatus = client.post(&path, &spec).map_err(|failure| {
        // A retry needs the id.
        let message = format!("job {id}: {}", failure.message);
        Failure::new(failure.code, message)
    })?;
    if json {
        return Ok(super::pretty(&accepted));
    }
    Ok(accepted.id.to_string())
}

fn new_id() -> Result<ids::JobId, Failure> {
    format!("job-{}", uuid::Uuid::now_v7())
        .parse()
        .map_err(Failure::usage)
}

/// Returns the path of a job. Of the characters allowed in an id, only the slash
/// has to be escaped.
fn path_of(id: &ids::JobId) -> String {
    format!("/v1/jobs/{}", id.as_str().replace('/', "%2F"))
}

fn status(id: &ids::JobId, client: &client::Client, json: bool) -> Outcome {
    let status = client.get(&path_of(id))?;
    Ok(show(&status, json))
}

fn cancel(id: &ids::JobId, client: &client::Client, json: bool) -> Outcome {
    let status = client.post(&format!("{}/cancel", path_of(id)), &())?;
    Ok(show(&status, json))
}

fn list(owner: Option<&ids::OwnerName>, client: &client::Client, json: bool) -> Outcome {
    let path = match owner {
        Some(owner) => format!("/v1/jobs?owner={owner}"),
        None => "/v1/jobs".to_owned(),
    };
    let all: Vec<jobs::JobStatus> = client.get(&path)?;
    if json {
        return Ok(super::pretty(&all));
    }
    Ok(all.iter().map(job_line).collect())
}

fn show(status: &jobs::JobStatus, json: bool) -> String {
    if json {
        return super::pretty(status);
    }
    let mut text = job_line(status);
    for task in &status.tasks {
        let worker = task.worker.as_ref().map_or("-", |worker| worker.as_str());
        let _ = writeln!(
            text,
            "  task {} {} on {} (attempts: {})",
            task.index,
            state_name(task.state),
            worker,
            task.attempts
        );
    }
    text
}

fn job_line(status: &jobs::JobStatus) -> String {
    let reason = match &status.reason {
        Some(reason) => format!(": {reason}"),
        None => String::new(),
    };
    format!(
        "{} {} {} of {} ({}){}\n",
        status.id,
        state_name(status.state),
        status.entry,
        status.owner,
        status.verdict,
        reason
    )
}

/// The name of a state, as in JSON.
fn state_name(state: jobs::JobState) -> &'static str {
    match state {
        jobs::JobState::Queued => "queued",
        jobs::JobState::Running => "running",
        jobs::JobState::Done => "done",
        jobs::JobState::Failed => "failed",
        jobs::JobState::Cancelled => "cancelled",
        jobs::JobState::MayHaveRun => "may-have-run",
    }
}

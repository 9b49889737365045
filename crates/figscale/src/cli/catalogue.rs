//! `figscale catalogue`: check, show, diff, apply, history, rollback, status.
//!
//! `apply` requires the base revision of the change as an argument and never
//! fetches it: a revision fetched at that moment would hide a conflicting change
//! made by somebody else while the file was being edited.

use std::env;
use std::fmt::Write as _;
use std::path;

use figscale_core::catalogue as decision;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;
use serde::Serialize;

use super::Failure;
use super::Outcome;
use super::args;
use super::client;
use crate::settings::document;

/// Output of `diff --json`.
#[derive(Serialize)]
struct Difference {
    /// Base revision for `apply`.
    base: ids::Revision,
    /// One line per field that differs.
    changes: Vec<String>,
}

pub(super) fn run(
    command: args::CatalogueCommand,
    client: impl Fn() -> Result<client::Client, Failure>,
    json: bool,
) -> Outcome {
    match command {
        args::CatalogueCommand::Check(args) => check(&args.file),
        args::CatalogueCommand::Show(args) => show(args.at, &client()?),
        args::CatalogueCommand::Diff(args) => compare(&args.file, &client()?, json),
        args::CatalogueCommand::Apply(args) => apply(&args, &client()?, json),
        args::CatalogueCommand::History(_) => history(&client()?, json),
        args::CatalogueCommand::Rollback(args) => rollback(&args, &client()?, json),
        args::CatalogueCommand::Status(_) => status(&client()?, json),
    }
}

/// Reads a catalogue file and performs all checks that do not need the cell.
fn read(file: &path::Path) -> Result<catalogue::Catalogue, Failure> {
    let document = document::Document::read(file).map_err(Failure::usage)?;
    let catalogue = document.parse().map_err(Failure::usage)?;
    let problems: Vec<String> = decision::check(&catalogue)
        .iter()
        .map(ToString::to_string)
        .collect();
    if problems.is_empty() {
        return Ok(catalogue);
    }
    Err(Failure::usage(document.refuse(&problems)))
}

fn check(file: &path::Path) -> Outcome {
    let catalogue = read(file)?;
    Ok(format!(
        "{}: good catalogue, {} owners and {} entries",
        file.display(),
        catalogue.owners.len(),
        catalogue.entries.len()
    ))
}

fn show(at: Option<ids::Revision>, client: &client::Client) -> Outcome {
    let path = match at {
        Some(revision) => format!("/v1/catalogue/at/{revision}"),
        None => "/v1/catalogue".to_owned(),
    };
    let accepted: catalogue::Accepted = client.get(&path)?;
    Ok(super::pretty(&accepted))
}

fn compare(file: &path::Path, client: &client::Client, json: bool) -> Outcome {
    let wanted = read(file)?;
    let in_force: catalogue::Accepted = client.get("/v1/catalogue")?;
    let changes = decision::diff(&in_force.catalogue, &wanted);
    if json {
        let answer = Difference {
            base: in_force.revision,
            changes: changes.iter().map(ToString::to_string).collect(),
        };
        return Ok(super::pretty(&answer));
    }
    let mut text = String::new();
    for change in &changes {
        let _ = writeln!(text, "{change}");
    }
    let _ = match changes.is_empty() {
        true => writeln!(text, "No change against revision {}.", in_force.revision),
        false => writeln!(
            text,
            "Against revision {0}; to bring it into force: apply --base {0}",
            in_force.revision
        ),
    };
    Ok(text)
}

fn apply(args: &args::CatalogueApply, client: &client::Client, json: bool) -> Outcome {
    let request = operator::ApplyRequest {
        base: args.base,
        change: args.change.unwrap_or_else(new_change),
        author: author(args.author.as_deref()),
        note: args.note.clone(),
        catalogue: read(&args.file)?,
    };
    let answer = client
        .post("/v1/catalogue", &request)
        .map_err(|failure| with_change(request.change, failure))?;
    Ok(accepted(&answer, json))
}

fn rollback(args: &args::CatalogueRollback, client: &client::Client, json: bool) -> Outcome {
    let request = operator::RollbackRequest {
        to: args.to,
        base: args.base,
        change: args.change.unwrap_or_else(new_change),
        author: author(args.author.as_deref()),
    };
    let answer = client
        .post("/v1/catalogue/rollback", &request)
        .map_err(|failure| with_change(request.change, failure))?;
    Ok(accepted(&answer, json))
}

fn new_change() -> ids::ChangeId {
    ids::ChangeId(uuid::Uuid::now_v7())
}

fn author(flag: Option<&str>) -> String {
    match flag {
        Some(author) => author.to_owned(),
        None => env::var("USER").unwrap_or_else(|_| "unknown".to_owned()),
    }
}

/// Adds the id of the change, which a retry needs, if the result is unknown.
fn with_change(change: ids::ChangeId, failure: Failure) -> Failure {
    if failure.code != super::EXIT_UNKNOWN {
        return failure;
    }
    let text = format!("{}\nrepeat with --change {change}", failure.message);
    Failure::new(failure.code, text)
}

fn accepted(answer: &operator::ApplyAnswer, json: bool) -> String {
    if json {
        return super::pretty(answer);
    }
    let before = if answer.repeated { " before" } else { "" };
    format!("accepted{before} as revision {}", answer.revision)
}

fn history(client: &client::Client, json: bool) -> Outcome {
    let lines: Vec<operator::HistoryLine> = client.get("/v1/catalogue/history")?;
    if json {
        return Ok(super::pretty(&lines));
    }
    let mut text = String::new();
    for line in lines {
        let _ = writeln!(
            text,
            "{} at {} ms by {}: {} ({})",
            line.revision, line.accepted_unix_ms, line.author, line.note, line.change
        );
    }
    Ok(text)
}

fn status(client: &client::Client, json: bool) -> Outcome {
    let status: operator::CatalogueStatus = client.get("/v1/catalogue/status")?;
    if json {
        return Ok(super::pretty(&status));
    }
    let mut text = format!("highest revision known: {}\n", status.revision);
    for (member, revision) in status.in_force {
        let _ = match revision {
            Some(revision) => writeln!(text, "  {member}: {revision}"),
            None => writeln!(text, "  {member}: no answer"),
        };
    }
    Ok(text)
}

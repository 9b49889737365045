//! Read-only view of the operators' configuration as a catalogue.
//!
//! On the users' platform the catalogue of a cell is the configuration that the
//! platform's operators keep in its store, where it is changed and has its
//! history. This module shows it in the form of figscale's own catalogue: each
//! queue is an entry with the limits that apply to it. The configuration names no
//! owners, so the owner of an entry is the pool of workers that runs its tasks.

use std::sync;

use axum::Json;
use axum::Router;
use axum::extract;
use axum::routing;
use figscale_core::fleet as scheduling;
use figscale_types::catalogue as schema;
use figscale_types::error;
use figscale_types::fleet;
use figscale_types::ids;
use figscale_types::operator;
use indexmap::IndexMap;

use crate::events;
use crate::fleet::Context;
use crate::operator::answer;

pub(super) fn routes() -> Router<Context> {
    Router::new()
        .route(
            "/v1/catalogue",
            routing::get(in_force).post(managed_in_store),
        )
        .route("/v1/catalogue/rollback", routing::post(managed_in_store))
        .route("/v1/catalogue/history", routing::get(managed_in_store))
        .route(
            "/v1/catalogue/at/{revision}",
            routing::get(managed_in_store),
        )
        .route("/v1/catalogue/status", routing::get(status))
}

async fn managed_in_store() -> answer::Refusal {
    let text = "the catalogue of this cell is the configuration in the platform's store: \
                change it, and look up earlier ones, there";
    answer::invalid(text).into()
}

async fn in_force(
    extract::State(context): extract::State<Context>,
) -> answer::Answer<schema::Accepted> {
    let table = current_table(&context)?;
    Ok(Json(schema::Accepted {
        revision: ids::Revision(table.version),
        change: None,
        catalogue: catalogue_of(&table),
    }))
}

async fn status(
    extract::State(context): extract::State<Context>,
) -> answer::Answer<operator::CatalogueStatus> {
    let revision = ids::Revision(current_table(&context)?.version);
    Ok(Json(operator::CatalogueStatus {
        revision,
        in_force: IndexMap::from([(context.own_member.id.clone(), Some(revision))]),
    }))
}

fn current_table(
    context: &Context,
) -> Result<sync::Arc<fleet::QueueTable>, operator::OperatorError> {
    let table = context.queues.borrow().clone();
    match table.version {
        0 => Err(answer::unavailable("no configuration has been read yet")),
        _ => Ok(table),
    }
}

fn catalogue_of(table: &fleet::QueueTable) -> schema::Catalogue {
    let mut catalogue = schema::Catalogue::default();
    for queue in &table.queues {
        match entry_of(queue) {
            Ok((name, entry)) => {
                catalogue
                    .owners
                    .entry(entry.owner.clone())
                    .or_insert_with(unlimited);
                catalogue.entries.insert(name, entry);
            }
            Err(error) => crate::event!(
                events::fleet::CONFIG_INVALID,
                revision = table.version,
                error = error
            ),
        }
    }
    catalogue
}

fn entry_of(queue: &fleet::Queue) -> Result<(ids::EntryName, schema::Entry), error::ParseError> {
    let policy = schema::TaskPolicy {
        class: schema::JobClass::Batch,
        urgency: urgency(queue.priority),
        max_tasks: scheduling::MAX_TASKS,
        max_task: None,
        max_run_ms: schema::DEFAULT_TASK_RUN_MS,
        max_attempts: queue.max_attempts,
        preemptible: false,
    };
    let entry = schema::Entry {
        owner: queue.service.parse()?,
        callers: None,
        policy: schema::Policy::Tasks(policy),
    };
    Ok((queue.name.parse()?, entry))
}

fn urgency(priority: u32) -> schema::Urgency {
    match priority {
        0 => schema::Urgency::Interactive,
        1 => schema::Urgency::Deadline,
        _ => schema::Urgency::BestEffort,
    }
}

fn unlimited() -> schema::Owner {
    schema::Owner {
        weight: 1,
        rate_per_s: None,
        concurrency: None,
        quota: None,
    }
}

//! The catalogue of the measured fleet.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;
use figscale_types::sizes;
use indexmap::IndexMap;

/// The one service that has runners.
pub(super) const SERVICE: &str = "rating";

/// Entry for tasks of an owner.
pub(super) fn batch_entry(owner: usize) -> eyre::Result<ids::EntryName> {
    Ok(format!("batch-{owner}").parse()?)
}

/// Entry for urgent tasks of an owner.
pub(super) fn urgent_entry(owner: usize) -> eyre::Result<ids::EntryName> {
    Ok(format!("urgent-{owner}").parse()?)
}

/// Entry for requests of an owner.
pub(super) fn request_entry(owner: usize) -> eyre::Result<ids::EntryName> {
    Ok(format!("quote-{owner}").parse()?)
}

/// Name of owner `number`.
pub(super) fn owner(number: usize) -> eyre::Result<ids::OwnerName> {
    Ok(format!("owner-{number}").parse()?)
}

/// A catalogue of `owners` owners with four entries each. Successive versions
/// differ in the weights of owners only.
pub(super) fn of(owners: usize, version: usize) -> eyre::Result<catalogue::Catalogue> {
    let mut all = catalogue::Catalogue::default();
    for number in 0..owners {
        let weight = if number == version % owners.max(1) {
            2 + u32::try_from(version / owners.max(1))?
        } else {
            1
        };
        all.owners.insert(owner(number)?, quota(weight));
        insert_entries(&mut all.entries, number)?;
    }
    Ok(all)
}

/// Request to apply a catalogue on top of a base revision.
pub(super) fn change(
    base: ids::Revision,
    catalogue: catalogue::Catalogue,
) -> operator::ApplyRequest {
    operator::ApplyRequest {
        base,
        change: ids::ChangeId(uuid::Uuid::now_v7()),
        author: "experiment".to_owned(),
        note: "a change of one weight".to_owned(),
        catalogue,
    }
}

fn quota(weight: u32) -> catalogue::Owner {
    catalogue::Owner {
        weight,
        rate_per_s: Some(10_000.0),
        concurrency: Some(10_000),
        quota: Some(sizes::Resources {
            cpu_millis: sizes::CpuMillis(10_000_000),
            memory_bytes: sizes::Bytes(10_000 * 1_024 * sizes::MIB),
            accelerators: 100,
        }),
    }
}

fn insert_entries(
    entries: &mut IndexMap<ids::EntryName, catalogue::Entry>,
    number: usize,
) -> eyre::Result<()> {
    let mut insert = |name, policy| -> eyre::Result<()> {
        let entry = catalogue::Entry {
            owner: owner(number)?,
            callers: None,
            policy,
        };
        entries.insert(name, entry);
        Ok(())
    };
    let (deadline, interactive) = (
        catalogue::Urgency::Deadline,
        catalogue::Urgency::Interactive,
    );
    let (batch, service) = (catalogue::JobClass::Batch, catalogue::JobClass::Service);
    insert(batch_entry(number)?, tasks(batch, deadline))?;
    insert(urgent_entry(number)?, tasks(batch, interactive))?;
    insert(
        format!("service-{number}").parse()?,
        tasks(service, deadline),
    )?;
    insert(request_entry(number)?, requests()?)
}

fn tasks(class: catalogue::JobClass, urgency: catalogue::Urgency) -> catalogue::Policy {
    catalogue::Policy::Tasks(catalogue::TaskPolicy {
        class,
        urgency,
        max_tasks: 1_000,
        max_task: None,
        max_run_ms: 24 * 3_600_000,
        max_attempts: 3,
        preemptible: false,
    })
}

fn requests() -> eyre::Result<catalogue::Policy> {
    Ok(catalogue::Policy::Requests(catalogue::RequestPolicy {
        service: SERVICE.parse()?,
        urgency: catalogue::Urgency::Interactive,
        budget_ms: 10_000,
        max_run_ms: 5_000,
        max_body_bytes: sizes::MIB,
        max_queue_len: 200,
        max_attempts: 3,
    }))
}

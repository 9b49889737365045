//! Reads the records of earlier leaders at the beginning of a term.

use std::time;

use figscale_core::fleet::Config;
use figscale_core::fleet::RecordError;
use figscale_core::fleet::Scheduler;
use figscale_platform::CallError;
use figscale_types::fleet;

use crate::events;
use crate::fleet::Context;
use crate::fleet::keys;

/// Pause after a failed read of the records.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// How long the winner of an election tries to read the records before it ends
/// its term.
const MAX_LOAD_TIME: time::Duration = time::Duration::from_secs(4);

/// Time for an order to reach a worker, with a delay while this instance is busy.
const ORDER_SLACK: time::Duration = time::Duration::from_millis(300);

/// The records of earlier leaders, consistent with the heads of an election.
pub(in crate::fleet) struct Loaded {
    scheduler: Scheduler,
    /// Workers that may be running tasks of earlier leaders.
    workers: Vec<fleet::WorkerId>,
}

impl Loaded {
    /// Starts the recovery; returns the scheduler of a term that begins now.
    pub(super) fn begin(mut self, context: &Context) -> Scheduler {
        let now = context.clock.now();
        self.scheduler.begin_recovery(self.workers, now);
        self.scheduler.leader_joined(&context.own_member.id);
        self.scheduler
    }
}

/// Reads the records, with retries for a limited time.
pub(super) async fn load_within_limit(
    context: &Context,
    epoch: fleet::Epoch,
) -> Result<Loaded, CallError> {
    let started = context.clock.now();
    loop {
        let error = match load(context, epoch).await {
            Ok(loaded) => return Ok(loaded),
            Err(error) => error,
        };
        if context.clock.now().saturating_duration_since(started) > MAX_LOAD_TIME {
            return Err(error);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Reads the records of earlier leaders, for the term of `epoch`.
///
/// Every change of a record changes the head of its chain. So what is read here
/// is valid at the beginning of the term if the heads were known before the read,
/// and the term was won on the condition that they are unchanged.
pub(in crate::fleet) async fn load(
    context: &Context,
    epoch: fleet::Epoch,
) -> Result<Loaded, CallError> {
    let max_lease = time::Duration::from_millis(context.fleet.max_worker_lease_ms);
    let entry_age = time::Duration::from_millis(context.fleet.max_entry_age_ms);
    let standard = Config::default();
    let config = Config {
        epoch,
        lease: standard.lease.min(max_lease),
        max_lease,
        stop_limit: time::Duration::from_millis(context.fleet.stop_limit_ms),
        max_entry_age: entry_age.saturating_sub(ORDER_SLACK),
        job_memory_bytes: context.settings.job_memory_bytes(&context.fleet),
        preemption: context.fleet.preemption(),
        ..standard
    };
    let mut scheduler = Scheduler::new(config);
    // Concurrently: with a slow store each of these reads takes several round
    // trips of a quarter of a second, during which there is no leader.
    let (jobs, progress, cancelled, recorded, speeds) = tokio::try_join!(
        context.store.list(keys::JOBS),
        context.store.list(keys::PROGRESS),
        context.store.list(keys::CANCELLED_IDS),
        context.store.get(keys::WORKERS),
        // What this read would tell is learned anew within seconds.
        async { Ok(context.store.get(keys::SPEEDS).await.unwrap_or_default()) },
    )?;
    crate::event!(
        events::fleet::RECORDS_READ,
        epoch = epoch,
        jobs = jobs.items.len(),
        jobs_revision = jobs.revision,
        progress = progress.items.len(),
        progress_revision = progress.revision
    );
    let now = context.clock.now();
    let wall_ms = context.wall_ms();
    for item in &jobs.items {
        if let Some(id) = keys::job_of(&item.key, keys::JOBS) {
            let loaded = scheduler.load_job(id, &item.value, item.revision, now, wall_ms);
            log_invalid(&item.key, loaded);
        }
    }
    for item in &progress.items {
        if let Some(id) = keys::job_of(&item.key, keys::PROGRESS) {
            log_invalid(&item.key, scheduler.load_progress(id, &item.value));
        }
    }
    for item in &cancelled.items {
        if let Some(batch) = keys::batch_of(&item.key) {
            log_invalid(&item.key, scheduler.load_cancelled_ids(batch, &item.value));
        }
    }
    if let Some(item) = speeds {
        log_invalid(&item.key, scheduler.load_speeds(&item.value));
    }
    let ids = recorded
        .map(|item| Scheduler::recorded_workers(&item.value))
        .transpose();
    let workers = match ids {
        Ok(ids) => ids.unwrap_or_default(),
        Err(error) => {
            log_invalid(keys::WORKERS, Err(error));
            Vec::new()
        }
    };
    Ok(Loaded { scheduler, workers })
}

fn log_invalid(key: &str, result: Result<(), RecordError>) {
    if let Err(error) = result {
        crate::event!(events::fleet::RECORD_INVALID, key = key, error = error);
    }
}

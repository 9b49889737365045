//! What earlier leaders kept, read at the beginning of a term.

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
const LOAD_PAUSE: time::Duration = time::Duration::from_millis(100);
/// A winner that cannot read the records for so long gives up.
const MAX_LOADING: time::Duration = time::Duration::from_secs(4);

/// The way of an order to a worker, with a busy moment here.
const ORDER_SLACK: time::Duration = time::Duration::from_millis(300);

/// What earlier leaders kept, as of a head.
pub(in crate::fleet) struct Loaded {
    scheduler: Scheduler,
    /// Workers that may run something of theirs.
    workers: Vec<fleet::WorkerId>,
}

impl Loaded {
    /// The scheduler of a term that begins now.
    pub(super) fn begin(mut self, context: &Context) -> Scheduler {
        let now = context.clock.now();
        self.scheduler.begin_recovery(self.workers, now);
        self.scheduler.member_joined(&context.me.id);
        self.scheduler
    }
}

/// Reads the records, for a while also over failures of the store.
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
        if context.clock.now().saturating_duration_since(started) > MAX_LOADING {
            return Err(error);
        }
        tokio::time::sleep(LOAD_PAUSE).await;
    }
}

/// Reads what earlier leaders kept, for the term of `epoch`.
///
/// Every change of a record changes the head. So what is read here holds at
/// the beginning of the term if the head was known before the reading, and the
/// term was won on the condition that it is still as it was.
pub(in crate::fleet) async fn load(
    context: &Context,
    epoch: fleet::Epoch,
) -> Result<Loaded, CallError> {
    let longest = time::Duration::from_millis(context.fleet.max_worker_lease_ms);
    let entry_age = time::Duration::from_millis(context.fleet.max_entry_age_ms);
    let standard = Config::default();
    let config = Config {
        epoch,
        lease: standard.lease.min(longest),
        stop_limit: time::Duration::from_millis(context.fleet.stop_limit_ms),
        max_entry_age: entry_age.saturating_sub(ORDER_SLACK),
        ..standard
    };
    let mut scheduler = Scheduler::new(config);
    // At once: with a slow store each of these takes several round trips of a
    // quarter of a second, and nobody leads meanwhile.
    let (jobs, progress, recorded) = tokio::try_join!(
        context.store.list(keys::JOBS),
        context.store.list(keys::PROGRESS),
        context.store.get(keys::WORKERS),
    )?;
    let now = context.clock.now();
    let wall_ms = context.wall_ms();
    for item in &jobs.items {
        if let Some(id) = keys::job_of(&item.key, keys::JOBS) {
            let loaded = scheduler.load_job(id, &item.value, now, wall_ms);
            log_invalid(&item.key, loaded);
        }
    }
    for item in &progress.items {
        if let Some(id) = keys::job_of(&item.key, keys::PROGRESS) {
            log_invalid(&item.key, scheduler.load_progress(id, &item.value));
        }
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

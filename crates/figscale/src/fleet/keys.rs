//! Keys under which the scheduler's state is kept in the store.

use figscale_core::fleet::RecordKey;
use figscale_platform::store;
use figscale_platform::workers;
use figscale_types::fleet;

/// The leader; bound to the leader's lease.
pub(super) const LEAD: &str = "figscale/lead";
/// Prefix of the chain heads: the last transaction of each chain by any leader.
/// Every transaction is conditional on its chain's head being unchanged.
pub(super) const HEADS: &str = "figscale/heads/";
/// The workers that may be running tasks.
pub(super) const WORKERS: &str = "figscale/workers";
/// The speed of workers and the run times of queues.
pub(super) const SPEEDS: &str = "figscale/speeds";
/// Prefix of the records of cancelled ids.
pub(super) const CANCELLED_IDS: &str = "figscale/cancelled/";
/// Prefix of the job records.
pub(super) const JOBS: &str = "figscale/jobs/";
/// Prefix of the progress records, one for each job.
pub(super) const PROGRESS: &str = "figscale/progress/";

/// The key of a chain's head.
pub(super) fn head(chain: usize) -> String {
    format!("{HEADS}{chain}")
}

/// The chain whose head is under a key.
pub(super) fn chain_of(key: &str) -> Option<usize> {
    key.strip_prefix(HEADS)?.parse().ok()
}

/// The key of a record.
pub(super) fn of_record(key: RecordKey) -> String {
    match key {
        RecordKey::Job(id) => format!("{JOBS}{id}"),
        RecordKey::Progress(id) => format!("{PROGRESS}{id}"),
        RecordKey::Workers => WORKERS.to_owned(),
        RecordKey::Speeds => SPEEDS.to_owned(),
        RecordKey::CancelledIds(batch) => format!("{CANCELLED_IDS}{batch}"),
    }
}

/// The number of the batch of cancelled ids whose record is under a key.
pub(super) fn batch_of(key: &str) -> Option<u64> {
    key.strip_prefix(CANCELLED_IDS)?.parse().ok()
}

/// Which items of a listing with this prefix are needed. Others may write under the
/// prefix, and what they write must not fill the memory.
pub(super) fn filter_of(prefix: &str) -> fn(&store::Item) -> bool {
    match prefix {
        workers::PREFIX => workers::may_be_entry,
        HEADS => |item| chain_of(&item.key).is_some(),
        JOBS => |item| job_of(&item.key, JOBS).is_some(),
        PROGRESS => |item| job_of(&item.key, PROGRESS).is_some(),
        CANCELLED_IDS => |item| batch_of(&item.key).is_some(),
        _ => |_| true,
    }
}

/// The job whose record is under a key.
pub(super) fn job_of(key: &str, prefix: &str) -> Option<fleet::JobId> {
    key.strip_prefix(prefix)?.parse().ok()
}

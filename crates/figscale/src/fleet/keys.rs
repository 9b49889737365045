//! Keys of the store that this program uses.

use figscale_core::fleet::RecordKey;
use figscale_types::fleet;

/// Names the leader; lives by the leader's lease.
pub(super) const LEAD: &str = "figscale/lead";
/// Prefix of the heads: the last change of each chain by any leader. Every
/// change expects its chain's head as it was.
pub(super) const HEADS: &str = "figscale/heads/";
/// Workers that may run something.
pub(super) const WORKERS: &str = "figscale/workers";
/// Prefix of the records of jobs.
pub(super) const JOBS: &str = "figscale/jobs/";
/// Prefix of the records of progress.
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
    }
}

/// The job whose record is under a key.
pub(super) fn job_of(key: &str, prefix: &str) -> Option<fleet::JobId> {
    key.strip_prefix(prefix)?.parse().ok()
}

//! An outline of a home for dumps: why its jobs have not ended.

use figscale_types::ids;
use indexmap::IndexMap;

use super::Home;
use super::job;

/// Where a home's open tasks stand, and what it waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outline {
    /// Open tasks by where they stand.
    pub tasks: IndexMap<&'static str, usize>,
    /// The largest number of attempts of an open task.
    pub most_attempts: u32,
    /// Worker shards without a complete inventory under their present epoch.
    pub unconfirmed: Vec<ids::ShardId>,
    /// Whether the shard may not be used for now.
    pub paused: bool,
    /// Whether it is about to be handed over.
    pub draining: bool,
    /// Whether a later home was seen.
    pub fenced: bool,
}

impl Home {
    /// Why jobs have not ended, in short.
    pub fn outline(&self) -> Outline {
        let mut outline = Outline {
            unconfirmed: self.unconfirmed(),
            paused: self.paused,
            draining: self.draining,
            fenced: self.fenced,
            ..Outline::default()
        };
        for task in self.jobs.values().flat_map(|job| job.tasks.values()) {
            let stands = match task.life {
                job::Life::Queued { .. } => "queued",
                job::Life::Asked { .. } => "asked",
                job::Life::Held { .. } => "held",
                job::Life::Going { .. } => "going",
                job::Life::Placed { .. } => "placed",
                job::Life::Unknown { .. } => "unknown",
                job::Life::Ended(_) => continue,
            };
            *outline.tasks.entry(stands).or_default() += 1;
            outline.most_attempts = outline.most_attempts.max(task.attempt);
        }
        outline
    }
}

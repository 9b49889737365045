//! A summary of a home for diagnostic dumps: why its jobs have not ended.

use figscale_types::ids;
use indexmap::IndexMap;

use super::Home;
use super::job;

/// The stages of a home's open tasks, and what holds them up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outline {
    /// Number of open tasks by stage.
    pub tasks: IndexMap<&'static str, usize>,
    /// The largest number of attempts of an open task.
    pub most_attempts: u32,
    /// Worker shards without a complete inventory under their current epoch.
    pub unconfirmed: Vec<ids::ShardId>,
    /// Whether the shard may not be used for now.
    pub paused: bool,
    /// Whether it is about to be handed over.
    pub draining: bool,
    /// Whether a later home was seen.
    pub fenced: bool,
}

impl Home {
    /// Summarizes why jobs have not ended.
    pub fn outline(&self) -> Outline {
        let mut outline = Outline {
            unconfirmed: self.unconfirmed(),
            paused: self.paused,
            draining: self.draining,
            fenced: self.fenced,
            ..Outline::default()
        };
        for task in self.jobs.values().flat_map(|job| job.tasks.values()) {
            let stage = match task.stage {
                job::Stage::Queued { .. } => "queued",
                job::Stage::Asked { .. } => "asked",
                job::Stage::Held { .. } => "held",
                job::Stage::Going { .. } => "going",
                job::Stage::Placed { .. } => "placed",
                job::Stage::Unknown { .. } => "unknown",
                job::Stage::Ended(_) => continue,
            };
            *outline.tasks.entry(stage).or_default() += 1;
            outline.most_attempts = outline.most_attempts.max(task.attempt);
        }
        outline
    }
}

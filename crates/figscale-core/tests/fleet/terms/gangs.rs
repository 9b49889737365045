//! Simulated gangs: a member ends well only if all of its gang have started, and
//! soon after another member ended otherwise, or was lost, it is broken off.

use figscale_types::fleet;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::RunKey;
use super::Running;
use super::Simulation;

/// Time after which a member notices that another one has ended.
const NOTICED_MS: u64 = 300;
/// How long a member waits for others to start.
const INCOMPLETE_MS: u64 = 3_000;

/// What became of the attempts of gangs.
#[derive(Default)]
pub(super) struct Gangs {
    attempts: IndexMap<RunKey, Attempt>,
}

/// An attempt, by its first task.
#[derive(Default)]
struct Attempt {
    started: IndexSet<u32>,
    done: bool,
    /// Since when some of the members that started no longer run.
    broken_ms: Option<u64>,
}

/// Number of running members, by first task and attempt.
pub(super) type RunningGangs = IndexMap<RunKey, usize>;

fn attempt_of((task, attempt): RunKey) -> RunKey {
    (fleet::TaskId { index: 0, ..task }, attempt)
}

impl Gangs {
    pub(super) fn started(&mut self, key: RunKey) {
        let attempt = self.attempts.entry(attempt_of(key)).or_default();
        attempt.started.insert(key.0.index);
    }

    /// The members that end now on a worker.
    pub(super) fn ends(
        &mut self,
        running: &IndexMap<RunKey, Running>,
        gangs: &RunningGangs,
        now_ms: u64,
    ) -> Vec<(RunKey, fleet::End)> {
        let mut ends = Vec::new();
        for (key, run) in running {
            let Some(count) = run.gang else {
                continue;
            };
            let attempt = self.attempts.entry(attempt_of(*key)).or_default();
            let live = gangs.get(&attempt_of(*key)).copied().unwrap_or(0);
            if live < attempt.started.len() && !attempt.done {
                attempt.broken_ms.get_or_insert(now_ms);
            }
            let broken = attempt
                .broken_ms
                .is_some_and(|at| now_ms >= at + NOTICED_MS);
            let complete = attempt.done || live == count as usize;
            let over = now_ms >= run.ends_ms;
            let waited = now_ms >= run.started_ms + INCOMPLETE_MS;
            let end = match () {
                () if broken => fleet::End::GangBroken,
                () if over && complete => run.ends_as,
                () if waited && !complete => fleet::End::GangIncomplete,
                () => continue,
            };
            attempt.done |= end == fleet::End::Done;
            ends.push((*key, end));
        }
        ends
    }
}

impl Simulation {
    pub(super) fn running_gangs(&self) -> RunningGangs {
        let mut gangs = RunningGangs::new();
        let up = self.workers.values().filter(|worker| worker.up);
        for (key, run) in up.flat_map(|worker| &worker.running) {
            if run.gang.is_some() {
                *gangs.entry(attempt_of(*key)).or_default() += 1;
            }
        }
        gangs
    }
}

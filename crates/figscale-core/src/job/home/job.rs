//! A job and its tasks as their home sees them.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;

use crate::job::message;

/// Where a task stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Life {
    /// It wants a place, from this moment on.
    Queued { not_before: time::Instant },
    /// A placer was asked; no answer yet.
    Asked {
        placer: ids::MemberKey,
        asked_at: time::Instant,
        /// Whether the call ended without an answer and is to be repeated.
        unanswered: bool,
    },
    /// Room is reserved; the start waits for the mark, for the rest of a gang, or
    /// for the end of the last attempt to be written.
    Held {
        placer: ids::MemberKey,
        place: message::Place,
        since: time::Instant,
        marked: bool,
    },
    /// The start was allowed and is not known to be on its way.
    Going {
        placer: ids::MemberKey,
        place: message::Place,
        asked_at: time::Instant,
        in_flight: bool,
    },
    /// It is with a placer, which sees it end.
    Placed {
        place: message::Place,
        since: time::Instant,
        running: bool,
    },
    /// It may be anywhere.
    Unknown { since: time::Instant },
    /// It ended.
    Ended(jobs::JobState),
}

/// A task.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) life: Life,
    /// Number of the present or last attempt.
    pub(super) attempt: u32,
    /// Turn in the queue, kept until it gets a place.
    pub(super) turn: Option<u64>,
    /// Attempts that ended badly.
    pub(super) failures: u32,
    pub(super) worker: Option<ids::InstanceId>,
    pub(super) avoid: Vec<ids::InstanceId>,
    pub(super) checkpointed: bool,
    /// Whether its present attempt is reserved first and starts when told to.
    pub(super) hold: bool,
    /// Whether its end is to be a cancellation.
    pub(super) stopping: bool,
    /// When its placer was last asked to stop it.
    pub(super) stop_sent: Option<time::Instant>,
}

impl Task {
    pub(super) fn new(now: time::Instant) -> Self {
        Self {
            life: Life::Queued { not_before: now },
            attempt: 0,
            turn: None,
            failures: 0,
            worker: None,
            avoid: Vec::new(),
            checkpointed: false,
            hold: false,
            stopping: false,
            stop_sent: None,
        }
    }

    pub(super) fn has_ended(&self) -> bool {
        matches!(self.life, Life::Ended(_))
    }

    /// Its state as shown.
    fn state(&self) -> jobs::JobState {
        match &self.life {
            Life::Ended(state) => *state,
            Life::Placed { running: true, .. } => jobs::JobState::Running,
            _ => jobs::JobState::Queued,
        }
    }
}

/// A job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) record: jobs::JobRecord,
    pub(super) tasks: IndexMap<u32, Task>,
    /// Whether the store is known to have it.
    pub(super) written: bool,
    /// Whether a write that held it had no known outcome: it is never given up.
    pub(super) doubted: bool,
    /// Times a gang gave back its room.
    pub(super) gang_tries: u32,
    /// Until when a gang that gave back its room waits.
    pub(super) gang_pause_until: Option<time::Instant>,
    /// What its last order without a place lacked.
    pub(super) waits_for: Option<String>,
    /// Size of its record, about.
    pub(super) bytes: usize,
}

impl Job {
    /// Whether its tasks may run again after an unknown end.
    pub(super) fn may_repeat(&self) -> bool {
        self.record.spec.idempotent || self.record.terms.class == catalogue::JobClass::Service
    }

    /// Whether all its tasks start together.
    pub(super) fn is_gang(&self) -> bool {
        self.record.terms.class == catalogue::JobClass::Gang
    }

    /// Whether every task of a gang has room or is past that.
    pub(super) fn gang_is_complete(&self) -> bool {
        self.tasks.values().all(|task| {
            !matches!(
                task.life,
                Life::Queued { .. } | Life::Asked { .. } | Life::Unknown { .. }
            )
        })
    }

    /// Whether a start waits for more than the placer's room.
    pub(super) fn holds(&self) -> bool {
        !self.may_repeat() || self.record.terms.class == catalogue::JobClass::Gang
    }

    /// The job as shown.
    pub(super) fn status(&self, id: &ids::JobId, with_tasks: bool) -> jobs::JobStatus {
        let tasks = self.tasks.iter().map(|(index, task)| jobs::TaskStatus {
            index: *index,
            state: task.state(),
            worker: task.worker.clone(),
            attempts: task.attempt,
        });
        let state = self.record.ended.unwrap_or_else(|| self.present_state());
        jobs::JobStatus {
            id: id.clone(),
            owner: self.record.spec.owner.clone(),
            entry: self.record.spec.entry.clone(),
            state,
            verdict: self.verdict(state),
            reason: self.record.reason.clone().or_else(|| self.why_waiting()),
            tasks: if with_tasks {
                tasks.collect()
            } else {
                Vec::new()
            },
        }
    }

    /// Why it is not running yet, as far as the home knows.
    fn why_waiting(&self) -> Option<String> {
        let any = |wanted: fn(&Life) -> bool| self.tasks.values().any(|task| wanted(&task.life));
        if self.record.ended.is_some() {
            None
        } else if any(|life| matches!(life, Life::Unknown { .. })) {
            Some("waits until every placer has told what it runs, after a change of holder".into())
        } else if let Some(reason) = &self.waits_for {
            any(|life| matches!(life, Life::Queued { .. })).then(|| reason.clone())
        } else {
            None
        }
    }

    fn present_state(&self) -> jobs::JobState {
        let runs = |task: &Task| task.state() != jobs::JobState::Queued;
        match self.tasks.values().any(runs) {
            true => jobs::JobState::Running,
            false => jobs::JobState::Queued,
        }
    }

    fn verdict(&self, state: jobs::JobState) -> Verdict {
        let begun = |task: &Task| match &task.life {
            Life::Ended(jobs::JobState::MayHaveRun) => Verdict::MayHaveRun,
            Life::Ended(jobs::JobState::Done) | Life::Placed { running: true, .. } => Verdict::Ran,
            _ if task.attempt > 0 => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        };
        match state {
            jobs::JobState::Done => Verdict::Ran,
            jobs::JobState::MayHaveRun => Verdict::MayHaveRun,
            _ => self
                .tasks
                .values()
                .map(begun)
                .fold(Verdict::NotRun, Verdict::and),
        }
    }

    /// What the store is to keep of a task, changed in place.
    pub(super) fn task_record(&mut self, index: u32) -> &mut jobs::TaskRecord {
        self.record.tasks.entry(index).or_default()
    }

    /// The final state once every task has ended.
    pub(super) fn final_state(&self) -> Option<jobs::JobState> {
        let mut worst = match self.record.cancelled {
            true => jobs::JobState::Cancelled,
            false => jobs::JobState::Done,
        };
        for task in self.tasks.values() {
            let Life::Ended(state) = task.life else {
                return None;
            };
            if rank(state) > rank(worst) {
                worst = state;
            }
        }
        Some(worst)
    }
}

/// Which of several tasks' states a job shows at its end.
fn rank(state: jobs::JobState) -> u32 {
    match state {
        jobs::JobState::Queued | jobs::JobState::Running => 0,
        jobs::JobState::Done => 1,
        jobs::JobState::Cancelled => 2,
        jobs::JobState::Failed => 3,
        jobs::JobState::MayHaveRun => 4,
    }
}

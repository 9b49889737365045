//! What a home knows of a job and its tasks.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;

use crate::job::message;

/// Stage of a task.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// It is to be placed, not before this time.
    Queued { not_before: time::Instant },
    /// A placer was asked to place it and has not answered yet.
    Asked {
        placer: ids::MemberKey,
        asked_at: time::Instant,
        /// Whether the call ended without an answer and must be repeated.
        unanswered: bool,
    },
    /// Resources are reserved; the start waits until its mark is written, until its
    /// gang is complete, or until the end of the last attempt is written.
    Held {
        placer: ids::MemberKey,
        place: message::Place,
        since: time::Instant,
        marked: bool,
    },
    /// The placer was ordered to start it and has not confirmed that yet.
    Going {
        placer: ids::MemberKey,
        place: message::Place,
        asked_at: time::Instant,
        in_flight: bool,
    },
    /// It is placed, and its placer reports its end.
    Placed {
        place: message::Place,
        since: time::Instant,
        running: bool,
    },
    /// It may run anywhere, or nowhere.
    Unknown { since: time::Instant },
    /// It ended.
    Ended(jobs::JobState),
}

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) stage: Stage,
    /// Number of the current or last attempt.
    pub(super) attempt: u32,
    /// Start tag in the fair queue, until it is placed.
    pub(super) start_tag: Option<u64>,
    /// Number of failed attempts.
    pub(super) failures: u32,
    pub(super) worker: Option<ids::InstanceId>,
    pub(super) avoid: Vec<ids::InstanceId>,
    pub(super) checkpointed: bool,
    /// Whether its current attempt is reserved first and started by a second call.
    pub(super) hold: bool,
    /// Whether it is being cancelled.
    pub(super) stopping: bool,
    /// When its placer was last ordered to stop it.
    pub(super) stop_sent: Option<time::Instant>,
}

impl Task {
    pub(super) fn new(now: time::Instant) -> Self {
        Self {
            stage: Stage::Queued { not_before: now },
            attempt: 0,
            start_tag: None,
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
        matches!(self.stage, Stage::Ended(_))
    }

    /// Its state as shown to users.
    fn state(&self) -> jobs::JobState {
        match &self.stage {
            Stage::Ended(state) => *state,
            Stage::Placed { running: true, .. } => jobs::JobState::Running,
            _ => jobs::JobState::Queued,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) record: jobs::JobRecord,
    pub(super) tasks: IndexMap<u32, Task>,
    /// Whether it is known to be in the store.
    pub(super) written: bool,
    /// Whether a write that contains it had an unknown outcome: it is then never rejected.
    pub(super) maybe_written: bool,
    /// Number of times that the gang has released its reservations.
    pub(super) gang_releases: u32,
    /// Until when a gang that has released its reservations pauses.
    pub(super) gang_pause_until: Option<time::Instant>,
    /// Why its last order that was not placed was refused.
    pub(super) refusal: Option<String>,
    /// Estimated size of its record.
    pub(super) bytes: usize,
}

impl Job {
    /// Whether its tasks may run again when it is unknown how the last run ended.
    pub(super) fn may_repeat(&self) -> bool {
        self.record.spec.idempotent || self.record.terms.class == catalogue::JobClass::Service
    }

    /// Whether all its tasks start together.
    pub(super) fn is_gang(&self) -> bool {
        self.record.terms.class == catalogue::JobClass::Gang
    }

    /// Whether every task of a gang has resources, or has had them.
    pub(super) fn gang_is_complete(&self) -> bool {
        self.tasks.values().all(|task| {
            !matches!(
                task.stage,
                Stage::Queued { .. } | Stage::Asked { .. } | Stage::Unknown { .. }
            )
        })
    }

    /// Whether its tasks are reserved first and started by a second call.
    pub(super) fn reserves_first(&self) -> bool {
        !self.may_repeat() || self.record.terms.class == catalogue::JobClass::Gang
    }

    /// Its status as shown to users.
    pub(super) fn status(&self, id: &ids::JobId, with_tasks: bool) -> jobs::JobStatus {
        let tasks = self.tasks.iter().map(|(index, task)| jobs::TaskStatus {
            index: *index,
            state: task.state(),
            worker: task.worker.clone(),
            attempts: task.attempt,
        });
        let state = self.record.ended.unwrap_or_else(|| self.open_state());
        jobs::JobStatus {
            id: id.clone(),
            owner: self.record.spec.owner.clone(),
            entry: self.record.spec.entry.clone(),
            state,
            verdict: self.verdict(state),
            reason: self.record.reason.clone().or_else(|| self.wait_reason()),
            tasks: if with_tasks {
                tasks.collect()
            } else {
                Vec::new()
            },
        }
    }

    /// Why it is not running yet, if the home knows.
    fn wait_reason(&self) -> Option<String> {
        let any = |wanted: fn(&Stage) -> bool| self.tasks.values().any(|task| wanted(&task.stage));
        if self.record.ended.is_some() {
            None
        } else if any(|stage| matches!(stage, Stage::Unknown { .. })) {
            Some("waits until every placer has told what it runs, after a change of holder".into())
        } else if let Some(reason) = &self.refusal {
            any(|stage| matches!(stage, Stage::Queued { .. })).then(|| reason.clone())
        } else {
            None
        }
    }

    fn open_state(&self) -> jobs::JobState {
        let runs = |task: &Task| task.state() != jobs::JobState::Queued;
        match self.tasks.values().any(runs) {
            true => jobs::JobState::Running,
            false => jobs::JobState::Queued,
        }
    }

    fn verdict(&self, state: jobs::JobState) -> Verdict {
        let task_verdict = |task: &Task| match &task.stage {
            Stage::Ended(jobs::JobState::MayHaveRun) => Verdict::MayHaveRun,
            Stage::Ended(jobs::JobState::Done) | Stage::Placed { running: true, .. } => {
                Verdict::Ran
            }
            _ if task.attempt > 0 => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        };
        match state {
            jobs::JobState::Done => Verdict::Ran,
            jobs::JobState::MayHaveRun => Verdict::MayHaveRun,
            _ => self
                .tasks
                .values()
                .map(task_verdict)
                .fold(Verdict::NotRun, Verdict::and),
        }
    }

    /// The stored record of a task, to be changed in place.
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
            let Stage::Ended(state) = task.stage else {
                return None;
            };
            if rank(state) > rank(worst) {
                worst = state;
            }
        }
        Some(worst)
    }
}

/// Rank of a state: an ended job has the highest-ranked state of its tasks.
fn rank(state: jobs::JobState) -> u32 {
    match state {
        jobs::JobState::Queued | jobs::JobState::Running => 0,
        jobs::JobState::Done => 1,
        jobs::JobState::Cancelled => 2,
        jobs::JobState::Failed => 3,
        jobs::JobState::MayHaveRun => 4,
    }
}

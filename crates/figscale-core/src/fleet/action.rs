//! What a scheduler wants done, and what it has to tell.

use std::time;

use figscale_types::fleet;
use figscale_types::ids;

/// A question to the advisory service, through one entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
    /// Entry instance that asks; each has one question at a time.
    pub member: ids::MemberId,
    /// First task of the step.
    pub task: fleet::TaskId,
    /// Workers that could run it.
    pub workers: Vec<fleet::WorkerId>,
    /// When an answer should be there.
    pub expected: time::Duration,
}

/// What is to be carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Order a start.
    Start {
        /// To whom.
        worker: fleet::WorkerId,
        /// The order.
        order: fleet::StartOrder,
    },
    /// Order a stop.
    Stop {
        /// To whom.
        worker: fleet::WorkerId,
        /// Which task.
        task: fleet::TaskId,
        /// Which start of it.
        attempt: u32,
    },
    /// Ask the advisory service.
    Ask(Question),
    /// A worker has seen orders of a later term: this one is over.
    StepDown,
    /// For the log.
    Tell(Note),
}

/// A decision or a change of belief, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A job has reached its end.
    JobEnded {
        /// Which.
        job: fleet::JobId,
        /// How.
        state: fleet::JobState,
        /// Since its first submission.
        after: time::Duration,
        /// Against its latency objective.
        late: bool,
    },
    /// Tasks of a step were ordered to workers.
    StepPlaced {
        /// First task of the step.
        task: fleet::TaskId,
        /// Tasks ordered now.
        tasks: usize,
        /// Workers that they go to.
        workers: usize,
        /// Attempt of the last of them.
        attempt: u32,
        /// Since the job's submission.
        after: time::Duration,
        /// Until the job is late; none if it is.
        slack: Option<time::Duration>,
    },
    /// A step could run, waits long and has nothing running.
    StepWaits {
        /// First task of the step.
        task: fleet::TaskId,
        /// Since the job's submission.
        waits: time::Duration,
        /// Tasks that wait.
        tasks: usize,
        /// Tasks that may still run on a worker that has not reported.
        suspect: usize,
        /// Tasks that usable workers known to be good hold when empty.
        good_slots: u64,
        /// Tasks for which there is room now on usable workers with a valid
        /// ticket.
        ticket_slots: u64,
        /// Tasks for which there is room now on all usable workers that suit.
        free_slots: u64,
        /// A question about the step is on its way.
        asking: bool,
    },
    /// The advisory service said who may run a step.
    AdviceGiven {
        /// First task of the step.
        task: fleet::TaskId,
        /// Entry instance that asked.
        member: ids::MemberId,
        /// Workers asked about.
        asked: usize,
        /// Of these good.
        good: usize,
    },
    /// A run on a silent or replaced worker is taken as ended.
    RunGivenUp {
        /// Which.
        task: fleet::TaskId,
        /// Which start of it.
        attempt: u32,
        /// Where.
        worker: fleet::WorkerId,
        /// How long the worker has been silent.
        silent: time::Duration,
        /// The worker confirmed that it had begun.
        begun: bool,
        /// From its order to the last sign of life of the worker.
        age: time::Duration,
    },
    /// A job is ended, since workers crash under one of its tasks.
    TaskCrashesWorkers {
        /// Which.
        task: fleet::TaskId,
        /// Its attempts that were lost with their workers.
        losses: usize,
    },
    /// A run of a task ended other than well.
    RunEnded {
        /// Which.
        task: fleet::TaskId,
        /// Which start of it.
        attempt: u32,
        /// Where.
        worker: fleet::WorkerId,
        /// How.
        end: fleet::End,
    },
    /// A worker refused a start.
    StartRefused {
        /// Which.
        task: fleet::TaskId,
        /// Which start of it.
        attempt: u32,
        /// Where.
        worker: fleet::WorkerId,
        /// Why.
        refusal: fleet::StartRefusal,
    },
    /// A worker gets no work for a while.
    WorkerSetAside {
        /// Which.
        worker: fleet::WorkerId,
        /// Why.
        cause: &'static str,
    },
    /// What runs on a worker that is about to leave is stopped there.
    WorkerEvacuated {
        /// Which.
        worker: fleet::WorkerId,
        /// Runs there.
        runs: usize,
        /// Until it leaves, at least.
        leaves_in: time::Duration,
    },
    /// What ran on a worker has surely ended, unseen.
    WorkerLost {
        /// Which.
        worker: fleet::WorkerId,
        /// Runs that are given up.
        runs: usize,
    },
    /// A worker of an earlier term never reported; its lease is over now.
    WorkerUnheard {
        /// Which.
        worker: fleet::WorkerId,
    },
    /// A run is stopped since nobody wants it.
    StrayRun {
        /// Which.
        task: fleet::TaskId,
        /// Which start of it.
        attempt: u32,
        /// Where.
        worker: fleet::WorkerId,
    },
    /// All that may have been running before this term is accounted for.
    Recovered {
        /// Jobs in progress.
        open_jobs: usize,
        /// Runs found on workers.
        runs: usize,
    },
}

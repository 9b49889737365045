//! Actions that the scheduler requests from its owner, and the entries that it
//! writes to the log.

use std::fmt;
use std::time;

use figscale_types::fleet;
use figscale_types::ids;

/// A query to the advisory service, sent through one entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceQuery {
    /// Entry instance that sends the query; each has at most one in flight.
    pub member: ids::MemberId,
    /// First task of the step.
    pub task: fleet::TaskId,
    /// Workers that could run it.
    pub workers: Vec<fleet::WorkerId>,
    /// Expected time until the response.
    pub expected: time::Duration,
}

/// An action for the owner of the scheduler to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a start order.
    Start {
        /// Worker that receives it.
        worker: fleet::WorkerId,
        /// The order.
        order: fleet::StartOrder,
    },
    /// Send a stop order.
    Stop {
        /// Worker that receives it.
        worker: fleet::WorkerId,
        /// Task to stop.
        task: fleet::TaskId,
        /// Attempt of the task to stop.
        attempt: u32,
    },
    /// Query the advisory service.
    QueryAdvice(AdviceQuery),
    /// End this term: a worker has received orders of a later one.
    StepDown,
    /// Write an entry to the log.
    Log(LogEntry),
}

/// Why a step is not started although its tasks wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepHold {
    /// Lost runs of its tasks are not in the store yet.
    UnsavedLosses,
    /// Tasks that lost their workers wait until another attempt would show whether
    /// they are the cause.
    Losses,
}

impl fmt::Display for StepHold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnsavedLosses => "unsaved losses",
            Self::Losses => "losses",
        })
    }
}

/// A log entry: a decision, or a change in what is known of jobs and workers.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEntry {
    /// A job has ended.
    JobEnded {
        /// The job.
        job: fleet::JobId,
        /// Its final state.
        state: fleet::JobState,
        /// Time since its first submission.
        after: time::Duration,
        /// Whether it missed its latency objective.
        late: bool,
    },
    /// Tasks of a step were ordered to workers.
    StepPlaced {
        /// First task of the step.
        task: fleet::TaskId,
        /// Tasks ordered in this pass.
        tasks: usize,
        /// Workers that receive them.
        workers: usize,
        /// Attempt number of the last of them.
        attempt: u32,
        /// Time since the job's submission.
        after: time::Duration,
        /// Time left until the job misses its objective; `None` if it has.
        slack: Option<time::Duration>,
        /// Slowdown of the slowest of the workers.
        slowdown: fleet::Slowdown,
        /// Whether a task there is predicted to end too late.
        predicted_late: bool,
    },
    /// A gang has room, but waits for faster workers on which it is predicted to end
    /// in time. Logged once for each gang.
    GangAwaitsFaster {
        /// First task of the step.
        task: fleet::TaskId,
        /// Slowdown of the slowest of the workers with room, on which it would be late.
        slowdown_now: fleet::Slowdown,
        /// Slowdown of the slowest of the workers that it waits for.
        slowdown: fleet::Slowdown,
        /// When these are expected to have room.
        ready_in: time::Duration,
    },
    /// A step has been ready for long and has nothing running, or is a gang or
    /// long-running and has tasks that wait.
    StepStarved {
        /// First task of the step.
        task: fleet::TaskId,
        /// Time since the job's submission.
        waits: time::Duration,
        /// Waiting tasks.
        tasks: usize,
        /// Tasks that are on workers.
        on_workers: usize,
        /// Tasks that may still run on a worker that has not reported.
        suspect: usize,
        /// Tasks that the usable workers approved by the advisory service could
        /// hold if they were empty.
        good_slots: u64,
        /// Tasks that fit now on usable workers with a valid ticket.
        ticket_slots: u64,
        /// Tasks that fit now on all usable workers that suit the step.
        free_slots: u64,
        /// Whether a query about the step is in flight.
        asking: bool,
        /// Number of its queries without a response since the last response.
        unanswered: u32,
        /// What holds it back, if anything does.
        hold: Option<StepHold>,
    },
    /// The advisory service responded which workers may run a step.
    AdviceReceived {
        /// First task of the step.
        task: fleet::TaskId,
        /// Entry instance that sent the query.
        member: ids::MemberId,
        /// Workers in the query.
        asked: usize,
        /// Number of these that may run the step.
        good: usize,
    },
    /// An entry instance is ejected as a path to the advisory service: queries
    /// through it got no response.
    AdviceChannelEjected {
        /// The entry instance.
        member: ids::MemberId,
        /// Number of consecutive queries without a response.
        failures: u32,
        /// Time for which others are preferred.
        duration: time::Duration,
    },
    /// A run on an unresponsive or replaced worker is abandoned: it is taken as
    /// ended without a report.
    RunAbandoned {
        /// The task.
        task: fleet::TaskId,
        /// Attempt of the task.
        attempt: u32,
        /// Worker that ran it.
        worker: fleet::WorkerId,
        /// Time since the last contact with the worker.
        silent: time::Duration,
        /// Whether the worker had confirmed the start.
        begun: bool,
        /// Time from the start order to the last contact with the worker.
        age: time::Duration,
    },
    /// A job has failed because one of its tasks crashes the workers that run
    /// it.
    TaskCrashesWorkers {
        /// The task.
        task: fleet::TaskId,
        /// Number of its attempts that were lost with their workers.
        losses: usize,
    },
    /// A run ended other than successfully.
    RunEnded {
        /// The task.
        task: fleet::TaskId,
        /// Attempt of the task.
        attempt: u32,
        /// Worker that ran it.
        worker: fleet::WorkerId,
        /// How it ended.
        end: fleet::End,
    },
    /// A run ended successfully.
    RunDone {
        /// The task.
        task: fleet::TaskId,
        /// Attempt of the task.
        attempt: u32,
        /// Worker that ran it.
        worker: fleet::WorkerId,
        /// Time from its start to its end.
        length: time::Duration,
        /// How long it was expected to take, by its step's estimate, its queue's run
        /// times and its worker's speed.
        predicted: time::Duration,
    },
    /// A worker refused a start order.
    StartRefused {
        /// The task.
        task: fleet::TaskId,
        /// Attempt of the task.
        attempt: u32,
        /// Worker that refused.
        worker: fleet::WorkerId,
        /// Reason given by the worker.
        refusal: fleet::StartRefusal,
    },
    /// A worker is ejected: it receives no new work for a while.
    WorkerEjected {
        /// The worker.
        worker: fleet::WorkerId,
        /// Reason for the ejection.
        cause: &'static str,
    },
    /// The runs of a worker that is about to leave are stopped there.
    WorkerEvacuated {
        /// The worker.
        worker: fleet::WorkerId,
        /// Runs on it.
        runs: usize,
        /// Least time until it leaves.
        leaves_in: time::Duration,
    },
    /// Runs are stopped so that a step of a queue of lower number starts in time.
    RunsPreempted {
        /// First task of the step that benefits.
        task: fleet::TaskId,
        /// Workers reserved for it.
        workers: usize,
        /// Processor time that the runs lose, in core-milliseconds.
        lost_core_ms: u64,
        /// Worth that their jobs lose by missing their objectives, in
        /// core-milliseconds.
        lost_worth: u64,
        /// Time by which the step's job ends earlier, if its end without preemption
        /// is known.
        time_gained: Option<time::Duration>,
        /// Time left at the predicted end of the step's job.
        slack: time::Duration,
        /// Tasks that are stopped, with their attempts.
        victims: Vec<(fleet::TaskId, u32)>,
    },
    /// A step did not start although runs were stopped for it, and its workers are
    /// no longer reserved.
    PreemptionUnused {
        /// First task of the step.
        task: fleet::TaskId,
        /// Workers that were reserved for it.
        workers: usize,
    },
    /// All runs of a worker have certainly ended without a report.
    WorkerLost {
        /// The worker.
        worker: fleet::WorkerId,
        /// Runs that are abandoned.
        runs: usize,
    },
    /// Work takes longer or less long on a worker than before.
    WorkerSpeedChanged {
        /// The worker.
        worker: fleet::WorkerId,
        /// Its slowdown before.
        previous: fleet::Slowdown,
        /// Its slowdown now.
        slowdown: fleet::Slowdown,
        /// Its slowdown without what has changed in the last seconds.
        lasting: fleet::Slowdown,
        /// Number of runs that it is derived from.
        runs: usize,
    },
    /// A worker has restarted under its name.
    WorkerRestarted {
        /// The new incarnation.
        worker: fleet::WorkerId,
        /// The earlier incarnation.
        previous: fleet::WorkerId,
        /// Runs that the new incarnation is ordered to refuse.
        orders: usize,
    },
    /// A worker recorded in an earlier term never reported in this one, and its
    /// lease is over.
    WorkerNeverReported {
        /// The worker.
        worker: fleet::WorkerId,
    },
    /// Runs that a worker's report does not list are taken as ended without effect;
    /// their tasks are started again.
    RunsMissing {
        /// The worker.
        worker: fleet::WorkerId,
        /// One of the runs: its task and attempt.
        example: (fleet::TaskId, u32),
        /// How many they are.
        runs: usize,
        /// Runs in progress that the report lists.
        running: usize,
        /// Finished runs that the report lists.
        finished: usize,
        /// Reading of the worker's clock in the report.
        clock_ms: u64,
    },
    /// An orphan run, which belongs to no open job or is not the current run of
    /// its task, is stopped.
    OrphanRun {
        /// The task.
        task: fleet::TaskId,
        /// Attempt of the task.
        attempt: u32,
        /// Worker that runs it.
        worker: fleet::WorkerId,
    },
    /// Recovery is complete: all runs that may have been left by earlier terms
    /// are accounted for.
    Recovered {
        /// Jobs in progress.
        open_jobs: usize,
        /// Runs found on workers.
        runs: usize,
    },
}

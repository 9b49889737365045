//! Data types of the simulation.

use figscale_core::fleet::AdviceQuery;
use figscale_core::fleet::Record;
use figscale_core::fleet::Records;
use figscale_core::fleet::ReportDue;
use figscale_core::fleet::Scheduler;
use figscale_types::fleet;
use figscale_types::fleet::StartOutcome;
use figscale_types::fleet::WorkerId;
use indexmap::IndexMap;

use super::begun;
use super::former_leaders;

/// Faults and features of a simulated run beside the usual ones.
#[derive(Clone, Copy)]
pub(super) struct Faults {
    /// Jobs with several occurrences.
    pub(super) occurrences: bool,
    /// Greatest difference between the wall clocks of leaders.
    pub(super) max_clock_lag_ms: u64,
    /// Tasks that crash each worker that starts them.
    pub(super) crashing: bool,
    /// Customers with limits that change.
    pub(super) customers: bool,
    /// Workers restart under their names.
    pub(super) keeps_names: bool,
    /// More workers, an advisory service, wide gangs, steps that last or spread,
    /// and reports with rows that cannot be read.
    pub(super) mixed: bool,
    /// The simulation ends with a stretch without faults, after which all work has
    /// to be done.
    pub(super) calm: bool,
    /// Outages of the store, planned handovers, and workers that are cut off in
    /// masses.
    pub(super) outages: bool,
    /// Tasks that save their progress and fill the fleet, and gangs of a queue of
    /// lower number for which they are preempted.
    pub(super) preemption: bool,
    /// Maximum number of ends in a worker's report.
    pub(super) max_ends_listed: usize,
    /// Callers cancel jobs.
    pub(super) cancels: bool,
    /// Callers cancel jobs whose submission arrives later.
    pub(super) early_cancels: bool,
    /// Former leaders that go on at a worker that later leaders cannot reach, pauses of
    /// leaders, long runs, and clocks that deviate by 2 % at most.
    pub(super) unreachable_workers: bool,
}

/// The usual faults alone.
pub(super) const USUAL_FAULTS: Faults = Faults {
    occurrences: false,
    max_clock_lag_ms: 0,
    crashing: false,
    customers: false,
    keeps_names: false,
    mixed: false,
    calm: false,
    outages: false,
    preemption: false,
    max_ends_listed: usize::MAX,
    cancels: false,
    early_cancels: false,
    unreachable_workers: false,
};

pub(super) type RunKey = (fleet::TaskId, u32);

#[derive(Clone)]
pub(super) struct Running {
    pub(super) run: fleet::RunningTask,
    pub(super) started_ms: u64,
    pub(super) ends_ms: u64,
    pub(super) ends_as: fleet::End,
    /// The worker crashes instead of ending the run.
    pub(super) crashes: bool,
    /// Number of members, if it is one of a gang whose members depend on each other.
    pub(super) gang: Option<u32>,
}

/// An end that is not yet acknowledged, with its time.
#[derive(Clone)]
pub(super) struct Finished {
    pub(super) run: fleet::FinishedRun,
    pub(super) at_ms: u64,
}

pub(super) struct Worker {
    pub(super) entry: fleet::WorkerEntry,
    pub(super) listed: bool,
    pub(super) up: bool,
    /// Another incarnation responds at its address.
    pub(super) replaced: bool,
    /// When it leaves, once it has given notice.
    pub(super) leaves_ms: Option<u64>,
    pub(super) unlisted_until_ms: u64,
    pub(super) clock_offset_ms: u64,
    pub(super) clock_percent: u64,
    pub(super) fence: fleet::Epoch,
    pub(super) lease_until_clock_ms: u64,
    pub(super) lapsed_ms: Option<u64>,
    pub(super) running: IndexMap<RunKey, Running>,
    pub(super) finished: Vec<Finished>,
    pub(super) ended: u64,
    /// Highest attempt of each task that ended or was stopped here.
    pub(super) ended_attempts: IndexMap<fleet::TaskId, u32>,
    /// Time until which one row of its reports cannot be read.
    pub(super) unreadable_until_ms: u64,
    pub(super) max_ends_listed: usize,
}

#[derive(Clone, Copy)]
pub(super) struct Link {
    pub(super) calling: bool,
    pub(super) at_ms: u64,
    /// The next call is due once all ends are acknowledged, or at `at_ms`.
    pub(super) unacknowledged: bool,
}

pub(super) struct Leader {
    pub(super) scheduler: Scheduler,
    pub(super) epoch: fleet::Epoch,
    pub(super) alive: bool,
    pub(super) begins_ms: u64,
    /// Workers recorded in the last term, until this term begins.
    pub(super) recorded: Option<Vec<WorkerId>>,
    pub(super) links: IndexMap<WorkerId, Link>,
    pub(super) writes: IndexMap<u64, Records>,
    pub(super) wrote_ms: u64,
    /// It hands over: it begins no writes, and ends once those in flight are answered.
    pub(super) closing: bool,
    pub(super) listed_ms: u64,
    /// Messages to this leader take up to this much longer.
    pub(super) max_delay_ms: u64,
    pub(super) wall_lag_ms: u64,
    /// When it last received the limits of customers.
    pub(super) limits_known_ms: Option<u64>,
    /// Workers that it cannot reach, with the end of the interruption.
    pub(super) cut_off: IndexMap<WorkerId, u64>,
    /// Jobs that it may and has to show as running.
    pub(super) begun: begun::BegunJobs,
    /// Entry instances that have left, with the time of their return.
    pub(super) absent: IndexMap<usize, u64>,
    pub(super) process: former_leaders::Process,
}

#[derive(Clone)]
pub(super) enum CallResult {
    Report(fleet::WorkerReport),
    StaleEpoch,
    OtherIncarnation,
    Nothing,
}

pub(super) enum Event {
    /// With the time at which it was sent.
    ReportArrives(usize, WorkerId, ReportDue, u64),
    ReportAnswered(usize, WorkerId, CallResult),
    StartArrives(usize, WorkerId, fleet::StartOrder),
    StartAnswered(usize, WorkerId, fleet::TaskId, u32, StartOutcome),
    StopArrives(usize, WorkerId, fleet::TaskId, u32),
    StopAnswered(usize, WorkerId, fleet::TaskId, u32, u64),
    /// With the jobs that the leader knew to have begun.
    WriteArrives(usize, u64, Vec<Record>, begun::BegunJobs),
    WriteAnswered(usize, u64, WriteResult),
    Listed(usize, Vec<fleet::WorkerEntry>),
    AdviceAnswered(usize, AdviceQuery, Option<Vec<fleet::Ticket>>),
    /// With the time at which it was sent.
    ProofCallArrives(usize, u64),
    /// With the time at which the call was sent, and whether the store answers.
    ProofAnswered(usize, u64, bool),
}

impl Event {
    /// The leader that the message is sent to, if it is one.
    pub(super) fn receiving_leader(&self) -> Option<usize> {
        match self {
            Self::ReportAnswered(leader, ..)
            | Self::StartAnswered(leader, ..)
            | Self::StopAnswered(leader, ..)
            | Self::WriteAnswered(leader, ..)
            | Self::Listed(leader, ..)
            | Self::AdviceAnswered(leader, ..)
            | Self::ProofAnswered(leader, ..) => Some(*leader),
            Self::ReportArrives(..)
            | Self::StartArrives(..)
            | Self::StopArrives(..)
            | Self::WriteArrives(..)
            | Self::ProofCallArrives(..) => None,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteResult {
    Done,
    NotWritten,
    Deposed,
}

/// Starts and successful ends of one task as they happened on the workers.
#[derive(Clone, Default)]
pub(super) struct TaskHistory {
    pub(super) starts_ms: Vec<u64>,
    /// Times of successful ends that were acknowledged.
    pub(super) acknowledged_ms: Vec<u64>,
}

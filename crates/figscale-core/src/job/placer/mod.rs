//! The placer: commits tasks to the workers of the shards held here.
//!
//! A worker is used only after it has answered a call that carried the shard's
//! present epoch. From then on it refuses every earlier holder, its answer
//! lists all that it runs, and its clock is known. Every start and renewal is
//! bounded by a reading of that clock, so that nothing written late, by a
//! paused process or through a slow network, takes effect after the moment
//! that this placer counts with.
//!
//! A task that a worker does not speak of any more is given up as
//! [`message::End::Lost`] only when its lease must have lapsed. Ends are kept
//! here, and at the worker, until the task's home has written them.
//!
//! What this trades away: a worker that cannot be reached keeps its tasks from
//! running elsewhere for one dispatch window and one lease.

mod orders;
mod poll;
mod report;
mod room;
mod session;
mod task;

use std::net;
use std::time;

use figscale_types::ids;
use figscale_types::instances;
use figscale_types::worker;
use indexmap::IndexMap;

use super::message;
use super::placement;

pub use report::StartOutcome;

/// Times that placers and homes count with; the same in all entry instances.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Life of a task's lease after each renewal. Default 6 s.
    pub lease: time::Duration,
    /// Time between renewals. Default 1.5 s.
    pub renew: time::Duration,
    /// Longest time from writing a start or renewal to its receipt. Default 1 s.
    pub window: time::Duration,
    /// Allowance for clock rates and scheduling. Default 0.5 s.
    pub margin: time::Duration,
    /// Life of a reservation that was not told to start. Default 5 s.
    pub hold: time::Duration,
    /// Time after which news is told again. Default 1 s.
    pub tell: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            lease: time::Duration::from_secs(6),
            renew: time::Duration::from_millis(1_500),
            window: time::Duration::from_secs(1),
            margin: time::Duration::from_millis(500),
            hold: time::Duration::from_secs(5),
            tell: time::Duration::from_secs(1),
        }
    }
}

/// A worker shard held by this process.
#[derive(Clone, Debug)]
pub struct HeldShard {
    /// Epoch under which it is held.
    pub epoch: ids::Epoch,
    /// Latest moment at which an earlier holder can have dispatched.
    pub last_foreign_dispatch: time::Instant,
    /// Its workers, as listed.
    pub workers: Vec<instances::Instance>,
}

/// What the adapter is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a start, unless `bound` has passed or authority has ended.
    Start(StartCall),
    /// Send a renewal, likewise.
    Renew(RenewCall),
    /// Send an action on a task.
    Act(ActCall),
    /// Tell the holder of a job shard.
    Tell(ids::ShardId, Vec<message::TaskEvent>),
}

/// Where a call goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Worker.
    pub worker: ids::InstanceId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Epoch that the call carries.
    pub epoch: ids::Epoch,
}

/// A start to send.
#[derive(Clone, Debug, PartialEq)]
pub struct StartCall {
    /// Worker.
    pub target: Target,
    /// Moment after which it is not to be written.
    pub bound: time::Instant,
    /// Body.
    pub start: worker::StartTask,
}

/// A renewal to send.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewCall {
    /// Worker.
    pub target: Target,
    /// Moment after which it is not to be written.
    pub bound: time::Instant,
    /// Body.
    pub renew: worker::Renew,
}

/// An action on a task to send.
#[derive(Clone, Debug, PartialEq)]
pub struct ActCall {
    /// Worker.
    pub target: Target,
    /// Body.
    pub act: worker::ActOnTask,
}

/// A shard in use.
#[derive(Clone, Debug)]
struct Shard {
    epoch: ids::Epoch,
    /// When every task of an earlier holder that was not renewed has lapsed.
    lapsed_at: time::Instant,
    /// Whether no new task is placed on it.
    draining: bool,
}

/// The latest of a home that was seen.
#[derive(Clone, Copy, Debug, Default)]
struct HomeSeen {
    epoch: ids::Epoch,
    /// Number of its last inventory call.
    inventory: u64,
}

/// The placer of a process.
#[derive(Debug)]
pub struct Placer {
    config: Config,
    shards: IndexMap<ids::ShardId, Shard>,
    sessions: IndexMap<ids::InstanceId, session::Session>,
    tasks: IndexMap<ids::TaskId, task::Task>,
    /// Room on the workers.
    cluster: placement::Cluster,
    /// Preemption for the orders of one call.
    planner: placement::preempt::Planner,
    /// What owners use and may use.
    shares: placement::Shares,
    /// Whose fault failures were.
    faults: placement::fault::Faults,
    /// What tasks were seen to use.
    learner: placement::learn::Learner,
    /// Sizes of the workers held here, which bound what is reserved.
    sizes: placement::feasibility::CellShape,
    /// What was seen of each home.
    homes: IndexMap<ids::ShardId, HomeSeen>,
    actions: Vec<Action>,
    duplicates: u64,
}

impl Placer {
    /// A placer without shards.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            shards: IndexMap::new(),
            sessions: IndexMap::new(),
            tasks: IndexMap::new(),
            cluster: placement::Cluster::default(),
            planner: placement::preempt::Planner::default(),
            shares: placement::Shares::default(),
            faults: placement::fault::Faults::default(),
            learner: placement::learn::Learner::default(),
            sizes: placement::feasibility::CellShape::default(),
            homes: IndexMap::new(),
            actions: Vec::new(),
            duplicates: 0,
        }
    }

    /// Takes over the shards held now and their workers as listed.
    pub fn set_shards(&mut self, now: time::Instant, held: &IndexMap<ids::ShardId, HeldShard>) {
        let lost: Vec<_> = self
            .shards
            .iter()
            .filter(|(id, shard)| held.get(*id).is_none_or(|new| new.epoch != shard.epoch))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &lost {
            self.drop_shard(id);
        }
        for (id, new) in held {
            self.shards.entry(id.clone()).or_insert_with(|| Shard {
                epoch: new.epoch,
                lapsed_at: new.last_foreign_dispatch + self.config.lapse_time(),
                draining: false,
            });
            self.list_workers(now, id, &new.workers);
        }
        self.faults.set_total_workers(self.sessions.len());
        let workers = held.values().flat_map(|shard| &shard.workers);
        self.sizes = placement::feasibility::CellShape::of_all(workers);
        self.open_workers(now);
    }

    /// Forgets a shard: its next holder finds the tasks at the workers.
    fn drop_shard(&mut self, id: &ids::ShardId) {
        self.shards.swap_remove(id);
        self.sessions.retain(|_, session| session.shard != *id);
        self.cluster.remove_shard(id);
        self.tasks.retain(|_, task| task.shard != *id);
    }

    fn list_workers(
        &mut self,
        now: time::Instant,
        shard: &ids::ShardId,
        listed: &[instances::Instance],
    ) {
        for session in self.sessions.values_mut() {
            if session.shard == *shard {
                session.listed = false;
            }
        }
        for instance in listed {
            self.cluster
                .add_worker(instance, placement::Readiness::Unreported);
            match self.sessions.get_mut(&instance.id) {
                Some(session) if session.shard == *shard => session.list(instance),
                _ => {
                    let session = session::Session::new(now, shard.clone(), instance);
                    self.sessions.insert(instance.id.clone(), session);
                }
            }
        }
    }

    /// Stops placing on a shard, before it is handed over.
    pub fn drain(&mut self, shard: &ids::ShardId) {
        if let Some(shard) = self.shards.get_mut(shard) {
            shard.draining = true;
        }
        let of_shard = |session: &&session::Session| session.shard == *shard;
        let closed: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, session)| of_shard(session))
            .map(|(id, _)| id.clone())
            .collect();
        for id in closed {
            self.cluster.set_leaving(&id, true);
        }
        let held: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.shard == *shard && task.state == message::TaskState::Held)
            .map(|(id, _)| id.clone())
            .collect();
        for id in held {
            self.end(&id, message::End::NotStarted);
        }
    }

    /// Whether no start on the shard is without an answer.
    pub fn is_drained(&self, shard: &ids::ShardId) -> bool {
        !self
            .tasks
            .values()
            .any(|task| task.shard == *shard && task.state == message::TaskState::Starting)
    }

    /// Notes the epoch of a home, as the claims tell it; earlier ones are refused.
    pub fn note_home(&mut self, home: &message::HomeKey) -> bool {
        let known = self.homes.entry(home.shard.clone()).or_default();
        if home.epoch < known.epoch {
            return false;
        }
        if home.epoch > known.epoch {
            *known = HomeSeen {
                epoch: home.epoch,
                inventory: 0,
            };
            self.drop_reservations_before(home);
        }
        true
    }

    /// A reservation that only an earlier home could start is given back.
    fn drop_reservations_before(&mut self, home: &message::HomeKey) {
        let old: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, task)| {
                task.state == message::TaskState::Held
                    && task.home == home.shard
                    && task.home_epoch < home.epoch
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in old {
            self.tasks.swap_remove(&id);
            self.cluster.release(&id);
        }
    }

    /// Notes how an attempt ended; its home is told until it acknowledges.
    fn end(&mut self, id: &ids::TaskId, end: message::End) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.state = message::TaskState::Ended(end);
            task.told_at = None;
            self.cluster.release(id);
        }
    }

    /// Tasks that were found running although they had room elsewhere.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// The workers and their room.
    pub fn cluster(&self) -> &placement::Cluster {
        &self.cluster
    }

    /// Attempts that are not known to have ended.
    pub fn active(&self) -> usize {
        self.tasks.values().filter(|task| task.is_active()).count()
    }
}

impl Config {
    /// Time after the last dispatch by which a task that was not renewed has stopped.
    pub fn lapse_time(&self) -> time::Duration {
        self.window + self.lease + self.margin
    }
}

//! The placer: commits tasks to the workers of the shards held by this process.
//!
//! A worker is used only after it has answered a call that carried the current
//! epoch of its shard. From then on it refuses every earlier holder; its answer
//! lists every task that it runs and gives a reading of its clock. Every start
//! and renewal carries a bound on that clock, so that a message that is written
//! late by a paused process or delayed by the network takes no effect after the
//! time that this placer assumes.
//!
//! A task of a worker that no longer reports is taken as
//! [`message::End::Lost`] only once its lease must have lapsed. Ends are
//! retained here, and at the worker, until the task's home has written them.
//!
//! The cost: tasks of an unreachable worker cannot run elsewhere for one
//! dispatch window, one lease and a margin.

mod orders;
mod poll;
mod report;
mod resources;
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

/// Time limits of placers and homes; they must be the same in all entry instances.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Duration of a task's lease from each renewal. Default 6 s.
    pub lease: time::Duration,
    /// Time between renewals. Default 1.5 s.
    pub renew: time::Duration,
    /// Longest time from sending a start or renewal to its receipt. Default 1 s.
    pub dispatch_window: time::Duration,
    /// Allowance for clock drift and scheduling delays. Default 0.5 s.
    pub margin: time::Duration,
    /// Time after which a reservation that was not started expires. Default 5 s.
    pub hold_timeout: time::Duration,
    /// Time after which an unconfirmed status update is repeated. Default 1 s.
    pub notify_interval: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            lease: time::Duration::from_secs(6),
            renew: time::Duration::from_millis(1_500),
            dispatch_window: time::Duration::from_secs(1),
            margin: time::Duration::from_millis(500),
            hold_timeout: time::Duration::from_secs(5),
            notify_interval: time::Duration::from_secs(1),
        }
    }
}

/// A worker shard held by this process.
#[derive(Clone, Debug)]
pub struct HeldShard {
    /// Epoch under which it is held.
    pub epoch: ids::Epoch,
    /// Latest time at which an earlier holder can have dispatched a task.
    pub last_foreign_dispatch: time::Instant,
    /// Its registered workers.
    pub workers: Vec<instances::Instance>,
}

/// What the adapter must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a start, unless its `bound` has passed or the authority of this process has ended.
    Start(StartCall),
    /// Send a renewal, under the same conditions.
    Renew(RenewCall),
    /// Send an action on a task.
    Act(ActCall),
    /// Send status updates to the holder of a job shard.
    NotifyHome(ids::ShardId, Vec<message::TaskEvent>),
}

/// The destination of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Worker.
    pub worker: ids::InstanceId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Epoch of the shard, which the call carries.
    pub epoch: ids::Epoch,
}

/// A start to send.
#[derive(Clone, Debug, PartialEq)]
pub struct StartCall {
    /// Worker.
    pub target: Target,
    /// Time after which it must not be sent.
    pub bound: time::Instant,
    /// Body.
    pub start: worker::StartTask,
}

/// A renewal to send.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewCall {
    /// Worker.
    pub target: Target,
    /// Time after which it must not be sent.
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

/// State of a held shard.
#[derive(Clone, Debug)]
struct Shard {
    epoch: ids::Epoch,
    /// When every task of an earlier holder that was not renewed since has lapsed.
    lapsed_at: time::Instant,
    /// Whether it takes no new tasks, as it is about to be handed over.
    draining: bool,
}

/// The latest known state of the home of a job shard.
#[derive(Clone, Copy, Debug, Default)]
struct KnownHome {
    epoch: ids::Epoch,
    /// Highest number of its inventory calls.
    last_inventory: u64,
}

/// The placer of a process.
#[derive(Debug)]
pub struct Placer {
    config: Config,
    shards: IndexMap<ids::ShardId, Shard>,
    sessions: IndexMap<ids::InstanceId, session::Session>,
    tasks: IndexMap<ids::TaskId, task::Task>,
    /// Workers and their reserved resources.
    cluster: placement::Cluster,
    /// Preemption for the orders of one call.
    planner: placement::preempt::Planner,
    /// Usage and quotas of owners.
    shares: placement::Shares,
    /// Attributes failures to workers or tasks.
    faults: placement::fault::Faults,
    /// Measured resource usage of tasks.
    learner: placement::learn::Learner,
    /// Sizes of the workers held here, which limit the size of a reservation.
    sizes: placement::feasibility::CellShape,
    /// The latest known state of each home.
    homes: IndexMap<ids::ShardId, KnownHome>,
    actions: Vec<Action>,
    duplicates: u64,
}

impl Placer {
    /// Creates a placer without shards.
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

    /// Sets the shards that are held now, with their registered workers.
    pub fn set_shards(&mut self, now: time::Instant, held: &IndexMap<ids::ShardId, HeldShard>) {
        let gone: Vec<_> = self
            .shards
            .iter()
            .filter(|(id, shard)| held.get(*id).is_none_or(|new| new.epoch != shard.epoch))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.drop_shard(id);
        }
        for (id, new) in held {
            self.shards.entry(id.clone()).or_insert_with(|| Shard {
                epoch: new.epoch,
                lapsed_at: new.last_foreign_dispatch + self.config.lapse_time(),
                draining: false,
            });
            self.update_workers(now, id, &new.workers);
        }
        self.faults.set_total_workers(self.sessions.len());
        let workers = held.values().flat_map(|shard| &shard.workers);
        self.sizes = placement::feasibility::CellShape::of_all(workers);
        self.update_open_workers(now);
    }

    /// Drops a shard: its next holder finds the tasks at the workers.
    fn drop_shard(&mut self, id: &ids::ShardId) {
        self.shards.swap_remove(id);
        self.sessions.retain(|_, session| session.shard != *id);
        self.cluster.remove_shard(id);
        self.tasks.retain(|_, task| task.shard != *id);
    }

    fn update_workers(
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
                Some(session) if session.shard == *shard => session.update_listing(instance),
                _ => {
                    let session = session::Session::new(now, shard.clone(), instance);
                    self.sessions.insert(instance.id.clone(), session);
                }
            }
        }
    }

    /// Stops placing tasks on a shard and ends its reservations, before it is handed over.
    pub fn drain(&mut self, shard: &ids::ShardId) {
        if let Some(shard) = self.shards.get_mut(shard) {
            shard.draining = true;
        }
        let on_shard = |session: &&session::Session| session.shard == *shard;
        let closed: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, session)| on_shard(session))
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

    /// Whether every start on the shard has been answered.
    pub fn is_drained(&self, shard: &ids::ShardId) -> bool {
        !self
            .tasks
            .values()
            .any(|task| task.shard == *shard && task.state == message::TaskState::Starting)
    }

    /// Records the epoch of a home; returns `false` if a later one is known.
    pub fn record_home(&mut self, home: &message::HomeKey) -> bool {
        let known = self.homes.entry(home.shard.clone()).or_default();
        if home.epoch < known.epoch {
            return false;
        }
        if home.epoch > known.epoch {
            *known = KnownHome {
                epoch: home.epoch,
                last_inventory: 0,
            };
            self.drop_reservations_before(home);
        }
        true
    }

    /// Releases reservations that only an earlier home could start.
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

    /// Records how an attempt ended; its home is notified until it acknowledges.
    fn end(&mut self, id: &ids::TaskId, end: message::End) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.state = message::TaskState::Ended(end);
            task.notified_at = None;
            self.cluster.release(id);
        }
    }

    /// Number of times that a task was found running although it was placed elsewhere.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// The workers and their reserved resources.
    pub fn cluster(&self) -> &placement::Cluster {
        &self.cluster
    }

    /// Number of attempts that are not known to have ended.
    pub fn active(&self) -> usize {
        self.tasks.values().filter(|task| task.is_active()).count()
    }
}

impl Config {
    /// Time after the last dispatch by which a task that was not renewed has lapsed.
    pub fn lapse_time(&self) -> time::Duration {
        self.dispatch_window + self.lease + self.margin
    }
}

//! The slots of the runners that this process holds.
//!
//! One table in one memory decides what a runner is asked, so that no runner
//! ever has more requests than slots. A slot is in one of four states: free,
//! busy with a request of ours, *lost* (a request of ours may still run there,
//! since its connection broke), or *foreign* (a request of the shard's earlier
//! holder may still run there). Lost and foreign slots come back when the
//! longest run has passed, or when a report of the runner, taken late enough
//! that everything sent before has arrived, counts fewer requests.
//!
//! A report counts requests and names none, so our own are among them. The table
//! then keeps more slots back than it must; it never keeps fewer.

use std::time;

use figscale_types::ids;
use figscale_types::instances;
use indexmap::IndexMap;

/// A shard of runners that this process holds.
#[derive(Clone, Debug)]
pub struct HeldShard {
    /// Epoch under which it is held.
    pub epoch: ids::Epoch,
    /// Latest moment at which an earlier holder can have dispatched; `None`
    /// when it left nothing in progress.
    pub last_foreign_dispatch: Option<time::Instant>,
    /// Its runners, leaving ones included.
    pub runners: Vec<instances::Instance>,
}

/// Longest runs that the table reckons with.
#[derive(Clone, Copy, Debug)]
pub struct SlotConfig {
    /// Time after which a request that was sent has reached its runner or never
    /// will. Default 1,000 ms.
    pub settle: time::Duration,
}

impl Default for SlotConfig {
    fn default() -> Self {
        Self {
            settle: time::Duration::from_millis(1_000),
        }
    }
}

/// Slots that may still be in use, though not by a request that we watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Quarantine {
    count: u32,
    /// A report counts only when taken after this.
    report_after: time::Instant,
    until: time::Instant,
}

/// A runner with the state of its slots.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its line in the instance list.
    pub instance: instances::Instance,
    /// Its shard.
    pub shard: ids::ShardId,
    /// Epoch under which the shard is held; `None` once it is held no more.
    pub epoch: Option<ids::Epoch>,
    /// Whether it said itself that it is leaving.
    pub said_leaving: bool,
    /// Requests of ours in progress.
    pub busy: u32,
    quarantines: Vec<Quarantine>,
}

impl Runner {
    /// Slots kept back at `now`, besides the busy ones.
    pub fn kept_back(&self, now: time::Instant) -> u32 {
        let open = self.quarantines.iter().filter(|q| now < q.until);
        open.map(|q| q.count).sum()
    }

    /// Slots that may be granted at `now`.
    pub fn free(&self, now: time::Instant) -> u32 {
        if self.epoch.is_none() || self.is_leaving() {
            return 0;
        }
        let used = self.busy + self.kept_back(now);
        self.instance.slots.saturating_sub(used)
    }

    /// Whether it gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.said_leaving || self.instance.life == instances::Life::Leaving
    }

    /// Connections that one holder may have to it at once.
    ///
    /// A fifth of what the runner takes, so that earlier holders that are
    /// frozen with theirs open leave room, but one for each slot.
    pub fn connections(&self) -> u32 {
        let slots = self.instance.slots;
        (self.instance.connections / 5).clamp(slots.min(self.instance.connections), slots * 2)
    }

    /// Whether nothing of ours or of an earlier holder's can be in progress.
    pub fn is_idle(&self, now: time::Instant) -> bool {
        self.busy == 0 && self.kept_back(now) == 0
    }
}

/// The runners of all held shards, and those with requests still in progress.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    config: SlotConfig,
    runners: IndexMap<ids::InstanceId, Runner>,
    by_service: IndexMap<ids::ServiceName, Vec<ids::InstanceId>>,
}

impl SlotTable {
    /// An empty table.
    pub fn new(config: SlotConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Takes in which shards are held and their runners.
    ///
    /// `longest_run` is the longest run of a request to a service.
    pub fn update(
        &mut self,
        held: &IndexMap<ids::ShardId, HeldShard>,
        longest_run: impl Fn(&ids::ServiceName) -> time::Duration,
        now: time::Instant,
    ) {
        for runner in self.runners.values_mut() {
            let listed = held
                .get(&runner.shard)
                .is_some_and(|shard| shard.runners.iter().any(|r| r.id == runner.instance.id));
            if !listed {
                runner.epoch = None;
            }
        }
        for (id, shard) in held {
            for instance in &shard.runners {
                self.update_runner(id, shard, instance, &longest_run);
            }
        }
        self.forget_gone(now);
        self.index();
    }

    fn update_runner(
        &mut self,
        shard_id: &ids::ShardId,
        shard: &HeldShard,
        instance: &instances::Instance,
        longest_run: &impl Fn(&ids::ServiceName) -> time::Duration,
    ) {
        let Some(service) = &instance.service else {
            return;
        };
        let settle = self.config.settle;
        let runner = self
            .runners
            .entry(instance.id.clone())
            .or_insert_with(|| Runner {
                instance: instance.clone(),
                shard: shard_id.clone(),
                epoch: None,
                said_leaving: false,
                busy: 0,
                quarantines: Vec::new(),
            });
        runner.instance = instance.clone();
        runner.shard = shard_id.clone();
        if runner.epoch == Some(shard.epoch) {
            return;
        }
        runner.epoch = Some(shard.epoch);
        if let Some(last) = shard.last_foreign_dispatch {
            runner.quarantines.push(Quarantine {
                count: instance.slots,
                report_after: last + settle,
                until: last + settle + longest_run(service),
            });
        }
    }

    fn forget_gone(&mut self, now: time::Instant) {
        for runner in self.runners.values_mut() {
            runner.quarantines.retain(|q| now < q.until && q.count > 0);
        }
        self.runners
            .retain(|_, runner| runner.epoch.is_some() || !runner.is_idle(now));
    }

    fn index(&mut self) {
        self.by_service.clear();
        for (id, runner) in &self.runners {
            if let (Some(service), Some(_)) = (&runner.instance.service, runner.epoch) {
                let ids = self.by_service.entry(service.clone()).or_default();
                ids.push(id.clone());
            }
        }
    }

    /// Runners of a service in held shards.
    pub fn of_service(&self, service: &ids::ServiceName) -> impl Iterator<Item = &Runner> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.runners.get(id))
    }

    /// Services with a held runner.
    pub fn services(&self) -> impl Iterator<Item = &ids::ServiceName> {
        self.by_service.keys()
    }

    /// Every runner, for a dump.
    pub fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// A runner by its id.
    pub fn runner(&self, id: &ids::InstanceId) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// Takes a slot of a runner that has one free; `false` when it has none.
    pub fn take(&mut self, id: &ids::InstanceId, now: time::Instant) -> bool {
        match self.runners.get_mut(id) {
            Some(runner) if runner.free(now) > 0 => {
                runner.busy += 1;
                true
            }
            _ => false,
        }
    }

    /// Gives back a slot whose request is known to be over.
    pub fn free(&mut self, id: &ids::InstanceId) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.busy = runner.busy.saturating_sub(1);
        }
    }

    /// Keeps back a slot whose request may still run, for `longest_run` at most.
    pub fn lose(&mut self, id: &ids::InstanceId, longest_run: time::Duration, now: time::Instant) {
        let settle = self.config.settle;
        if let Some(runner) = self.runners.get_mut(id) {
            runner.busy = runner.busy.saturating_sub(1);
            runner.quarantines.push(Quarantine {
                count: 1,
                report_after: now + settle,
                until: now + settle + longest_run,
            });
        }
    }

    /// Takes in a runner's report that tells of the moment `taken`, or a later one.
    pub fn report(
        &mut self,
        id: &ids::InstanceId,
        busy: u32,
        taken: time::Instant,
        now: time::Instant,
    ) {
        let Some(runner) = self.runners.get_mut(id) else {
            return;
        };
        runner.quarantines.retain(|q| now < q.until);
        let late_enough = |q: &Quarantine| q.report_after < taken;
        let counted: u32 = (runner.quarantines.iter())
            .filter(|q| late_enough(q))
            .map(|q| q.count)
            .sum();
        let mut excess = counted.saturating_sub(busy);
        for quarantine in &mut runner.quarantines {
            if late_enough(quarantine) {
                let freed = excess.min(quarantine.count);
                quarantine.count -= freed;
                excess -= freed;
            }
        }
        runner.quarantines.retain(|q| q.count > 0);
    }

    /// Notes that a runner said itself that it is leaving.
    pub fn says_leaving(&mut self, id: &ids::InstanceId) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.said_leaving = true;
        }
    }

    /// Runners for which a report taken now would free slots.
    pub fn worth_asking(&self, now: time::Instant) -> impl Iterator<Item = &Runner> {
        self.runners.values().filter(move |runner| {
            let quarantines = &runner.quarantines;
            quarantines
                .iter()
                .any(|q| q.report_after < now && now < q.until)
        })
    }

    /// When the next kept-back slot comes back by itself.
    pub fn next_release(&self, now: time::Instant) -> Option<time::Instant> {
        let quarantines = self.runners.values().flat_map(|r| &r.quarantines);
        quarantines
            .map(|q| q.until)
            .filter(|until| *until > now)
            .min()
    }

    /// Stops granting slots of a shard.
    pub fn stop(&mut self, shard: &ids::ShardId) {
        for runner in self.runners.values_mut() {
            if runner.shard == *shard {
                runner.epoch = None;
            }
        }
        self.index();
    }

    /// Whether nothing of a shard can be in progress.
    pub fn is_shard_idle(&self, shard: &ids::ShardId, now: time::Instant) -> bool {
        let of_shard = self.runners.values().filter(|r| r.shard == *shard);
        of_shard.into_iter().all(|runner| runner.is_idle(now))
    }
}

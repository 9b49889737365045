//! Slots of the runners whose shards this process holds.
//!
//! One in-memory table decides what is sent to a runner, so that no runner ever
//! has more requests than slots. A slot is in one of four states: free, busy with
//! a request of this holder, *lost* (a request of this holder may still run there,
//! since its connection broke), or *foreign* (a request of the shard's earlier
//! holder may still run there). Lost and foreign slots are withheld until the
//! longest run time has passed, or until the runner reports fewer requests. Such
//! a report counts only if it was taken late enough that everything sent before
//! has arrived.
//!
//! A report contains a number of requests and no ids, so it includes the requests
//! of this holder. The table may therefore withhold more slots than necessary,
//! but never fewer.

use std::time;

use figscale_types::ids;
use figscale_types::instances;
use indexmap::IndexMap;

/// A shard of runners that this process holds.
#[derive(Clone, Debug)]
pub struct HeldShard {
    /// Epoch under which it is held.
    pub epoch: ids::Epoch,
    /// Latest time at which an earlier holder can have dispatched a request;
    /// `None` if it left nothing in progress.
    pub last_foreign_dispatch: Option<time::Instant>,
    /// Its runners, including those that are leaving.
    pub runners: Vec<instances::Instance>,
}

/// Settings of the slot table.
#[derive(Clone, Copy, Debug)]
pub struct SlotConfig {
    /// Time after which a request that was sent has either reached its runner or
    /// never will. Default 1,000 ms.
    pub settle: time::Duration,
}

impl Default for SlotConfig {
    fn default() -> Self {
        Self {
            settle: time::Duration::from_millis(1_000),
        }
    }
}

/// Lost or foreign slots, which may be in use by requests that this holder does
/// not observe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WithheldSlots {
    count: u32,
    /// Only reports taken after this time can release the slots.
    report_after: time::Instant,
    until: time::Instant,
}

/// A runner with the state of its slots.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its entry in the instance list.
    pub instance: instances::Instance,
    /// Its shard.
    pub shard: ids::ShardId,
    /// Epoch under which the shard is held; `None` once it is no longer held.
    pub epoch: Option<ids::Epoch>,
    /// Whether the runner itself has announced that it is leaving.
    pub announced_leaving: bool,
    /// Requests of this holder in progress.
    pub busy: u32,
    withheld_slots: Vec<WithheldSlots>,
}

impl Runner {
    /// Slots withheld at `now`, not counting busy ones.
    pub fn withheld(&self, now: time::Instant) -> u32 {
        let open = self.withheld_slots.iter().filter(|q| now < q.until);
        open.map(|q| q.count).sum()
    }

    /// Slots that may be granted at `now`.
    pub fn free(&self, now: time::Instant) -> u32 {
        if self.epoch.is_none() || self.is_leaving() {
            return 0;
        }
        let used = self.busy + self.withheld(now);
        self.instance.slots.saturating_sub(used)
    }

    /// Whether the runner is leaving and gets no new requests.
    pub fn is_leaving(&self) -> bool {
        self.announced_leaving || self.instance.life == instances::Life::Leaving
    }

    /// Maximum number of connections that one holder may have to the runner.
    ///
    /// A fifth of the runner's limit, so that connections which frozen earlier
    /// holders still have open do not exhaust it, but at least one per slot and at
    /// most two per slot.
    pub fn connections(&self) -> u32 {
        let slots = self.instance.slots;
        (self.instance.connections / 5).clamp(slots.min(self.instance.connections), slots * 2)
    }

    /// Whether no request of this or an earlier holder can be in progress.
    pub fn is_idle(&self, now: time::Instant) -> bool {
        self.busy == 0 && self.withheld(now) == 0
    }
}

/// The runners of all held shards, and other runners on which requests may still
/// be in progress.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    config: SlotConfig,
    runners: IndexMap<ids::InstanceId, Runner>,
    by_service: IndexMap<ids::ServiceName, Vec<ids::InstanceId>>,
}

impl SlotTable {
    /// Creates an empty table.
    pub fn new(config: SlotConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Applies the set of held shards and their runners.
    ///
    /// `longest_run` returns the longest run time of a request to a service.
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
        self.remove_unused(now);
        self.rebuild_index();
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
                announced_leaving: false,
                busy: 0,
                withheld_slots: Vec::new(),
            });
        runner.instance = instance.clone();
        runner.shard = shard_id.clone();
        if runner.epoch == Some(shard.epoch) {
            return;
        }
        runner.epoch = Some(shard.epoch);
        if let Some(last) = shard.last_foreign_dispatch {
            runner.withheld_slots.push(WithheldSlots {
                count: instance.slots,
                report_after: last + settle,
                until: last + settle + longest_run(service),
            });
        }
    }

    fn remove_unused(&mut self, now: time::Instant) {
        for runner in self.runners.values_mut() {
            runner
                .withheld_slots
                .retain(|q| now < q.until && q.count > 0);
        }
        self.runners
            .retain(|_, runner| runner.epoch.is_some() || !runner.is_idle(now));
    }

    fn rebuild_index(&mut self) {
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

    /// All runners in the table.
    pub fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// A runner by its id.
    pub fn runner(&self, id: &ids::InstanceId) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// Takes a free slot of a runner; `false` if it has none.
    pub fn take(&mut self, id: &ids::InstanceId, now: time::Instant) -> bool {
        match self.runners.get_mut(id) {
            Some(runner) if runner.free(now) > 0 => {
                runner.busy += 1;
                true
            }
            _ => false,
        }
    }

    /// Frees a slot whose request is known to have ended.
    pub fn free(&mut self, id: &ids::InstanceId) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.busy = runner.busy.saturating_sub(1);
        }
    }

    /// Withholds a slot whose request may still run, for at most `longest_run` plus
    /// the time for the request to arrive.
    pub fn mark_lost(
        &mut self,
        id: &ids::InstanceId,
        longest_run: time::Duration,
        now: time::Instant,
    ) {
        let settle = self.config.settle;
        if let Some(runner) = self.runners.get_mut(id) {
            runner.busy = runner.busy.saturating_sub(1);
            runner.withheld_slots.push(WithheldSlots {
                count: 1,
                report_after: now + settle,
                until: now + settle + longest_run,
            });
        }
    }

    /// Applies a runner's report of its busy slots, taken at `taken` or later.
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
        runner.withheld_slots.retain(|q| now < q.until);
        let late_enough = |q: &WithheldSlots| q.report_after < taken;
        let counted: u32 = (runner.withheld_slots.iter())
            .filter(|q| late_enough(q))
            .map(|q| q.count)
            .sum();
        let mut excess = counted.saturating_sub(busy);
        for group in &mut runner.withheld_slots {
            if late_enough(group) {
                let freed = excess.min(group.count);
                group.count -= freed;
                excess -= freed;
            }
        }
        runner.withheld_slots.retain(|q| q.count > 0);
    }

    /// Records that a runner has announced that it is leaving.
    pub fn mark_leaving(&mut self, id: &ids::InstanceId) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.announced_leaving = true;
        }
    }

    /// Runners for which a report taken now could release withheld slots.
    pub fn awaiting_report(&self, now: time::Instant) -> impl Iterator<Item = &Runner> {
        self.runners.values().filter(move |runner| {
            let withheld_slots = &runner.withheld_slots;
            withheld_slots
                .iter()
                .any(|q| q.report_after < now && now < q.until)
        })
    }

    /// Time at which the next withheld slot is released without a report.
    pub fn next_release(&self, now: time::Instant) -> Option<time::Instant> {
        let withheld_slots = self.runners.values().flat_map(|r| &r.withheld_slots);
        withheld_slots
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
        self.rebuild_index();
    }

    /// Whether no request can be in progress on the runners of a shard.
    pub fn is_shard_idle(&self, shard: &ids::ShardId, now: time::Instant) -> bool {
        let of_shard = self.runners.values().filter(|r| r.shard == *shard);
        of_shard.into_iter().all(|runner| runner.is_idle(now))
    }
}

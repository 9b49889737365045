//! Selection of the runner for a request, and of the slots that it may use.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;

use super::Dispatcher;
use super::Grant;
use super::InUse;
use super::Service;
use super::SlotId;
use super::Submission;
use crate::request::outlier;
use crate::request::queue;
use crate::request::slots;

impl Dispatcher {
    pub(super) fn service_mut(&mut self, name: &ids::ServiceName) -> &mut Service {
        let config = self.config;
        if !self.services.contains_key(name) {
            let service = Service {
                queue: queue::FairQueue::new(config.queue),
                outliers: outlier::Outliers::new(config.outlier),
                last_interactive: None,
                grant_intervals: Default::default(),
            };
            self.services.insert(name.clone(), service);
        }
        &mut self.services[name]
    }

    /// Free slots of runners that are not ejected; at most one of a runner that
    /// is due for a probe.
    pub(super) fn usable(&self, name: &ids::ServiceName, now: time::Instant) -> u32 {
        let Some(service) = self.services.get(name) else {
            return 0;
        };
        let usable =
            |runner: &slots::Runner| match service.outliers.eligibility(&runner.instance.id, now) {
                outlier::Eligibility::Open => runner.free(now),
                outlier::Eligibility::Probe => runner.free(now).min(1),
                outlier::Eligibility::Ejected => 0,
            };
        self.table.of_service(name).map(usable).sum()
    }

    /// Whether a request of this urgency may use a free slot, if there is one.
    pub(super) fn may_use(
        &self,
        name: &ids::ServiceName,
        urgency: catalogue::Urgency,
        now: time::Instant,
    ) -> bool {
        urgency != catalogue::Urgency::BestEffort
            || self.usable(name, now) > self.reserve(name, now)
    }

    /// Number of free slots that best-effort requests must leave unused.
    pub(super) fn reserve(&self, name: &ids::ServiceName, now: time::Instant) -> u32 {
        let service = self.services.get(name);
        let last = service.and_then(|service| service.last_interactive);
        let is_active =
            last.is_some_and(|last| now.saturating_duration_since(last) < self.config.reserve_for);
        if !is_active {
            return 0;
        }
        let slots: u32 = self.table.of_service(name).map(|r| r.instance.slots).sum();
        // Rounded down.
        (f64::from(slots) * self.config.reserve_share) as u32
    }

    pub(super) fn grant(&mut self, submission: &Submission, now: time::Instant) -> Option<Grant> {
        let id = self.pick(submission, now)?;
        if !self.table.take(&id, now) {
            return None;
        }
        self.service_mut(&submission.service)
            .outliers
            .record_sent(&id);
        let runner = self.table.runner(&id)?;
        self.last_slot += 1;
        let grant = Grant {
            slot: SlotId(self.last_slot),
            runner: id.clone(),
            address: runner.instance.address,
            connections: runner.connections(),
            shard: runner.shard.clone(),
            epoch: runner.epoch?,
        };
        let in_use = InUse {
            runner: id,
            service: submission.service.clone(),
            entry: submission.entry.clone(),
            max_run: submission.max_run,
        };
        self.in_use.insert(grant.slot, in_use);
        Some(grant)
    }

    /// Selects the runner for a request.
    ///
    /// An idempotent request goes first to a runner that is due for a probe.
    /// Otherwise the runner with the largest share of free slots is selected. A
    /// runner that is due for a probe gets a request that is not idempotent only
    /// when no other is free, and the runner that failed the previous attempt is
    /// the last choice.
    pub(super) fn pick(
        &self,
        submission: &Submission,
        now: time::Instant,
    ) -> Option<ids::InstanceId> {
        let service = self.services.get(&submission.service)?;
        let rank = |runner: &slots::Runner| {
            let free = runner.free(now);
            if free == 0 {
                return None;
            }
            let share = u64::from(free) * 1_000 / u64::from(runner.instance.slots.max(1));
            let avoided = submission.avoid.as_ref() == Some(&runner.instance.id);
            let rank = match service.outliers.eligibility(&runner.instance.id, now) {
                outlier::Eligibility::Ejected => return None,
                _ if avoided => 1,
                outlier::Eligibility::Probe if submission.idempotent => 10_000,
                outlier::Eligibility::Probe => 2,
                outlier::Eligibility::Open => 10 + share,
            };
            Some((rank, runner.instance.id.clone()))
        };
        let ranked = self.table.of_service(&submission.service).filter_map(rank);
        // Rotates among runners of equal rank by the number of the last slot.
        let ranked: Vec<_> = ranked.collect();
        let best = ranked.iter().map(|(rank, _)| *rank).max()?;
        let equals: Vec<_> = ranked.iter().filter(|(rank, _)| *rank == best).collect();
        let turn = usize::try_from(self.last_slot).unwrap_or(0) % equals.len();
        Some(equals[turn].1.clone())
    }
}

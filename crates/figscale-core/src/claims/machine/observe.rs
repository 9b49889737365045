//! This member's lease, and reads of the store.

use std::time;

use figscale_types::claims;
use figscale_types::ids;

use super::super::Action;
use super::super::StoreFailure;
use super::super::lease;
use super::super::schedule::Op;
use super::Document;
use super::Machine;

impl Machine {
    pub(super) fn granted(
        &mut self,
        now: time::Instant,
        sent_at: time::Instant,
        result: Result<ids::LeaseId, StoreFailure>,
    ) {
        match result {
            Ok(id) => {
                self.lease = Some(lease::OwnLease::new(id, sent_at, now, &self.config));
                self.last_renewed = self.last_renewed.max(Some(sent_at));
                self.schedule.succeeded(Op::Grant, now);
                let next = sent_at + self.config.heartbeat;
                self.schedule.succeeded(Op::Renew, next);
            }
            Err(_) => self.schedule.failed(Op::Grant, now, &mut self.rng),
        }
    }

    pub(super) fn announced(
        &mut self,
        now: time::Instant,
        id: ids::LeaseId,
        result: Result<(), StoreFailure>,
    ) {
        match result {
            // A conflict means that an earlier attempt wrote the key and its
            // response was lost.
            Ok(()) | Err(StoreFailure::Conflict) => {
                self.schedule.succeeded(Op::Announce, now);
                if let Some(lease) = self.lease.as_mut().filter(|lease| lease.id == id) {
                    lease.announced = true;
                }
            }
            Err(StoreFailure::LeaseGone) => {
                self.schedule.succeeded(Op::Announce, now);
                self.lease_gone(id);
            }
            Err(_) => self.schedule.failed(Op::Announce, now, &mut self.rng),
        }
    }

    pub(super) fn renewed(
        &mut self,
        now: time::Instant,
        id: ids::LeaseId,
        sent_at: time::Instant,
        result: Result<(), StoreFailure>,
    ) {
        match result {
            Ok(()) => {
                self.last_renewed = self.last_renewed.max(Some(sent_at));
                let next = sent_at + self.config.heartbeat;
                self.schedule.succeeded(Op::Renew, next);
                let config = &self.config;
                if let Some(lease) = self.lease.as_mut().filter(|lease| lease.id == id) {
                    lease.renewed(sent_at, now, config);
                }
            }
            Err(StoreFailure::LeaseGone) => {
                self.schedule.succeeded(Op::Renew, now);
                self.lease_gone(id);
            }
            Err(_) => self.schedule.failed(Op::Renew, now, &mut self.rng),
        }
    }

    fn lease_gone(&mut self, id: ids::LeaseId) {
        if self.lease.as_ref().is_some_and(|lease| lease.id == id) {
            self.lease = None;
        }
    }

    pub(super) fn read(
        &mut self,
        now: time::Instant,
        result: Result<(ids::Revision, claims::Claims), StoreFailure>,
        asked: bool,
    ) {
        match result {
            Ok(seen) => {
                if asked {
                    self.schedule.succeeded(Op::Read, now);
                    self.stale = false;
                }
                self.adopt(now, Document::from(seen));
            }
            Err(_) if asked => self.schedule.failed(Op::Read, now, &mut self.rng),
            Err(_) => {}
        }
    }

    pub(super) fn listed(
        &mut self,
        now: time::Instant,
        result: Result<Vec<ids::LeaseId>, StoreFailure>,
    ) {
        let Ok(live) = result else {
            self.schedule.failed(Op::List, now, &mut self.rng);
            return;
        };
        self.schedule
            .succeeded(Op::List, now + self.config.heartbeat);
        let candidates = match self.config.guards.list_after_document {
            true => std::mem::take(&mut self.leases_to_check),
            false => self.named_leases(),
        };
        let expired = candidates.into_iter().filter(|id| !live.contains(id));
        self.expired.extend(expired);
        let own = self.lease.as_ref().map(|lease| lease.id);
        if let Some(own) = own.filter(|own| self.expired.contains(own)) {
            self.lease_gone(own);
        }
    }

    fn named_leases(&self) -> Vec<ids::LeaseId> {
        let document = self.document.iter();
        let members = document.flat_map(|document| document.claims.members.values());
        members.map(|member| member.lease).collect()
    }

    /// Requests the calls that are due to create, announce or renew the lease.
    pub(super) fn maintain_lease(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        let Some(lease) = &self.lease else {
            if self.schedule.start(Op::Grant, now) {
                actions.push(Action::Grant);
            }
            return;
        };
        let id = lease.id;
        if !lease.announced && self.schedule.start(Op::Announce, now) {
            actions.push(Action::Announce { lease: id });
        }
        if self.schedule.start(Op::Renew, now) {
            actions.push(Action::Renew { lease: id });
        }
    }

    /// Reads the document if it may have changed, and lists the member keys once
    /// per heartbeat.
    pub(super) fn refresh_document(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        let unread = self.document.is_none() || self.stale;
        if unread && self.schedule.start(Op::Read, now) {
            actions.push(Action::Read);
        }
        if self.document.is_some() && self.schedule.start(Op::List, now) {
            self.leases_to_check = self.named_leases();
            actions.push(Action::List);
        }
    }

    /// Whether the last renewal of the lease is so long ago that the store counts
    /// as unavailable.
    pub(super) fn is_store_unavailable(&self, now: time::Instant) -> bool {
        let since = self.last_renewed.unwrap_or(self.started);
        now.saturating_duration_since(since) > self.config.store_unavailable_after
    }
}

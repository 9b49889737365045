//! Publishes the state of the claims state machine and logs its changes.

use std::sync;
use std::time;

use figscale_core::claims as core;
use figscale_types::ids;
use figscale_types::instances;
use indexmap::IndexMap;

use crate::events::claims as events;
use crate::state;

/// Publishes the claims view and the authority, and remembers what was last
/// published and logged.
pub(super) struct Publisher {
    context: state::Context,
    instances: sync::Arc<instances::InstanceList>,
    by_shard: IndexMap<ids::ShardId, Vec<instances::Instance>>,
    /// Whether the instance list is newer than the published view.
    list_changed: bool,
    was_member: bool,
    had_authority: bool,
    by_promises: bool,
    evicting: Vec<ids::MemberKey>,
}

impl Publisher {
    pub(super) fn new(context: state::Context) -> Self {
        Self {
            context,
            instances: sync::Arc::default(),
            by_shard: IndexMap::new(),
            list_changed: false,
            was_member: false,
            had_authority: false,
            by_promises: false,
            evicting: Vec::new(),
        }
    }

    /// Stores the instance list, to be published with the next view.
    pub(super) fn instances(&mut self, list: sync::Arc<instances::InstanceList>) {
        // The store client returns the same `Arc` while the list is unchanged.
        if !sync::Arc::ptr_eq(&list, &self.instances) && *list != *self.instances {
            self.by_shard = core::by_shard(&list);
            self.instances = list;
            self.list_changed = true;
        }
    }

    /// Publishes the view if it changed, and the authority.
    ///
    /// Lost authority is published before the view and gained authority after
    /// it, so that no reader combines new shards with outdated authority.
    pub(super) fn publish(&mut self, machine: &core::Machine, now: time::Instant) {
        let until = machine.authority_until();
        if until.is_none() {
            self.context.shared.authority.revoke();
        }
        self.publish_view(machine);
        if let Some(until) = until {
            self.context.shared.authority.set_valid_until(until);
        }
        self.log(machine, now);
    }

    fn publish_view(&mut self, machine: &core::Machine) {
        let old = self.context.shared.claims_now();
        let held: IndexMap<_, _> = machine
            .held()
            .map(|(id, held)| (id.clone(), held.clone()))
            .collect();
        let revision = machine.document().map_or(old.revision, |(rev, _)| rev);
        let same_held = held.len() == old.held.len()
            && held
                .iter()
                .all(|(id, held)| old.held.get(id).is_some_and(|old| old.epoch == held.epoch));
        if same_held && revision == old.revision && !self.list_changed {
            return;
        }
        self.list_changed = false;
        let claims = match machine.document() {
            Some((_, claims)) if revision != old.revision => claims.clone(),
            _ => old.claims.clone(),
        };
        self.context.store.share_among(claims.members.len());
        log_shard_changes(&old, &held);
        let view = state::ClaimsView {
            me: old.me.clone(),
            revision,
            claims,
            held,
            instances: self.instances.clone(),
            by_shard: self.by_shard.clone(),
        };
        self.context
            .shared
            .claims
            .send_replace(sync::Arc::new(view));
    }

    fn log(&mut self, machine: &core::Machine, now: time::Instant) {
        let status = machine.status();
        if status.is_member != self.was_member && !status.left {
            match status.is_member {
                true => crate::event!(events::CLAIMS_JOINED, member = self.context.me()),
                false => crate::event!(events::CLAIMS_DROPPED, member = self.context.me()),
            }
        }
        self.was_member = status.is_member;
        let by_lease = status.lease_until.is_some_and(|until| now < until);
        let has_authority = machine.authority_until().is_some_and(|until| now < until);
        if has_authority != self.had_authority && !status.left {
            match has_authority {
                true => crate::event!(events::AUTHORITY_GAINED, shards = machine.held().count()),
                false => crate::event!(events::AUTHORITY_LOST, shards = machine.held().count()),
            }
        }
        self.had_authority = has_authority;
        let by_promises = has_authority && !by_lease;
        if by_promises != self.by_promises && has_authority {
            match by_promises {
                true => crate::event!(events::HELD_BY_PROMISES, shards = machine.held().count()),
                false => crate::event!(events::HELD_BY_LEASE, shards = machine.held().count()),
            }
        }
        self.by_promises = by_promises;
        self.log_evictions(machine, status.evicting);
    }

    fn log_evictions(&mut self, machine: &core::Machine, evicting: Vec<ids::MemberKey>) {
        for holder in &self.evicting {
            let document = machine.document();
            let named = document.and_then(|(_, claims)| claims.key_of(&holder.id));
            if named.as_ref() != Some(holder) {
                crate::event!(events::MEMBER_EVICTED, member = holder);
            }
        }
        self.evicting = evicting;
    }
}

fn log_shard_changes(old: &state::ClaimsView, held: &IndexMap<ids::ShardId, core::Held>) {
    let acquired = held.keys().filter(|id| !old.held.contains_key(*id)).count();
    let released = old.held.keys().filter(|id| !held.contains_key(*id)).count();
    if acquired > 0 {
        crate::event!(events::SHARDS_TAKEN, shards = acquired, held = held.len());
    }
    if released > 0 {
        crate::event!(events::SHARDS_GIVEN, shards = released, held = held.len());
    }
}

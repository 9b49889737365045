//! Diagnostic dump of the claims state.

use std::time;

use figscale_core::claims as core;
use figscale_types::claims;
use figscale_types::clock;
use figscale_types::ids;
use indexmap::IndexMap;
use serde::Serialize;

#[derive(Serialize)]
struct Dump<'a> {
    revision: ids::Revision,
    is_member: bool,
    left: bool,
    lease: Option<ids::LeaseId>,
    authority_ms: u64,
    lease_ms: u64,
    promised_ms: u64,
    held: IndexMap<ids::ShardId, HeldDump>,
    giving: Vec<ids::ShardId>,
    evicting: Vec<ids::MemberKey>,
    unknown_writes: usize,
    document: Option<&'a claims::Claims>,
}

#[derive(Serialize)]
struct HeldDump {
    epoch: ids::Epoch,
    held_ms: u64,
    clean: bool,
}

/// Dumps the state machine as of `now`.
///
/// `authority_ms`, `lease_ms` and `promised_ms` are the remaining times, 0 once
/// they have passed; `held_ms` is the time for which a shard has been held.
pub(super) fn dump(machine: &core::Machine, now: time::Instant) -> serde_json::Value {
    let left_ms = |until: Option<time::Instant>| {
        let left = until.map(|until| until.saturating_duration_since(now));
        clock::millis(left.unwrap_or_default())
    };
    let shown = |held: &core::Held| HeldDump {
        epoch: held.epoch,
        held_ms: clock::millis(now.saturating_duration_since(held.acquired_at)),
        clean: held.clean,
    };
    let status = machine.status();
    let document = machine.document();
    let dump = Dump {
        revision: document.map_or(ids::Revision(0), |(revision, _)| revision),
        is_member: status.is_member,
        left: status.left,
        lease: status.lease,
        authority_ms: left_ms(machine.authority_until()),
        lease_ms: left_ms(status.lease_until),
        promised_ms: left_ms(status.promised_until),
        held: machine
            .held()
            .map(|(id, h)| (id.clone(), shown(h)))
            .collect(),
        giving: status.giving,
        evicting: status.evicting,
        unknown_writes: status.unknown_writes,
        document: document.map(|(_, claims)| claims),
    };
    serde_json::to_value(dump).unwrap_or_else(|error| error.to_string().into())
}

//! Counts of calls and bytes by kind of call.

use figscale_types::platform;
use indexmap::IndexMap;
use serde::Serialize;

/// Use of one kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Calls made.
    pub calls: u64,
    /// Calls that failed in any way.
    pub failed: u64,
    /// Bytes of heads and bodies sent, estimated without the connection's own.
    pub sent_bytes: u64,
    /// Bytes of heads and bodies received, estimated likewise.
    pub received_bytes: u64,
}

/// Use of the store by kind of call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Counts {
    by_call: IndexMap<platform::CallKind, Usage>,
}

impl Counts {
    /// Use of one kind of call.
    pub fn of(&self, call: platform::CallKind) -> Usage {
        self.by_call.get(&call).copied().unwrap_or_default()
    }

    /// Each kind of call that was used.
    pub fn iter(&self) -> impl Iterator<Item = (platform::CallKind, Usage)> {
        self.by_call.iter().map(|(call, usage)| (*call, *usage))
    }

    pub(super) fn add(
        &mut self,
        call: platform::CallKind,
        sent: usize,
        received: usize,
        failed: bool,
    ) {
        let usage = self.by_call.entry(call).or_default();
        usage.calls += 1;
        usage.failed += u64::from(failed);
        usage.sent_bytes += sent as u64;
        usage.received_bytes += received as u64;
    }
}

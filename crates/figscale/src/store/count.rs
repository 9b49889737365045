//! Counters of calls and bytes by kind of call.

use figscale_types::platform;
use indexmap::IndexMap;
use serde::Serialize;

/// Counters of one kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Calls made.
    pub calls: u64,
    /// Calls that failed for any reason.
    pub failed: u64,
    /// Estimated bytes of heads and bodies sent, without connection overhead.
    pub sent_bytes: u64,
    /// Estimated bytes of heads and bodies received, without connection overhead.
    pub received_bytes: u64,
}

/// Counters by kind of call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Counts {
    by_call: IndexMap<platform::CallKind, Usage>,
}

impl Counts {
    /// Counters of one kind of call; zero if it was never made.
    pub fn of(&self, call: platform::CallKind) -> Usage {
        self.by_call.get(&call).copied().unwrap_or_default()
    }

    /// The counters of each kind of call that was made.
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

//! Counters of calls and bytes by client and kind of call.

use figscale_types::platform;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// The kind of an HTTP call; `None` if it is not part of the protocol.
pub(crate) fn kind_of(method: &http::Method, path: &str) -> Option<platform::CallKind> {
    let rest = path.strip_prefix("/v1/")?;
    let part = rest.split('/').next()?;
    match (part, method.as_str()) {
        ("kv", "GET") => Some(platform::CallKind::Get),
        ("kv", "PUT") => Some(platform::CallKind::Put),
        ("kv", "DELETE") => Some(platform::CallKind::Delete),
        ("watch", "GET") => Some(platform::CallKind::Watch),
        ("keys", "GET") => Some(platform::CallKind::Keys),
        ("leases", "POST") => Some(platform::CallKind::Grant),
        ("leases", "PUT") => Some(platform::CallKind::Renew),
        ("leases", "DELETE") => Some(platform::CallKind::Revoke),
        ("instances", "GET") => Some(platform::CallKind::Instances),
        _ => None,
    }
}

/// Counters of one kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls, refused ones included.
    pub calls: u64,
    /// Calls refused by the rate limit.
    pub over_rate: u64,
    /// Calls refused by an outage.
    pub outage: u64,
    /// Bytes of request bodies.
    pub received_bytes: u64,
    /// Bytes of response bodies.
    pub sent_bytes: u64,
}

impl Counts {
    /// The sum.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            over_rate: self.over_rate + other.over_rate,
            outage: self.outage + other.outage,
            received_bytes: self.received_bytes + other.received_bytes,
            sent_bytes: self.sent_bytes + other.sent_bytes,
        }
    }
}

/// Counters by client, then by kind.
pub(crate) type CountsByClient = IndexMap<String, IndexMap<platform::CallKind, Counts>>;

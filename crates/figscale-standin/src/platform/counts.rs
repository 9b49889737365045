//! Calls and bytes, counted by client and kind of call.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Kinds of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// Read of a key.
    Get,
    /// Write of a key.
    Put,
    /// Deletion of a key.
    Delete,
    /// Waiting read.
    Watch,
    /// List of keys.
    Keys,
    /// A new lease.
    Grant,
    /// Renewal of a lease.
    Renew,
    /// End of a lease.
    Revoke,
    /// Read of the instance list.
    Instances,
}

impl CallKind {
    /// The kind of an HTTP call; `None` for what the protocol does not know.
    pub(crate) fn of(method: &http::Method, path: &str) -> Option<Self> {
        let rest = path.strip_prefix("/v1/")?;
        let part = rest.split('/').next()?;
        match (part, method.as_str()) {
            ("kv", "GET") => Some(Self::Get),
            ("kv", "PUT") => Some(Self::Put),
            ("kv", "DELETE") => Some(Self::Delete),
            ("watch", "GET") => Some(Self::Watch),
            ("keys", "GET") => Some(Self::Keys),
            ("leases", "POST") => Some(Self::Grant),
            ("leases", "PUT") => Some(Self::Renew),
            ("leases", "DELETE") => Some(Self::Revoke),
            ("instances", "GET") => Some(Self::Instances),
            _ => None,
        }
    }

    /// Whether it counts against the rate of writes.
    pub fn is_write(self) -> bool {
        match self {
            Self::Put | Self::Delete | Self::Grant | Self::Renew | Self::Revoke => true,
            Self::Get | Self::Watch | Self::Keys | Self::Instances => false,
        }
    }
}

/// Counters of one kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls, refused ones included.
    pub calls: u64,
    /// Calls refused for the rate.
    pub over_rate: u64,
    /// Calls refused by an outage.
    pub outage: u64,
    /// Bytes of request bodies.
    pub received_bytes: u64,
    /// Bytes of answer bodies.
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
pub(crate) type CountsByClient = IndexMap<String, IndexMap<CallKind, Counts>>;

//! The platform's protocol: key-value service and instance list over HTTP.
//!
//! | call | response |
//! | --- | --- |
//! | `GET /v1/kv/KEY` | 200, value, `x-revision`; 404 when absent, with the revision of the deletion if there was one |
//! | `PUT /v1/kv/KEY` with `x-if-revision` (0: must be absent), perhaps `x-lease` | 200, `x-revision`; 412 with the current `x-revision`; 410 when the lease is gone; 413 over [`MAX_VALUE_BYTES`] |
//! | `DELETE /v1/kv/KEY` with `x-if-revision` | 200; 412 as above |
//! | `GET /v1/watch/KEY?after=REV&wait_ms=MS` | as `GET` once the revision, or that of the deletion, is above `REV`; 204 when `MS` have passed |
//! | `GET /v1/keys?prefix=P` | 200, [`KeyList`] |
//! | `POST /v1/leases` with [`LeaseRequest`] | 200, [`LeaseAnswer`] |
//! | `PUT /v1/leases/ID` | 200 when renewed; 410 when gone |
//! | `DELETE /v1/leases/ID` | 200; keys under it are deleted |
//! | `GET /v1/instances`, perhaps with `if-none-match` | 200, [`crate::instances::InstanceList`], perhaps `etag`; 304 when the tag still holds |
//!
//! Revisions come from one counter of the whole service, so that a key that
//! was deleted and created again never has an earlier revision. Any call may get
//! status 429 (rate limit exceeded) or 503 (outage), may be slow, or may take
//! effect although its response is lost. A waiting watch counts as one call.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Header with a key's revision.
pub const REVISION: &str = "x-revision";
/// Header with the revision that a write expects.
pub const IF_REVISION: &str = "x-if-revision";
/// Header with the lease that a key is bound to.
pub const LEASE: &str = "x-lease";

/// Header with the name of the caller, by which a stand-in counts calls; optional.
pub const CLIENT: &str = "x-client";

/// Kinds of call of the protocol.
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
    /// Whether the call counts against the rate limit of writes.
    pub fn is_write(self) -> bool {
        match self {
            Self::Put | Self::Delete | Self::Grant | Self::Renew | Self::Revoke => true,
            Self::Get | Self::Watch | Self::Keys | Self::Instances => false,
        }
    }
}

/// Request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Duration of the lease from its grant or last renewal.
    pub ttl_ms: u64,
}

/// A lease that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Its id.
    pub lease: ids::LeaseId,
}

/// A key without its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRevision {
    /// The key.
    pub key: String,
    /// Its revision.
    pub revision: ids::Revision,
}

/// Keys under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyList {
    /// The keys, in order.
    pub keys: Vec<KeyRevision>,
}

//! Client of the platform's key-value service and instance list.
//!
//! The protocol is in `figscale_types::platform`. An error tells by its
//! verdict whether a write may have taken effect.

use std::error;
use std::fmt;
use std::net;
use std::time;

use figscale_types::ids;
use figscale_types::instances;
use figscale_types::platform;
use figscale_types::verdict::Verdict;

/// What is wrong with a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreErrorKind {
    /// The key has another revision; for a missing key 0.
    Conflict(ids::Revision),
    /// The lease is gone.
    LeaseGone,
    /// The value is too large.
    TooLarge,
    /// Over the rate; come back later.
    Busy,
    /// No answer, or an answer that says so.
    Away(String),
}

/// A call to the store that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError {
    /// What is wrong.
    pub kind: StoreErrorKind,
    /// Whether a write may have taken effect.
    pub verdict: Verdict,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "store: {:?} ({})", self.kind, self.verdict)
    }
}

impl error::Error for StoreError {}

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Revision of the key.
    pub revision: ids::Revision,
    /// Its value.
    pub value: Vec<u8>,
}

/// The client.
#[derive(Debug)]
pub struct Store {
    _address: net::SocketAddr,
}

impl Store {
    /// A client of the platform at `address`.
    pub fn new(
        address: net::SocketAddr,
        _settings: &crate::settings::StoreSettings,
        _clock: figscale_types::clock::SharedClock,
    ) -> Self {
        Self { _address: address }
    }

    /// Reads a key; `None` when absent.
    pub async fn get(&self, _key: &str) -> Result<Option<Versioned>, StoreError> {
        todo!("stub of the first commit")
    }

    /// Writes a key if it has the revision `expected` (0: is absent).
    pub async fn put(
        &self,
        _key: &str,
        _expected: ids::Revision,
        _value: Vec<u8>,
        _lease: Option<ids::LeaseId>,
    ) -> Result<ids::Revision, StoreError> {
        todo!("stub of the first commit")
    }

    /// Waits until a key's revision is above `after`; `None` when `wait` has passed.
    pub async fn watch(
        &self,
        _key: &str,
        _after: ids::Revision,
        _wait: time::Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        todo!("stub of the first commit")
    }

    /// Lists the keys under a prefix.
    pub async fn keys(&self, _prefix: &str) -> Result<platform::KeyList, StoreError> {
        todo!("stub of the first commit")
    }

    /// Makes a lease.
    pub async fn grant(&self, _ttl: time::Duration) -> Result<ids::LeaseId, StoreError> {
        todo!("stub of the first commit")
    }

    /// Renews a lease.
    pub async fn renew(&self, _lease: ids::LeaseId) -> Result<(), StoreError> {
        todo!("stub of the first commit")
    }

    /// Ends a lease and deletes its keys.
    pub async fn revoke(&self, _lease: ids::LeaseId) -> Result<(), StoreError> {
        todo!("stub of the first commit")
    }

    /// Reads the instance list.
    pub async fn instances(&self) -> Result<instances::InstanceList, StoreError> {
        todo!("stub of the first commit")
    }
}

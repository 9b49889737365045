//! Errors of the store client.

use std::error;
use std::fmt;

use figscale_types::ids;
use figscale_types::verdict::Verdict;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreErrorKind {
    /// The key has this revision instead of the expected one; 0 if it is absent.
    Conflict(ids::Revision),
    /// The lease has expired or was revoked.
    LeaseGone,
    /// The value is too large.
    TooLarge,
    /// Over the rate limit; retry later.
    Busy,
    /// The store is unavailable: there was no response, or one that cannot be
    /// used. Carries the cause.
    Unavailable(String),
}

/// A call to the store that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError {
    /// Why it failed.
    pub kind: StoreErrorKind,
    /// Whether a write may have taken effect.
    pub verdict: Verdict,
}

impl StoreError {
    pub(super) fn not_run(kind: StoreErrorKind) -> Self {
        Self {
            kind,
            verdict: Verdict::NotRun,
        }
    }

    pub(super) fn unavailable(cause: String) -> Self {
        Self::not_run(StoreErrorKind::Unavailable(cause))
    }

    /// Whether the error is a response of the store, such as a refusal.
    ///
    /// [`StoreErrorKind::Busy`] does not count; the client's own rate limit
    /// returns it too.
    pub fn is_answer(&self) -> bool {
        !matches!(
            self.kind,
            StoreErrorKind::Unavailable(_) | StoreErrorKind::Busy
        )
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "store: ")?;
        match &self.kind {
            StoreErrorKind::Conflict(revision) => write!(f, "key is at revision {revision}")?,
            StoreErrorKind::LeaseGone => write!(f, "lease is gone")?,
            StoreErrorKind::TooLarge => write!(f, "value is too large")?,
            StoreErrorKind::Busy => write!(f, "over the rate")?,
            StoreErrorKind::Unavailable(cause) => write!(f, "unavailable: {cause}")?,
        }
        write!(f, " ({})", self.verdict)
    }
}

impl error::Error for StoreError {}

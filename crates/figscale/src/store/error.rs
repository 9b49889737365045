//! Errors of the store client.

use std::error;
use std::fmt;

use figscale_types::ids;
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

impl StoreError {
    pub(super) fn not_run(kind: StoreErrorKind) -> Self {
        Self {
            kind,
            verdict: Verdict::NotRun,
        }
    }

    pub(super) fn away(cause: String) -> Self {
        Self::not_run(StoreErrorKind::Away(cause))
    }

    /// Whether the store answered at all, if only to refuse.
    pub fn is_answer(&self) -> bool {
        !matches!(self.kind, StoreErrorKind::Away(_) | StoreErrorKind::Busy)
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
            StoreErrorKind::Away(cause) => write!(f, "no answer: {cause}")?,
        }
        write!(f, " ({})", self.verdict)
    }
}

impl error::Error for StoreError {}

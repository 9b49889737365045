//! Requests of operators and responses to them, as JSON over HTTP.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::catalogue;
use crate::ids;

/// Request to replace the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Revision that the change was made against.
    pub base: ids::Revision,
    /// Id of the change; a retry uses the same id, so that the change is applied only
    /// once.
    pub change: ids::ChangeId,
    /// Who made the change.
    pub author: String,
    /// Reason for the change.
    pub note: String,
    /// The whole new catalogue.
    pub catalogue: catalogue::Catalogue,
}

/// Request to restore an earlier catalogue as a new revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollbackRequest {
    /// Revision whose catalogue is to be restored.
    pub to: ids::Revision,
    /// Revision that the change was made against.
    pub base: ids::Revision,
    /// Id of the change.
    pub change: ids::ChangeId,
    /// Who made the change.
    pub author: String,
}

/// One change in the catalogue's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// Revision that it made.
    pub revision: ids::Revision,
    /// Id.
    pub change: ids::ChangeId,
    /// Who made the change.
    pub author: String,
    /// Reason for the change.
    pub note: String,
    /// Wall-clock time of acceptance, milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

/// Result of an accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// Revision that the change made.
    pub revision: ids::Revision,
    /// Whether the change had already been accepted before this call.
    pub repeated: bool,
}

/// Revision in force at each entry instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogueStatus {
    /// Highest revision known to the entry instance that responds.
    pub revision: ids::Revision,
    /// Revision in force by member; `None` for one that did not respond.
    pub in_force: IndexMap<ids::MemberId, Option<ids::Revision>>,
}

/// Kind of an error returned to an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The input is invalid; the message names the place.
    Invalid,
    /// Another change was accepted first.
    Conflict,
    /// The requested object does not exist.
    NotFound,
    /// The store, or an entry instance that is needed, is unavailable.
    Unavailable,
    /// The change may have taken effect; retry with the same change id.
    Unknown,
}

/// An error returned to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OperatorError {
    /// Kind.
    pub kind: ErrorKind,
    /// What is wrong and what to do about it, in one sentence.
    pub message: String,
    /// Time after which to retry, if a retry may succeed.
    pub retry_after_ms: Option<u64>,
}

impl OperatorError {
    /// An error of this kind without a retry time.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after_ms: None,
        }
    }
}

impl std::fmt::Display for OperatorError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for OperatorError {}

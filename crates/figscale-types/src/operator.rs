//! What operators send and get, as JSON over HTTP.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::catalogue;
use crate::ids;

/// Asks for a new catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Revision that the change was made against.
    pub base: ids::Revision,
    /// Id of the change; the same on a repeat, so that it counts once.
    pub change: ids::ChangeId,
    /// Who asks.
    pub author: String,
    /// Why.
    pub note: String,
    /// The whole new catalogue.
    pub catalogue: catalogue::Catalogue,
}

/// Asks to go back to an earlier catalogue, by a new revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollbackRequest {
    /// Revision whose catalogue is wanted.
    pub to: ids::Revision,
    /// Revision that the change was made against.
    pub base: ids::Revision,
    /// Id of the change.
    pub change: ids::ChangeId,
    /// Who asks.
    pub author: String,
}

/// One change in the catalogue's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// Revision that it made.
    pub revision: ids::Revision,
    /// Id.
    pub change: ids::ChangeId,
    /// Who made it.
    pub author: String,
    /// Why.
    pub note: String,
    /// Wall-clock time of acceptance, milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

/// Result of an accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// Revision that the change made.
    pub revision: ids::Revision,
    /// Whether the change had been accepted before this call.
    pub repeated: bool,
}

/// Revision in force at each entry instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogueStatus {
    /// Highest revision known to the entry instance that was asked.
    pub revision: ids::Revision,
    /// Revision in force by member; `None` where it did not answer.
    pub in_force: IndexMap<ids::MemberId, Option<ids::Revision>>,
}

/// Kind of an error towards an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The input is wrong; the message names the place.
    Invalid,
    /// Another change came first.
    Conflict,
    /// There is no such thing.
    NotFound,
    /// Not now: the store, or an entry instance that is needed, is away.
    Unavailable,
    /// It may have taken effect; ask again with the same change id.
    Unknown,
}

/// An error towards an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OperatorError {
    /// Kind.
    pub kind: ErrorKind,
    /// What is wrong and what to do, in a sentence.
    pub message: String,
    /// Time after which to ask again, where that helps.
    pub retry_after_ms: Option<u64>,
}

impl OperatorError {
    /// An error of this kind, without a time to come back.
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

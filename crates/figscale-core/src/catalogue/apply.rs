//! Applying one change to the catalogue in the store.
//!
//! A change is accepted when the compare-and-swap that carries it is known to
//! have taken effect, and rejected when it is known that it never can. If the
//! response of the store is lost, neither is known. The change's own id
//! resolves this: the document is read back, and if the id is in it, the change
//! was accepted. If it is not and the key has a newer revision, the write lost
//! its race for good. If the key is unchanged, the write may still be in
//! flight, so the same write is sent again under the same condition: at most
//! one of the two takes effect.
//!
//! [`Apply`] requests reads and writes from its adapter through [`Action`] and
//! receives their outcomes through [`Input`]. When the adapter's deadline has
//! passed, [`Apply::deadline_error`] returns the error to report: whether the change
//! may have been accepted or was not.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;
use figscale_types::verdict::Verdict;

use super::check;
use super::history;

/// Maximum length of an author, in bytes.
pub const MAX_AUTHOR_LEN: usize = 120;
/// Maximum length of a note, in bytes.
pub const MAX_NOTE_LEN: usize = 1_000;
/// Retry delay suggested to an operator when the store is unavailable.
const RETRY_AFTER_MS: u64 = 2_000;
/// Maximum number of problems listed in an error; the rest are only counted.
const MAX_SHOWN_PROBLEMS: usize = 20;

/// What the adapter must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the document.
    Read,
    /// Write the document if the key still has this store revision.
    Write(ids::Revision, Box<catalogue::Document>),
    /// Wait for a retry delay, then read the document.
    ReadLater,
    /// The change is decided.
    Done(Result<operator::ApplyAnswer, operator::OperatorError>),
}

/// Outcome of an action, as reported by the adapter.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The document and the store's revision of the key; revision 0 if the key
    /// is absent.
    Read(ids::Revision, Option<Box<catalogue::Document>>),
    /// The read failed.
    ReadFailed,
    /// The value is not a valid document, so it must not be overwritten.
    Unreadable,
    /// The write took effect.
    Written,
    /// The write failed; the verdict says whether it may have taken effect.
    WriteFailed(Verdict),
    /// The key had a different revision.
    WriteConflict,
}

/// The catalogue that a change proposes.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposal {
    /// A new catalogue.
    Catalogue(Box<catalogue::Catalogue>),
    /// The catalogue of an earlier revision.
    Rollback(ids::Revision),
}

/// A proposed change with its author.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Catalogue revision that it was made against.
    pub base: ids::Revision,
    /// Id of the change, chosen by its author's client.
    pub id: ids::ChangeId,
    /// Name of the operator.
    pub author: String,
    /// Reason for the change.
    pub note: String,
    /// The proposed catalogue.
    pub proposal: Proposal,
}

impl From<operator::ApplyRequest> for Change {
    fn from(request: operator::ApplyRequest) -> Self {
        Self {
            base: request.base,
            id: request.change,
            author: request.author,
            note: request.note,
            proposal: Proposal::Catalogue(Box::new(request.catalogue)),
        }
    }
}

impl From<operator::RollbackRequest> for Change {
    fn from(request: operator::RollbackRequest) -> Self {
        Self {
            base: request.base,
            id: request.change,
            author: request.author,
            note: format!("rollback to revision {}", request.to),
            proposal: Proposal::Rollback(request.to),
        }
    }
}

/// A change that is being decided.
#[derive(Clone, Debug)]
pub struct Apply {
    change: Change,
    /// Wall-clock time recorded in the history.
    now_unix_ms: u64,
    /// Whether a write is in flight now.
    pending: bool,
    /// Whether the outcome of an earlier write is unknown.
    in_doubt: bool,
    /// Whether this attempt has sent a write.
    wrote: bool,
    /// Revision that the last write creates if it takes effect.
    revision: ids::Revision,
}

impl Apply {
    /// Starts applying a change; an invalid one is rejected at once.
    pub fn new(change: Change, now_unix_ms: u64) -> Result<Self, operator::OperatorError> {
        check_author_and_note(&change)?;
        if let Proposal::Catalogue(catalogue) = &change.proposal {
            refuse_problems(check::check(catalogue))?;
        }
        Ok(Self {
            change,
            now_unix_ms,
            pending: false,
            in_doubt: false,
            wrote: false,
            revision: ids::Revision(0),
        })
    }

    /// Processes an outcome and returns the next action. The first action is
    /// [`Action::Read`]; `local` is the document in force at this entry
    /// instance.
    pub fn step(&mut self, input: Input, local: &catalogue::Document) -> Action {
        self.pending = false;
        match input {
            Input::Read(store_revision, document) => {
                let document = document.map(|document| *document).unwrap_or_default();
                self.decide(store_revision, &document, local)
            }
            Input::ReadFailed => Action::ReadLater,
            Input::Unreadable => Action::Done(Err(self.unreadable())),
            Input::Written => Action::Done(Ok(operator::ApplyAnswer {
                revision: self.revision,
                repeated: false,
            })),
            Input::WriteFailed(verdict) => {
                self.in_doubt |= verdict != Verdict::NotRun;
                Action::ReadLater
            }
            // The conflicting write may be an earlier one of this same change.
            Input::WriteConflict => Action::Read,
        }
    }

    /// Returns the error to report at the deadline, even while a write is in
    /// flight.
    pub fn deadline_error(&self) -> operator::OperatorError {
        let id = self.change.id;
        let (kind, message) = match self.in_doubt || self.pending {
            true => (
                operator::ErrorKind::Unknown,
                format!(
                    "change {id} may have been accepted: the store did not answer in time; \
                     ask again with the same change id, it counts once"
                ),
            ),
            false => (
                operator::ErrorKind::Unavailable,
                format!("change {id} was not accepted: the store is away; ask again later"),
            ),
        };
        operator::OperatorError {
            kind,
            message,
            retry_after_ms: Some(RETRY_AFTER_MS),
        }
    }

    fn decide(
        &mut self,
        store_revision: ids::Revision,
        stored: &catalogue::Document,
        local: &catalogue::Document,
    ) -> Action {
        // The local document may be ahead of a store that was restored to an
        // older state.
        let latest = history::merge(stored, local);
        if let Some(record) = history::find_change(&latest, self.change.id) {
            return Action::Done(self.accepted_before(record, &latest));
        }
        // The catalogue has a newer revision without this change: a write with an
        // unknown outcome lost its race.
        if latest.accepted.revision != self.change.base {
            return Action::Done(Err(self.conflict(&latest)));
        }
        match self.proposed_catalogue(&latest) {
            Ok(catalogue) => self.write(store_revision, &latest, catalogue),
            Err(error) => Action::Done(Err(error)),
        }
    }

    fn write(
        &mut self,
        store_revision: ids::Revision,
        latest: &catalogue::Document,
        catalogue: catalogue::Catalogue,
    ) -> Action {
        self.revision = latest.accepted.revision.next();
        self.wrote = true;
        self.pending = true;
        let line = operator::HistoryLine {
            revision: self.revision,
            change: self.change.id,
            author: self.change.author.clone(),
            note: self.change.note.clone(),
            accepted_unix_ms: self.now_unix_ms,
        };
        let document = history::append(latest, line, catalogue);
        Action::Write(store_revision, Box::new(document))
    }

    fn proposed_catalogue(
        &self,
        latest: &catalogue::Document,
    ) -> Result<catalogue::Catalogue, operator::OperatorError> {
        match &self.change.proposal {
            Proposal::Catalogue(catalogue) => Ok((**catalogue).clone()),
            Proposal::Rollback(to) => {
                let earlier = history::at(latest, *to).ok_or_else(|| not_retained(*to, latest))?;
                refuse_problems(check::check(&earlier.catalogue))?;
                Ok(earlier.catalogue)
            }
        }
    }

    fn accepted_before(
        &self,
        record: &catalogue::Record,
        latest: &catalogue::Document,
    ) -> Result<operator::ApplyAnswer, operator::OperatorError> {
        let revision = record.line.revision;
        if let Proposal::Catalogue(proposed) = &self.change.proposal
            && let Some(accepted) = history::at(latest, revision)
            && accepted.catalogue != **proposed
        {
            return Err(operator::OperatorError::new(
                operator::ErrorKind::Invalid,
                format!(
                    "change: id {} already stands for another catalogue, that of revision \
                     {revision}; use a new id for each change",
                    self.change.id
                ),
            ));
        }
        Ok(operator::ApplyAnswer {
            revision,
            repeated: !self.wrote,
        })
    }

    fn unreadable(&self) -> operator::OperatorError {
        operator::OperatorError::new(
            operator::ErrorKind::Unavailable,
            format!(
                "change {} was not accepted: the store's key {} holds no catalogue document, \
                 perhaps that of a newer version; it is not written over",
                self.change.id,
                catalogue::KEY
            ),
        )
    }

    fn conflict(&self, latest: &catalogue::Document) -> operator::OperatorError {
        let Change { id, base, .. } = &self.change;
        let revision = latest.accepted.revision;
        let newer = |r: &&catalogue::Record| r.line.revision > *base;
        let winner = match latest.history.iter().find(newer) {
            Some(record) => {
                let line = &record.line;
                format!(
                    "change {} by {} made revision {} first ({:?})",
                    line.change, line.author, line.revision, line.note
                )
            }
            None => format!("revision {base} is not the newest one"),
        };
        operator::OperatorError::new(
            operator::ErrorKind::Conflict,
            format!(
                "change {id} by {} against revision {base} was not accepted: {winner}; look at \
                 revision {revision}, then apply again against it under a new change id",
                self.change.author
            ),
        )
    }
}

fn check_author_and_note(change: &Change) -> Result<(), operator::OperatorError> {
    let invalid = |message: String| {
        Err(operator::OperatorError::new(
            operator::ErrorKind::Invalid,
            message,
        ))
    };
    let author = change.author.len();
    if author == 0 || author > MAX_AUTHOR_LEN {
        return invalid(format!(
            "author: {author} bytes: expected 1 to {MAX_AUTHOR_LEN}"
        ));
    }
    let note = change.note.len();
    if note > MAX_NOTE_LEN {
        return invalid(format!(
            "note: {note} bytes: expected at most {MAX_NOTE_LEN}"
        ));
    }
    Ok(())
}

fn refuse_problems(problems: Vec<check::Problem>) -> Result<(), operator::OperatorError> {
    if problems.is_empty() {
        return Ok(());
    }
    let mut lines: Vec<String> = problems
        .iter()
        .take(MAX_SHOWN_PROBLEMS)
        .map(ToString::to_string)
        .collect();
    if problems.len() > lines.len() {
        lines.push(format!("and {} more", problems.len() - lines.len()));
    }
    Err(operator::OperatorError::new(
        operator::ErrorKind::Invalid,
        lines.join("\n"),
    ))
}

fn not_retained(to: ids::Revision, latest: &catalogue::Document) -> operator::OperatorError {
    let retained: Vec<String> = latest
        .history
        .iter()
        .filter(|record| record.catalogue.is_some())
        .map(|record| record.line.revision.to_string())
        .collect();
    operator::OperatorError::new(
        operator::ErrorKind::NotFound,
        format!(
            "the catalogue of revision {to} is not kept; kept are {} and the newest, {}",
            retained.join(", "),
            latest.accepted.revision
        ),
    )
}

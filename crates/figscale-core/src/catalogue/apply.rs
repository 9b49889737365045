//! One change on its way to being accepted.
//!
//! A change is accepted when the compare-and-swap that carries it is known to
//! have taken effect, and refused when it is known that it never can. Between
//! the two stands a lost answer. It is resolved by the change's own id: read
//! the document back; when the id is in it, the change was accepted. When it
//! is not and the key has moved on, the write lost its race for good. When the
//! key has not moved, the write may still be under way, so the same write is
//! sent again under the same condition: at most one of the two takes effect.
//!
//! [`Apply`] asks its adapter to read and write through [`Action`] and is told
//! the outcome through [`Input`]. When the adapter's time is up it asks
//! [`Apply::give_up`] for the honest answer.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;
use figscale_types::verdict::Verdict;

use super::check;
use super::history;

/// Longest author, in bytes.
pub const MAX_AUTHOR_LEN: usize = 120;
/// Longest note, in bytes.
pub const MAX_NOTE_LEN: usize = 1_000;
/// Time after which an operator asks again when the store is away.
const RETRY_AFTER_MS: u64 = 2_000;
/// Problems that a refusal names; the rest are counted.
const MAX_SHOWN_PROBLEMS: usize = 20;

/// What the adapter is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the document.
    Read,
    /// Write the document if the key still has this revision of the store.
    Write(ids::Revision, Box<catalogue::Document>),
    /// Wait a little, then read.
    ReadLater,
    /// The change is decided.
    Done(Result<operator::ApplyAnswer, operator::OperatorError>),
}

/// What the adapter found.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The document and the store's revision of the key; 0 when absent.
    Read(ids::Revision, Option<Box<catalogue::Document>>),
    /// Reading failed.
    ReadFailed,
    /// The value is no document, so nothing may be written over it.
    Unreadable,
    /// The write took effect.
    Written,
    /// The write did not get through; the verdict tells whether it may have.
    WriteFailed(Verdict),
    /// The key had another revision.
    WriteConflict,
}

/// What a change wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Want {
    /// This catalogue.
    Catalogue(Box<catalogue::Catalogue>),
    /// The catalogue of an earlier revision.
    Rollback(ids::Revision),
}

/// A change with its author.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Revision that it was made against.
    pub base: ids::Revision,
    /// Its id.
    pub id: ids::ChangeId,
    /// Who asks.
    pub author: String,
    /// Why.
    pub note: String,
    /// What it wants.
    pub want: Want,
}

impl From<operator::ApplyRequest> for Change {
    fn from(request: operator::ApplyRequest) -> Self {
        Self {
            base: request.base,
            id: request.change,
            author: request.author,
            note: request.note,
            want: Want::Catalogue(Box::new(request.catalogue)),
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
            want: Want::Rollback(request.to),
        }
    }
}

/// A change that is being decided.
#[derive(Clone, Debug)]
pub struct Apply {
    change: Change,
    /// Wall-clock time that the history shows.
    now_unix_ms: u64,
    /// Whether a write is out now.
    pending: bool,
    /// Whether a write is out whose outcome nobody told.
    in_doubt: bool,
    /// Whether any write was sent by this attempt.
    wrote: bool,
    /// Revision that the last write would make.
    revision: ids::Revision,
}

impl Apply {
    /// Begins with a change, which is refused at once when it is invalid.
    pub fn new(change: Change, now_unix_ms: u64) -> Result<Self, operator::OperatorError> {
        check_words(&change)?;
        if let Want::Catalogue(catalogue) = &change.want {
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

    /// Takes an outcome and tells what to do next. The first action is
    /// [`Action::Read`]; `known` is what this entry instance has in force.
    pub fn step(&mut self, input: Input, known: &catalogue::Document) -> Action {
        self.pending = false;
        match input {
            Input::Read(store_revision, document) => {
                let document = document.map(|document| *document).unwrap_or_default();
                self.decide(store_revision, &document, known)
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
            // An earlier write of this change may be what it collides with.
            Input::WriteConflict => Action::Read,
        }
    }

    /// The answer when there is no time left, also while a write is out.
    pub fn give_up(&self) -> operator::OperatorError {
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
        known: &catalogue::Document,
    ) -> Action {
        // What is in force here may be ahead of a store that was set back.
        let latest = history::merge(stored, known);
        if let Some(record) = history::find_change(&latest, self.change.id) {
            return Action::Done(self.accepted_before(record, &latest));
        }
        // The key moved on without this change: a write in doubt lost its race.
        if latest.accepted.revision != self.change.base {
            return Action::Done(Err(self.conflict(&latest)));
        }
        match self.wanted(&latest) {
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

    fn wanted(
        &self,
        latest: &catalogue::Document,
    ) -> Result<catalogue::Catalogue, operator::OperatorError> {
        match &self.change.want {
            Want::Catalogue(catalogue) => Ok((**catalogue).clone()),
            Want::Rollback(to) => {
                let earlier = history::at(latest, *to).ok_or_else(|| not_kept(*to, latest))?;
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
        if let Want::Catalogue(wanted) = &self.change.want
            && let Some(made) = history::at(latest, revision)
            && made.catalogue != **wanted
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
        let first = |r: &&catalogue::Record| r.line.revision > *base;
        let winner = match latest.history.iter().find(first) {
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

fn check_words(change: &Change) -> Result<(), operator::OperatorError> {
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

fn not_kept(to: ids::Revision, latest: &catalogue::Document) -> operator::OperatorError {
    let kept: Vec<String> = latest
        .history
        .iter()
        .filter(|record| record.catalogue.is_some())
        .map(|record| record.line.revision.to_string())
        .collect();
    operator::OperatorError::new(
        operator::ErrorKind::NotFound,
        format!(
            "the catalogue of revision {to} is not kept; kept are {} and the newest, {}",
            kept.join(", "),
            latest.accepted.revision
        ),
    )
}

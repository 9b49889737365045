//! What one entry instance knows of the catalogue.
//!
//! A [`Book`] adopts only higher revisions, whether the store, a watch or a
//! peer brings them, so that nothing accepted ever goes back while the process
//! lives. It also notices a store that is behind what is in force, which
//! happens when the platform restores an older state, and says what to write
//! back.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;
use serde::Deserialize;
use serde::Serialize;

use super::history;

/// The newest catalogue with its line of history, as peers pass it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Newest {
    /// The catalogue.
    pub accepted: catalogue::Accepted,
    /// How it came about; `None` when there is no catalogue yet.
    pub line: Option<operator::HistoryLine>,
}

/// What became of a document that was shown to a [`Book`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It is in force now.
    Adopted,
    /// It was in force already.
    Same,
    /// It is older than what is in force, and was left alone.
    Older,
    /// It has the revision in force but was made by another change, which only
    /// a store that lost an accepted write can bring about.
    Forked,
}

/// The catalogue in force at one entry instance.
#[derive(Clone, Debug, Default)]
pub struct Book {
    document: catalogue::Document,
    known: bool,
}

impl Book {
    /// The catalogue in force with the known history.
    pub fn document(&self) -> &catalogue::Document {
        &self.document
    }

    /// Revision in force; `None` until anything was learnt, so that a process
    /// that has just started never reports a lower revision than it had before.
    pub fn revision(&self) -> Option<ids::Revision> {
        self.known.then_some(self.document.accepted.revision)
    }

    /// What to pass on to a peer.
    pub fn newest(&self) -> Newest {
        let revision = self.document.accepted.revision;
        let newest = |r: &&catalogue::Record| r.line.revision == revision;
        Newest {
            accepted: self.document.accepted.clone(),
            line: self
                .document
                .history
                .iter()
                .rev()
                .find(newest)
                .map(|r| r.line.clone()),
        }
    }

    /// Shows a document of the store; `None` when the key is absent.
    pub fn see(&mut self, document: Option<catalogue::Document>) -> Adoption {
        self.known = true;
        let document = document.unwrap_or_default();
        let adoption = self.compare(&document.accepted);
        if adoption != Adoption::Forked {
            // Older records are of use even when the catalogue is not.
            self.document = history::merge(&self.document, &document);
        }
        adoption
    }

    /// Shows what a peer passed on.
    pub fn see_newest(&mut self, newest: Newest) -> Adoption {
        let record = newest.line.map(|line| catalogue::Record {
            line,
            catalogue: None,
        });
        self.see(Some(catalogue::Document {
            accepted: newest.accepted,
            history: record.into_iter().collect(),
        }))
    }

    fn compare(&self, accepted: &catalogue::Accepted) -> Adoption {
        let mine = &self.document.accepted;
        match accepted.revision.cmp(&mine.revision) {
            std::cmp::Ordering::Greater => Adoption::Adopted,
            std::cmp::Ordering::Less => Adoption::Older,
            std::cmp::Ordering::Equal if accepted.change != mine.change => Adoption::Forked,
            std::cmp::Ordering::Equal => Adoption::Same,
        }
    }

    /// The document to write over the one that the store has, if that one is
    /// an earlier state of what is in force.
    ///
    /// The write must be conditional on the store's revision of the key, so
    /// that a late answer of the store does no harm. A store whose newest
    /// change is unknown here is left alone: that change was accepted too, and
    /// the next change is put on top of both.
    pub fn repair(&self, stored: Option<&catalogue::Document>) -> Option<catalogue::Document> {
        let stored = stored.map(|document| &document.accepted);
        let revision = stored.map_or(ids::Revision(0), |accepted| accepted.revision);
        let change = stored.and_then(|accepted| accepted.change);
        let behind = revision < self.document.accepted.revision;
        let ours = change.is_none_or(|c| history::find_change(&self.document, c).is_some());
        (behind && ours).then(|| self.document.clone())
    }
}

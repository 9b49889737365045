//! The catalogue as one entry instance knows it.
//!
//! A [`LocalCatalogue`] adopts only higher revisions, whether they come from a read of
//! the store, a watch or a peer, so that the revision in force never goes back
//! while the process runs. It also detects a store that is behind the revision
//! in force, which happens when the platform restores an older state, and
//! provides the document to write back.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;
use serde::Deserialize;
use serde::Serialize;

use super::history;

/// The newest catalogue with its line of history, as peers forward it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Newest {
    /// The catalogue.
    pub accepted: catalogue::Accepted,
    /// The change that produced it; `None` when there is no catalogue yet.
    pub line: Option<operator::HistoryLine>,
}

/// Result of passing a document to a [`LocalCatalogue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It had a higher revision and is in force now.
    Adopted,
    /// It was in force already.
    Same,
    /// It is older than what is in force; the catalogue in force stays.
    Older,
    /// It has the revision in force but was made by another change. This only
    /// happens after the store has lost an accepted write.
    Forked,
}

/// The catalogue in force at one entry instance.
#[derive(Clone, Debug, Default)]
pub struct LocalCatalogue {
    document: catalogue::Document,
    initialized: bool,
}

impl LocalCatalogue {
    /// The catalogue in force, with the history known so far.
    pub fn document(&self) -> &catalogue::Document {
        &self.document
    }

    /// Revision in force; `None` until the first read of the store or the
    /// first update from a peer, so that a process that has just started never
    /// reports a lower revision than before its restart.
    pub fn revision(&self) -> Option<ids::Revision> {
        self.initialized.then_some(self.document.accepted.revision)
    }

    /// The newest catalogue, to be forwarded to a peer.
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

    /// Processes a document read from the store; `None` when the key is absent.
    pub fn observe(&mut self, document: Option<catalogue::Document>) -> Adoption {
        self.initialized = true;
        let document = document.unwrap_or_default();
        let adoption = self.compare(&document.accepted);
        if adoption != Adoption::Forked {
            // The history records are used even if the catalogue is older.
            self.document = history::merge(&self.document, &document);
        }
        adoption
    }

    /// Processes what a peer forwarded.
    pub fn observe_newest(&mut self, newest: Newest) -> Adoption {
        let record = newest.line.map(|line| catalogue::Record {
            line,
            catalogue: None,
        });
        self.observe(Some(catalogue::Document {
            accepted: newest.accepted,
            history: record.into_iter().collect(),
        }))
    }

    fn compare(&self, accepted: &catalogue::Accepted) -> Adoption {
        let in_force = &self.document.accepted;
        match accepted.revision.cmp(&in_force.revision) {
            std::cmp::Ordering::Greater => Adoption::Adopted,
            std::cmp::Ordering::Less => Adoption::Older,
            std::cmp::Ordering::Equal if accepted.change != in_force.change => Adoption::Forked,
            std::cmp::Ordering::Equal => Adoption::Same,
        }
    }

    /// The document to overwrite the stored one with, if the stored one is an
    /// earlier state of what is in force.
    ///
    /// The write must be conditional on the store's revision of the key, so
    /// that it cannot overwrite a newer document if the read was outdated. A
    /// stored document whose newest change is unknown here is left unchanged:
    /// that change was accepted too, and the next change builds on both.
    pub fn repair(&self, stored: Option<&catalogue::Document>) -> Option<catalogue::Document> {
        let stored = stored.map(|document| &document.accepted);
        let revision = stored.map_or(ids::Revision(0), |accepted| accepted.revision);
        let change = stored.and_then(|accepted| accepted.change);
        let behind = revision < self.document.accepted.revision;
        let is_ancestor = change.is_none_or(|c| history::find_change(&self.document, c).is_some());
        (behind && is_ancestor).then(|| self.document.clone())
    }
}

//! The state of the catalogue service and what it reads from the store.
//!
//! A catalogue that arrives by any path ends in [`Service::record_stored`],
//! [`Service::offer_newest`] or [`Service::adopt_written`]. These let
//! [`local_catalogue::LocalCatalogue`] decide whether to adopt it, and publish what it adopts.

use std::cell;
use std::fmt;
use std::rc;
use std::sync;
use std::time;

use figscale_core::catalogue::history;
use figscale_core::catalogue::local_catalogue;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;

use crate::events::catalogue as events;
use crate::state;
use crate::store;

/// Pause after a failed call to the store, before jitter.
pub(super) const RETRY_MS: u64 = 500;
/// Longest wait for the store where a request can be answered without it.
const REFRESH_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Most changes decided concurrently; each may take several megabytes.
const MAX_CONCURRENT_CHANGES: usize = 16;

/// How a catalogue reached this entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The first read, or a read for a request of an operator.
    Read,
    /// The watch on the key in the store.
    Watch,
    /// The poll of the store.
    Poll,
    /// A peer.
    Peer,
    /// A change accepted through this entry instance.
    Apply,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "read",
            Self::Watch => "watch",
            Self::Poll => "poll",
            Self::Peer => "peer",
            Self::Apply => "apply",
        })
    }
}

/// The result of a read of the key in the store.
pub(super) struct Stored {
    /// The store's revision of the key; 0 when absent.
    pub(super) revision: ids::Revision,
    /// The document; `None` when absent or unreadable.
    pub(super) document: Option<catalogue::Document>,
}

impl Stored {
    /// Whether the key holds a value that is not a document.
    pub(super) fn is_unreadable(&self) -> bool {
        self.document.is_none() && self.revision != ids::Revision(0)
    }
}

/// The state of the service.
pub(super) struct Service {
    pub(super) context: state::Context,
    local_catalogue: cell::RefCell<local_catalogue::LocalCatalogue>,
    /// The store's revision of the key as last read.
    store_revision: cell::Cell<ids::Revision>,
    store_unavailable: cell::Cell<bool>,
    /// Limits the changes that are decided concurrently.
    pub(super) change_permits: tokio::sync::Semaphore,
}

impl Service {
    /// Creates the service; no catalogue is known yet.
    pub(super) fn new(context: state::Context) -> Self {
        Self {
            context,
            local_catalogue: cell::RefCell::default(),
            store_revision: cell::Cell::default(),
            store_unavailable: cell::Cell::new(false),
            change_permits: tokio::sync::Semaphore::new(MAX_CONCURRENT_CHANGES),
        }
    }

    /// The revision in force; `None` while none is known.
    pub(super) fn revision(&self) -> Option<ids::Revision> {
        self.local_catalogue.borrow().revision()
    }

    /// The store's revision of the key as last read.
    pub(super) fn store_revision(&self) -> ids::Revision {
        self.store_revision.get()
    }

    /// The catalogue in force, in the form in which it is sent to a peer.
    pub(super) fn newest(&self) -> local_catalogue::Newest {
        self.local_catalogue.borrow().newest()
    }

    /// Calls `decide` with the document in force.
    pub(super) fn with_document<R>(&self, decide: impl FnOnce(&catalogue::Document) -> R) -> R {
        decide(self.local_catalogue.borrow().document())
    }

    /// The catalogue in force.
    pub(super) fn in_force(
        &self,
    ) -> Result<sync::Arc<catalogue::Accepted>, operator::OperatorError> {
        match self.revision() {
            Some(_) => Ok(self.context.shared.catalogue_now()),
            None => Err(no_catalogue_error()),
        }
    }

    /// The accepted changes, newest first.
    pub(super) fn history(&self) -> Vec<operator::HistoryLine> {
        let local_catalogue = self.local_catalogue.borrow();
        let records = local_catalogue.document().history.iter().rev();
        records.map(|record| record.line.clone()).collect()
    }

    /// The catalogue of an earlier revision.
    pub(super) fn at(
        &self,
        revision: ids::Revision,
    ) -> Result<catalogue::Accepted, operator::OperatorError> {
        let local_catalogue = self.local_catalogue.borrow();
        history::at(local_catalogue.document(), revision).ok_or_else(|| {
            operator::OperatorError::new(
                operator::ErrorKind::NotFound,
                format!(
                    "the catalogue of revision {revision} is not kept; the newest is {}",
                    local_catalogue.document().accepted.revision
                ),
            )
        })
    }

    /// Reads the store, so that a request of an operator right after a change at
    /// another entry instance sees that change.
    ///
    /// An unavailable store is an error only while no catalogue is known.
    pub(super) async fn refreshed(self: &rc::Rc<Self>) -> Result<(), operator::OperatorError> {
        let read = tokio::time::timeout(REFRESH_TIMEOUT, self.read(Source::Read)).await;
        match read {
            Ok(Ok(_)) => Ok(()),
            _ if self.revision().is_some() => Ok(()),
            _ => Err(no_catalogue_error()),
        }
    }

    /// Reads the document from the store and offers it for adoption.
    pub(super) async fn read(
        self: &rc::Rc<Self>,
        source: Source,
    ) -> Result<Stored, store::StoreError> {
        let found = self.context.store.get(catalogue::KEY).await;
        self.record_store_result(&found);
        Ok(self.record_stored(found?, source))
    }

    /// Whether the last call to the store failed.
    pub(super) fn is_store_unavailable(&self) -> bool {
        self.store_unavailable.get()
    }

    /// Records whether the store is available, and logs when it becomes
    /// unavailable.
    pub(super) fn record_store_result<T>(&self, result: &Result<T, store::StoreError>) {
        let was_unavailable = self.store_unavailable.replace(result.is_err());
        if let Err(error) = result
            && !was_unavailable
        {
            crate::event!(events::CATALOGUE_STORE_AWAY, error = error);
        }
    }

    /// Records the value of the key in the store and offers it for adoption.
    pub(super) fn record_stored(
        self: &rc::Rc<Self>,
        found: Option<store::Versioned>,
        source: Source,
    ) -> Stored {
        let stored = decode(found);
        self.store_revision.set(stored.revision);
        if !stored.is_unreadable() {
            self.offer_document(stored.document.clone(), source);
        }
        stored
    }

    fn offer_document(self: &rc::Rc<Self>, document: Option<catalogue::Document>, source: Source) {
        let repair = self.local_catalogue.borrow().repair(document.as_ref());
        let adoption = self.local_catalogue.borrow_mut().observe(document);
        self.apply_adoption(adoption, source);
        if let Some(repair) = repair {
            tokio::task::spawn_local(write_back(self.clone(), self.store_revision.get(), repair));
        }
    }

    /// Offers a catalogue received from a peer for adoption.
    pub(super) fn offer_newest(self: &rc::Rc<Self>, newest: local_catalogue::Newest) {
        let adoption = self.local_catalogue.borrow_mut().observe_newest(newest);
        self.apply_adoption(adoption, Source::Peer);
    }

    /// Adopts a document whose write is known to have taken effect.
    pub(super) fn adopt_written(self: &rc::Rc<Self>, document: catalogue::Document) {
        let adoption = self.local_catalogue.borrow_mut().observe(Some(document));
        self.apply_adoption(adoption, Source::Apply);
    }

    fn apply_adoption(self: &rc::Rc<Self>, adoption: local_catalogue::Adoption, source: Source) {
        let revision = self.local_catalogue.borrow().document().accepted.revision;
        match adoption {
            local_catalogue::Adoption::Same => {}
            local_catalogue::Adoption::Adopted => {
                self.publish();
                crate::event!(
                    events::CATALOGUE_IN_FORCE,
                    revision = revision,
                    source = source
                );
            }
            local_catalogue::Adoption::Older if source == Source::Peer => {}
            local_catalogue::Adoption::Older => {
                crate::event!(
                    events::CATALOGUE_OLDER_IGNORED,
                    in_force = revision,
                    source = source
                );
            }
            local_catalogue::Adoption::Forked => {
                crate::event!(
                    events::CATALOGUE_FORKED,
                    revision = revision,
                    source = source
                );
            }
        }
    }

    fn publish(&self) {
        let accepted = self.local_catalogue.borrow().document().accepted.clone();
        self.context.metrics.catalogue_adopted(accepted.revision);
        self.context
            .shared
            .catalogue
            .send_replace(sync::Arc::new(accepted));
    }
}

fn no_catalogue_error() -> operator::OperatorError {
    operator::OperatorError {
        kind: operator::ErrorKind::Unavailable,
        message: "no catalogue is known here yet: the store has not answered".to_owned(),
        retry_after_ms: Some(RETRY_MS),
    }
}

fn decode(found: Option<store::Versioned>) -> Stored {
    let Some(versioned) = found else {
        return Stored {
            revision: ids::Revision(0),
            document: None,
        };
    };
    let document = match history::decode(&versioned.value) {
        Ok(document) => Some(document),
        Err(error) => {
            crate::event!(events::CATALOGUE_UNREADABLE, error = error);
            None
        }
    };
    Stored {
        revision: versioned.revision,
        document,
    }
}

/// Writes the document in force over an older one in the store.
///
/// The write is conditional on the store's revision of the key, so a decision
/// based on an outdated read does no harm.
async fn write_back(service: rc::Rc<Service>, over: ids::Revision, document: catalogue::Document) {
    let Ok(value) = history::encode(&document) else {
        return;
    };
    let written = service
        .context
        .store
        .put(catalogue::KEY, over, value, None)
        .await;
    if let Ok(revision) = written {
        service.store_revision.set(revision);
        crate::event!(
            events::CATALOGUE_REPAIRED,
            revision = document.accepted.revision
        );
    }
}

//! Propagation of the catalogue to this entry instance, and the calls between
//! peers for it.
//!
//! A catalogue propagates by three paths:
//!
//! 1. Watch: a long poll of the key in the store.
//! 2. Peers: after each adoption, the revision is compared with every other
//!    member of the claims. A peer that is behind is sent the catalogue; one
//!    that is ahead is asked for it. The catalogue itself is sent only when
//!    it is needed.
//! 3. Polls: the revision of the key in the store is listed periodically, and
//!    the revision in force is compared with one random peer, or with all peers
//!    while the store is unavailable. Polls find changes that the other paths
//!    missed, and are rare enough to cost little.

use std::net;
use std::rc;
use std::time;

use figscale_core::catalogue::local_catalogue;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;
use indexmap::IndexMap;
use rand::RngExt as _;
use serde::Deserialize;
use serde::Serialize;

use super::service;

/// Timeout of a call to a peer.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// A call to the catalogue service of a peer.
#[derive(Debug, Serialize, Deserialize)]
pub enum Question {
    /// Return the revision in force. Carries the revision of the sender.
    Revision(Option<ids::Revision>),
    /// Adopt this catalogue if it is newer.
    Take(Box<local_catalogue::Newest>),
    /// Return the catalogue in force.
    Give,
}

/// The answer to a [`Question`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Answer {
    /// The revision in force; `None` while none is known.
    Revision(Option<ids::Revision>),
    /// The catalogue in force.
    Newest(Box<local_catalogue::Newest>),
}

/// Answers a call of a peer.
pub(super) fn answer(service: &rc::Rc<service::Service>, question: Question) -> Answer {
    match question {
        Question::Revision(_) => Answer::Revision(service.revision()),
        Question::Take(newest) => {
            service.offer_newest(*newest);
            Answer::Revision(service.revision())
        }
        Question::Give => Answer::Newest(Box::new(service.newest())),
    }
}

/// Watches the key of the catalogue in the store, after a first read.
pub(super) async fn watch(service: rc::Rc<service::Service>) {
    let wait = time::Duration::from_millis(service.context.settings.catalogue.watch_ms);
    let mut known = false;
    loop {
        let result = match known {
            true => watch_once(&service, wait).await,
            false => service.read(service::Source::Read).await.map(|_| ()),
        };
        match result {
            Ok(()) => known = true,
            Err(_) => sleep_jittered(service::RETRY_MS).await,
        }
    }
}

async fn watch_once(
    service: &rc::Rc<service::Service>,
    wait: time::Duration,
) -> Result<(), crate::store::StoreError> {
    let after = service.store_revision();
    let began = service.context.clock.now();
    let store = &service.context.store;
    let seen = store.watch(catalogue::KEY, after, wait).await;
    service.record_store_result(&seen);
    if let Some(versioned) = seen? {
        service.record_stored(Some(versioned), service::Source::Watch);
    } else if service.context.clock.now() < began + wait / 2 {
        // Returned long before the wait was over, so the key was deleted.
        service.read(service::Source::Watch).await?;
        sleep_jittered(service::RETRY_MS).await;
    }
    Ok(())
}

/// Polls the revision of the key in the store, and reads the key if the revision
/// differs from the one last read.
pub(super) async fn poll_store(service: rc::Rc<service::Service>) {
    let every_ms = service.context.settings.catalogue.poll_ms;
    loop {
        sleep_jittered(every_ms).await;
        let listed = service.context.store.keys(catalogue::KEY).await;
        service.record_store_result(&listed);
        let Ok(list) = listed else {
            continue;
        };
        let line = list.keys.iter().find(|line| line.key == catalogue::KEY);
        let revision = line.map_or(ids::Revision(0), |line| line.revision);
        if revision != service.store_revision() || service.revision().is_none() {
            let _ = service.read(service::Source::Poll).await;
        }
    }
}

/// Periodically compares revisions with a random peer, or with all peers while
/// the store is unavailable and they are the only source.
pub(super) async fn poll_peers(service: rc::Rc<service::Service>) {
    let every_ms = service.context.settings.catalogue.poll_ms;
    loop {
        sleep_jittered(every_ms).await;
        if service.is_store_unavailable() {
            exchange_with_peers(&service);
            continue;
        }
        let peers = peers(&service);
        if !peers.is_empty() {
            let at = rand::rng().random_range(0..peers.len());
            exchange(&service, peers[at]).await;
        }
    }
}

/// Compares revisions with all peers after each adoption here.
pub(super) async fn announce_adoptions(service: rc::Rc<service::Service>) {
    let mut adopted = service.context.shared.catalogue.subscribe();
    while adopted.changed().await.is_ok() {
        exchange_with_peers(&service);
    }
}

/// Compares revisions with every peer, without waiting for the results.
fn exchange_with_peers(service: &rc::Rc<service::Service>) {
    for address in peers(service).into_values() {
        let service = service.clone();
        tokio::task::spawn_local(async move { exchange(&service, address).await });
    }
}

/// Compares revisions with a peer; whichever side is behind gets the newer
/// catalogue.
async fn exchange(service: &rc::Rc<service::Service>, peer: net::SocketAddr) {
    let mine = service.revision();
    let Some(theirs) = query_revision(service, peer).await else {
        return;
    };
    if theirs < mine {
        let newest = Question::Take(Box::new(service.newest()));
        let _ = call_peer(service, peer, &newest).await;
    } else if theirs > mine
        && let Some(Answer::Newest(newest)) = call_peer(service, peer, &Question::Give).await
    {
        service.offer_newest(*newest);
    }
}

/// Returns the revision in force at each member; `None` for a member that did
/// not answer or knows no catalogue.
pub(super) async fn status(service: &rc::Rc<service::Service>) -> operator::CatalogueStatus {
    let me = service.context.me().id;
    let asked = peers(service).into_iter().map(|(id, address)| async move {
        let revision = query_revision(service, address).await.flatten();
        (id, revision)
    });
    let mut in_force: IndexMap<_, _> = futures_util::future::join_all(asked)
        .await
        .into_iter()
        .collect();
    in_force.insert(me, service.revision());
    in_force.sort_keys();
    let highest = in_force.values().flatten().max();
    operator::CatalogueStatus {
        revision: highest.copied().unwrap_or_default(),
        in_force,
    }
}

async fn query_revision(
    service: &rc::Rc<service::Service>,
    peer: net::SocketAddr,
) -> Option<Option<ids::Revision>> {
    let question = Question::Revision(service.revision());
    match call_peer(service, peer, &question).await? {
        Answer::Revision(revision) => Some(revision),
        Answer::Newest(_) => None,
    }
}

/// Calls a peer; `None` if it did not answer. The next poll makes up for it.
async fn call_peer(
    service: &rc::Rc<service::Service>,
    peer: net::SocketAddr,
    question: &Question,
) -> Option<Answer> {
    let peers = &service.context.peers;
    peers
        .call(peer, super::NAME, question, PEER_TIMEOUT)
        .await
        .ok()
}

/// The peer addresses of the other members of the claims.
fn peers(service: &service::Service) -> IndexMap<ids::MemberId, net::SocketAddr> {
    let view = service.context.shared.claims_now();
    let others = view
        .claims
        .members
        .iter()
        .filter(|(id, _)| **id != view.me.id);
    others
        .map(|(id, member)| (id.clone(), member.peer_address))
        .collect()
}

/// Sleeps for this time with a jitter of 25 %, so that entry instances do not
/// synchronize.
async fn sleep_jittered(about_ms: u64) {
    let jittered = rand::rng().random_range(about_ms * 3 / 4..=about_ms * 5 / 4);
    tokio::time::sleep(time::Duration::from_millis(jittered)).await;
}

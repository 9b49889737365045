//! The three ways by which a catalogue reaches this entry instance, and what
//! peers ask each other.
//!
//! 1. The watch: one waiting call on the store's key.
//! 2. Peers: after each adoption, the revision is told to every member of the
//!    claims; whoever is behind gets the catalogue, whoever is ahead is asked
//!    for it. The catalogue itself travels only when it is wanted.
//! 3. Polls: the revision of the store's key is listed now and then, and a peer
//!    is told the revision in force; all peers are while the store is away.
//!    They find what the others lost, and are rare enough to cost little.

use std::net;
use std::rc;
use std::time;

use figscale_core::catalogue::book;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;
use indexmap::IndexMap;
use rand::RngExt as _;
use serde::Deserialize;
use serde::Serialize;

use super::service;

/// Time to wait for a peer.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// What a peer asks.
#[derive(Debug, Serialize, Deserialize)]
pub enum Question {
    /// Which revision is in force? The asker's own goes along.
    Revision(Option<ids::Revision>),
    /// Take this catalogue if it is newer.
    Take(Box<book::Newest>),
    /// Give me yours.
    Give,
}

/// What a peer answers.
#[derive(Debug, Serialize, Deserialize)]
pub enum Answer {
    /// The revision in force; `None` when nothing was learnt yet.
    Revision(Option<ids::Revision>),
    /// The catalogue in force.
    Newest(Box<book::Newest>),
}

/// Answers a peer.
pub(super) fn answer(service: &rc::Rc<service::Service>, question: Question) -> Answer {
    match question {
        Question::Revision(_) => Answer::Revision(service.revision()),
        Question::Take(newest) => {
            service.see_newest(*newest);
            Answer::Revision(service.revision())
        }
        Question::Give => Answer::Newest(Box::new(service.newest())),
    }
}

/// Watches the store's key.
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
            Err(_) => pause(service::RETRY_MS).await,
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
    service.note_store(&seen);
    if let Some(versioned) = seen? {
        service.see(Some(versioned), service::Source::Watch);
    } else if service.context.clock.now() < began + wait / 2 {
        // Not the end of its time, so the key was deleted.
        service.read(service::Source::Watch).await?;
        pause(service::RETRY_MS).await;
    }
    Ok(())
}

/// Lists the revision of the store's key now and then, and reads it when it is
/// another than the one last read.
pub(super) async fn poll_store(service: rc::Rc<service::Service>) {
    let every_ms = service.context.settings.catalogue.poll_ms;
    loop {
        pause(every_ms).await;
        let listed = service.context.store.keys(catalogue::KEY).await;
        service.note_store(&listed);
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

/// Compares revisions with one peer now and then, and with all of them while
/// the store is away and they are the only source.
pub(super) async fn poll_peers(service: rc::Rc<service::Service>) {
    let every_ms = service.context.settings.catalogue.poll_ms;
    loop {
        pause(every_ms).await;
        if service.is_store_away() {
            tell_peers(&service);
            continue;
        }
        let peers = peers(&service);
        if !peers.is_empty() {
            let at = rand::rng().random_range(0..peers.len());
            exchange(&service, peers[at]).await;
        }
    }
}

/// Tells peers of each catalogue that comes into force here.
pub(super) async fn tell_adopted(service: rc::Rc<service::Service>) {
    let mut adopted = service.context.shared.catalogue.subscribe();
    while adopted.changed().await.is_ok() {
        tell_peers(&service);
    }
}

/// Tells the revision in force to every peer, without waiting for them.
fn tell_peers(service: &rc::Rc<service::Service>) {
    for address in peers(service).into_values() {
        let service = service.clone();
        tokio::task::spawn_local(async move { exchange(&service, address).await });
    }
}

/// Compares revisions with a peer; the newer catalogue goes to the other side.
async fn exchange(service: &rc::Rc<service::Service>, peer: net::SocketAddr) {
    let mine = service.revision();
    let Some(theirs) = ask_revision(service, peer).await else {
        return;
    };
    if theirs < mine {
        let newest = Question::Take(Box::new(service.newest()));
        let _ = ask(service, peer, &newest).await;
    } else if theirs > mine
        && let Some(Answer::Newest(newest)) = ask(service, peer, &Question::Give).await
    {
        service.see_newest(*newest);
    }
}

/// Revision in force at each member; `None` where it did not answer or knows none.
pub(super) async fn status(service: &rc::Rc<service::Service>) -> operator::CatalogueStatus {
    let me = service.context.me().id;
    let asked = peers(service).into_iter().map(|(id, address)| async move {
        let revision = ask_revision(service, address).await.flatten();
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

async fn ask_revision(
    service: &rc::Rc<service::Service>,
    peer: net::SocketAddr,
) -> Option<Option<ids::Revision>> {
    let question = Question::Revision(service.revision());
    match ask(service, peer, &question).await? {
        Answer::Revision(revision) => Some(revision),
        Answer::Newest(_) => None,
    }
}

/// Asks a peer; `None` when it did not answer, which the next poll makes good.
async fn ask(
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

/// The other members of the claims by name.
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

/// Waits for this time, give or take a quarter, so that entry instances do not
/// fall into step.
async fn pause(about_ms: u64) {
    let jittered = rand::rng().random_range(about_ms * 3 / 4..=about_ms * 5 / 4);
    tokio::time::sleep(time::Duration::from_millis(jittered)).await;
}

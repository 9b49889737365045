//! Exchange of free-slot counts with the other entry instances.
//!
//! Counts are pushed on change, at a bounded rate, and are also repeated at an
//! interval without change, so that a peer from which none are received can be
//! taken as unresponsive.

use std::net;
use std::sync;
use std::time;

use figscale_core::request::usage_table;
use figscale_types::ids;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use super::Traffic;
use crate::peer;

/// Name of the service that peers call.
const SERVICE: &str = "slots";
/// Time-out of a push to a peer.
const TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The slot counts of a holder, by service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Push {
    counts: IndexMap<ids::ServiceName, usage_table::Counts>,
}

/// Registers the handler of the counts that peers push.
pub(super) fn register(traffic: &sync::Arc<Traffic>, handlers: &mut peer::Handlers) {
    let traffic = traffic.clone();
    handlers.on_call(SERVICE, move |from, push: Push| {
        let traffic = traffic.clone();
        async move {
            let now = traffic.now();
            traffic
                .decide()
                .usage_table
                .record_counts(&from, &push.counts, now);
            Ok(())
        }
    });
}

impl Traffic {
    fn current_push(&self) -> Push {
        if !self.has_authority() || self.is_leaving() {
            return Push::default();
        }
        let now = self.now();
        let counts = self.decide().dispatcher.counts(now);
        Push { counts }
    }

    fn others(&self) -> Vec<net::SocketAddr> {
        let view = self.context.shared.claims_now();
        let others = (view.claims.members.iter()).filter(|(id, _)| **id != view.me.id);
        others.map(|(_, member)| member.peer_address).collect()
    }
}

/// Pushes counts until the process ends, with one task for each peer.
pub(super) async fn keep_pushing(traffic: sync::Arc<Traffic>) {
    let min_interval = time::Duration::from_millis(traffic.settings().push_ms);
    let refresh = time::Duration::from_millis(traffic.settings().refresh_ms);
    let latest = watch::Sender::new(Push::default());
    let mut tasks = IndexMap::<net::SocketAddr, tokio::task::JoinHandle<()>>::new();
    loop {
        let _ = tokio::time::timeout(refresh, traffic.changed.notified()).await;
        let push = traffic.current_push();
        latest.send_if_modified(|last| {
            let modified = *last != push;
            *last = push;
            modified
        });
        let others = traffic.others();
        tasks.retain(|address, task| {
            let stays = others.contains(address);
            if !stays {
                task.abort();
            }
            stays
        });
        for address in others {
            tasks.entry(address).or_insert_with(|| {
                tokio::spawn(push_to(traffic.clone(), address, latest.subscribe()))
            });
        }
        tokio::time::sleep(min_interval).await;
    }
}

/// Pushes the latest counts to one peer, on change and at the refresh interval.
///
/// A peer that did not answer for a while gets the then current counts, not those
/// that it missed.
async fn push_to(
    traffic: sync::Arc<Traffic>,
    address: net::SocketAddr,
    mut latest: watch::Receiver<Push>,
) {
    let refresh = time::Duration::from_millis(traffic.settings().refresh_ms);
    loop {
        let push = latest.borrow_and_update().clone();
        let peers = &traffic.context.peers;
        let _: Result<(), _> = peers.call(address, SERVICE, &push, TIMEOUT).await;
        if let Ok(Err(_)) = tokio::time::timeout(refresh, latest.changed()).await {
            return;
        }
    }
}

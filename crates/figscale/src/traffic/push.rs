//! Free-slot counts to and from the other entry instances.
//!
//! Pushed on change, at a bounded rate, and again after a while without change,
//! so that silence means something.

use std::net;
use std::sync;
use std::time;

use figscale_core::request::board;
use figscale_types::ids;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use super::Traffic;
use crate::peer;

/// Name of the service towards peers.
const CALL: &str = "slots";
/// Time to wait for a peer to take a push.
const TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// What a holder says of its slots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Push {
    counts: IndexMap<ids::ServiceName, board::Counts>,
}

/// Takes in what others push.
pub(super) fn register(traffic: &sync::Arc<Traffic>, handlers: &mut peer::Handlers) {
    let traffic = traffic.clone();
    handlers.on_call(CALL, move |from, push: Push| {
        let traffic = traffic.clone();
        async move {
            let now = traffic.now();
            traffic.decide().board.hear(&from, &push.counts, now);
            Ok(())
        }
    });
}

impl Traffic {
    fn push_now(&self) -> Push {
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

/// Pushes counts until the process ends, from a task for each peer.
pub(super) async fn keep_pushing(traffic: sync::Arc<Traffic>) {
    let shortest = time::Duration::from_millis(traffic.settings().push_ms);
    let refresh = time::Duration::from_millis(traffic.settings().refresh_ms);
    let latest = watch::Sender::new(Push::default());
    let mut tasks = IndexMap::<net::SocketAddr, tokio::task::JoinHandle<()>>::new();
    loop {
        let _ = tokio::time::timeout(refresh, traffic.changed.notified()).await;
        let push = traffic.push_now();
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
        tokio::time::sleep(shortest).await;
    }
}

/// Pushes the latest counts to one peer, on change and after a while without.
///
/// A peer that does not answer gets the counts of the moment once it does.
async fn push_to(
    traffic: sync::Arc<Traffic>,
    address: net::SocketAddr,
    mut latest: watch::Receiver<Push>,
) {
    let refresh = time::Duration::from_millis(traffic.settings().refresh_ms);
    loop {
        let push = latest.borrow_and_update().clone();
        let peers = &traffic.context.peers;
        let _: Result<(), _> = peers.call(address, CALL, &push, TIMEOUT).await;
        if let Ok(Err(_)) = tokio::time::timeout(refresh, latest.changed()).await {
            return;
        }
    }
}

//! Free-slot counts to and from the other entry instances.
//!
//! Pushed on change, at a bounded rate, and again after a while without change,
//! so that silence means something. A peer that has not answered the last push
//! gets no other until it has.

use std::net;
use std::sync;
use std::time;

use figscale_core::request::board;
use figscale_types::ids;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::Traffic;
use crate::peer;

/// Name of the service towards peers.
const CALL: &str = "slots";
/// Time to wait for a peer to take a push.
const TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

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

/// Pushes counts until the process ends.
pub(super) async fn keep_pushing(traffic: sync::Arc<Traffic>) {
    let shortest = time::Duration::from_millis(traffic.settings().push_ms);
    let refresh = time::Duration::from_millis(traffic.settings().refresh_ms);
    let mut last = Push::default();
    let mut refreshed = tokio::time::Instant::now();
    let mut links = IndexMap::<net::SocketAddr, tokio::task::JoinHandle<()>>::new();
    loop {
        let _ = tokio::time::timeout(refresh, traffic.changed.notified()).await;
        let push = traffic.push_now();
        if push != last || refreshed.elapsed() >= refresh {
            send_all(&traffic, &push, &mut links);
            last = push;
            refreshed = tokio::time::Instant::now();
        }
        tokio::time::sleep(shortest).await;
    }
}

fn send_all(
    traffic: &sync::Arc<Traffic>,
    push: &Push,
    links: &mut IndexMap<net::SocketAddr, tokio::task::JoinHandle<()>>,
) {
    let others = traffic.others();
    links.retain(|address, _| others.contains(address));
    for address in others {
        if links.get(&address).is_some_and(|task| !task.is_finished()) {
            continue;
        }
        let traffic = traffic.clone();
        let push = push.clone();
        let task = tokio::spawn(async move {
            let peers = &traffic.context.peers;
            let _: Result<(), _> = peers.call(address, CALL, &push, TIMEOUT).await;
        });
        links.insert(address, task);
    }
}

//! Hands over the memory of request ids to the next home.
//!
//! A process that releases a shard of request ids cleanly retains its memory
//! until the claims name a holder under the epoch that follows, and sends the
//! memory there. Under any later epoch another process was the home in between,
//! and the memory is dropped. If a memory is lost in transit, the new home
//! refuses fresh ids for a short time, as after the crash of a home; no id is
//! accepted twice.

use std::sync;
use std::time;

use figscale_types::ids;

use super::Traffic;
use super::homes;
use crate::peer;
use crate::state;

/// Name of the service that peers call.
const SERVICE: &str = "once-memory";
/// Time-out of one call to the next home.
const TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Time between two tries of a handover.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Where a released memory has to be sent.
enum NextHome {
    /// The claims show no later epoch of the shard yet.
    Unknown,
    /// This process holds it again.
    Local,
    /// Another member holds it.
    Peer(std::net::SocketAddr),
    /// Another process was the home in between, or the holder is gone: the memory
    /// is dropped.
    Discard,
}

fn next_home(view: &state::ClaimsView, handover: &homes::Handover) -> NextHome {
    let Some(shard) = view.claims.shards.get(&handover.shard) else {
        return NextHome::Discard;
    };
    if shard.epoch <= handover.given_up {
        return NextHome::Unknown;
    }
    if shard.epoch != handover.given_up.next() {
        return NextHome::Discard;
    }
    match view.holder(&handover.shard) {
        Some((holder, _)) if *holder == view.me => NextHome::Local,
        Some((_, member)) => NextHome::Peer(member.peer_address),
        None => NextHome::Discard,
    }
}

/// Creates homes and hands over memories on each change of the claims, and
/// retries until all are done.
pub(super) async fn keep_handing_over(traffic: sync::Arc<Traffic>) {
    let mut claims = traffic.context.shared.claims.subscribe();
    loop {
        let waiting = hand_over_all(&traffic).await + traffic.open_homes();
        if waiting == 0 {
            if claims.changed().await.is_err() {
                return;
            }
            continue;
        }
        let _ = tokio::time::timeout(RETRY_INTERVAL, claims.changed()).await;
    }
}

/// Tries to hand over every released memory; returns how many remain.
async fn hand_over_all(traffic: &sync::Arc<Traffic>) -> usize {
    let handovers = traffic.homes.outgoing().into_iter();
    futures_util::future::join_all(handovers.map(|handover| hand_over(traffic, handover))).await;
    traffic.homes.outgoing().len()
}

async fn hand_over(traffic: &sync::Arc<Traffic>, handover: homes::Handover) {
    let next = next_home(&traffic.context.shared.claims_now(), &handover);
    let done = match next {
        NextHome::Unknown => false,
        NextHome::Discard => true,
        NextHome::Local => {
            traffic.homes.receive(handover.clone());
            true
        }
        NextHome::Peer(address) => {
            let peers = &traffic.context.peers;
            let sent = peers
                .call::<_, ()>(address, SERVICE, &handover, TIMEOUT)
                .await;
            sent.is_ok()
        }
    };
    if done {
        traffic.homes.remove_outgoing(&handover);
    }
}

/// Waits until every released memory has been handed over or dropped.
pub(super) async fn wait_until_handed_over(traffic: &Traffic) {
    while !traffic.homes.outgoing().is_empty() {
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Receives the memories that other entry instances hand over.
pub(super) fn register(traffic: &sync::Arc<Traffic>, handlers: &mut peer::Handlers) {
    let traffic = traffic.clone();
    handlers.on_call(
        SERVICE,
        move |_from: ids::MemberKey, handover: homes::Handover| {
            traffic.homes.receive(handover);
            async { Ok(()) }
        },
    );
}

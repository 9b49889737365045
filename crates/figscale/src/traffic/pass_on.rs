//! Passes the memory of request ids on to the next home.
//!
//! A home that is given up in order keeps its memory until the claims name the
//! next holder under the very next epoch, and sends it there. Under any other
//! epoch somebody else was the home in between, and the memory is dropped. A
//! memory that is lost on the way costs the refusal of fresh ids for a short
//! while, as after a home that died; it never lets an id through twice.

use std::sync;
use std::time;

use figscale_types::ids;

use super::Traffic;
use super::homes;
use crate::peer;
use crate::state;

/// Name of the service towards peers.
const CALL: &str = "once-memory";
/// Time to wait for one answer.
const TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Time between two tries.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// Where a memory that was given up belongs.
enum Next {
    /// Nobody holds the shard under a later epoch yet.
    Unknown,
    /// This process holds it again.
    Here,
    /// Another member holds it.
    There(std::net::SocketAddr),
    /// Somebody else was the home in between, or the holder is gone.
    Nowhere,
}

fn next_home(view: &state::ClaimsView, passed: &homes::Passed) -> Next {
    let Some(shard) = view.claims.shards.get(&passed.shard) else {
        return Next::Nowhere;
    };
    if shard.epoch <= passed.given_up {
        return Next::Unknown;
    }
    if shard.epoch != passed.given_up.next() {
        return Next::Nowhere;
    }
    match view.holder(&passed.shard) {
        Some((holder, _)) if *holder == view.me => Next::Here,
        Some((_, member)) => Next::There(member.peer_address),
        None => Next::Nowhere,
    }
}

/// Opens homes and sends memories on their way with each change of the claims,
/// and again until they have arrived.
pub(super) async fn keep_passing(traffic: sync::Arc<Traffic>) {
    let mut claims = traffic.context.shared.claims.subscribe();
    loop {
        let waiting = pass_all(&traffic).await + traffic.open_homes();
        if waiting == 0 {
            if claims.changed().await.is_err() {
                return;
            }
            continue;
        }
        let _ = tokio::time::timeout(PAUSE, claims.changed()).await;
    }
}

/// Sends what can be sent; returns how many memories are still here.
async fn pass_all(traffic: &sync::Arc<Traffic>) -> usize {
    let passes = traffic.homes.leaving().into_iter();
    futures_util::future::join_all(passes.map(|passed| pass(traffic, passed))).await;
    traffic.homes.leaving().len()
}

async fn pass(traffic: &sync::Arc<Traffic>, passed: homes::Passed) {
    let next = next_home(&traffic.context.shared.claims_now(), &passed);
    let done = match next {
        Next::Unknown => false,
        Next::Nowhere => true,
        Next::Here => {
            traffic.homes.arrive(passed.clone());
            true
        }
        Next::There(address) => {
            let peers = &traffic.context.peers;
            let sent = peers.call::<_, ()>(address, CALL, &passed, TIMEOUT).await;
            sent.is_ok()
        }
    };
    if done {
        traffic.homes.forget_leaving(&passed);
    }
}

/// Waits until no memory is left here.
pub(super) async fn passed_on(traffic: &Traffic) {
    while !traffic.homes.leaving().is_empty() {
        tokio::time::sleep(PAUSE).await;
    }
}

/// Takes in the memories that other entry instances pass on.
pub(super) fn register(traffic: &sync::Arc<Traffic>, handlers: &mut peer::Handlers) {
    let traffic = traffic.clone();
    handlers.on_call(CALL, move |_from: ids::MemberKey, passed: homes::Passed| {
        traffic.homes.arrive(passed);
        async { Ok(()) }
    });
}

//! Renews the leader's lease at the store, and replaces it when it has expired.

use std::time;

use figscale_platform::store;
use tokio::sync::mpsc;

use super::Message;
use crate::fleet::Context;

/// Number of renewals of the leader's lease within its duration.
const RENEWALS_PER_LEASE: u32 = 4;

/// Renews the lease until the term is over, and sends the term a message for each
/// lease that has expired or was granted.
pub(super) async fn renew(
    context: Context,
    first: store::LeaseId,
    messages: mpsc::Sender<Message>,
) {
    let pause = time::Duration::from_millis(context.fleet.leader_lease_ms) / RENEWALS_PER_LEASE;
    let mut lease = first;
    loop {
        tokio::time::sleep(pause).await;
        match context.store.renew(lease).await {
            Ok(true) | Err(_) => continue,
            Ok(false) => (),
        }
        if messages.send(Message::LeaseEnded).await.is_err() {
            return;
        }
        let ttl = time::Duration::from_millis(context.fleet.leader_lease_ms);
        if let Ok(granted) = context.store.grant(ttl).await {
            lease = granted;
            if messages.send(Message::LeaseGranted(granted)).await.is_err() {
                return;
            }
        }
    }
}

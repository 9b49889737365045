//! The workers' entries in the store, read again and again.

use std::time;

use figscale_platform::store;
use figscale_platform::workers;
use figscale_types::fleet;
use indexmap::IndexMap;

use crate::events;
use crate::fleet::Context;
use crate::fleet::message;
use crate::fleet::message::Message;

/// Time between reads of the workers' entries. A worker that leaves must get
/// nothing new 2 s after it said so.
const LIST_PAUSE: time::Duration = time::Duration::from_millis(600);
/// Unreadable entries remembered, so that each is told of once.
const MAX_INVALID: usize = 1_000;

/// Reads the workers' entries again and again for a term.
///
/// Every worker writes its entry each heartbeat, so a watch would return as
/// often as all workers together write: some thirty calls a second for fifty
/// workers, where this makes fewer than two.
pub(crate) async fn follow(context: Context, messages: message::Messages) {
    let mut invalid = IndexMap::new();
    loop {
        let begun = context.clock.now();
        if let Ok(listing) = context.store.list(workers::PREFIX).await {
            let items = listing.items.iter();
            let entries = items.filter_map(|item| entry(item, &mut invalid)).collect();
            let _ = messages.send(Message::Listing { entries, begun }).await;
        }
        tokio::time::sleep(LIST_PAUSE).await;
    }
}

/// The worker that an entry stands for, if it does; each unreadable entry is told
/// of once, by the revision that it was last told of with.
fn entry(item: &store::Item, invalid: &mut IndexMap<String, u64>) -> Option<fleet::WorkerEntry> {
    let error = match workers::decode_entry(item) {
        Ok(entry) => return Some(entry),
        Err(error) => error,
    };
    if invalid.len() >= MAX_INVALID {
        invalid.clear();
    }
    if invalid.insert(item.key.clone(), item.revision) != Some(item.revision) {
        crate::event!(events::fleet::RECORD_INVALID, key = item.key, error = error);
    }
    None
}

//! Polls the workers' entries in the store.

use std::time;

use figscale_platform::store;
use figscale_platform::workers;
use figscale_types::fleet;
use indexmap::IndexMap;

use crate::events;
use crate::fleet::Context;
use crate::fleet::message;
use crate::fleet::message::Message;

/// Time between reads of the workers' entries. A worker must get no new work later
/// than 2 s after its entry says that it leaves.
const POLL_PAUSE: time::Duration = time::Duration::from_millis(600);
/// Most unreadable entries that are logged, each once for each revision, until they are
/// gone.
const MAX_REPORTED_INVALID: usize = 1_000;

/// Polls the workers' entries during a term.
///
/// Every worker writes its entry at each heartbeat, so a watch would return as
/// often as all workers together write: some thirty calls per second for fifty
/// workers, while polling makes fewer than two.
pub(crate) async fn follow(context: Context, messages: message::Messages) {
    let mut reported_invalid: IndexMap<String, u64> = IndexMap::new();
    let mut failing = false;
    loop {
        let begun = context.clock.now();
        let listed = context.store.list(workers::PREFIX).await;
        match &listed {
            Ok(listing) => {
                reported_invalid.retain(|key, _| listing.contains(key));
                let decoded = workers::decode_entries(&listing.items).into_iter();
                let entries = decoded
                    .filter_map(|(item, entry)| readable_or_log(item, entry, &mut reported_invalid))
                    .collect();
                let _ = messages.send(Message::Listing { entries, begun }).await;
            }
            Err(error) if !failing => {
                crate::event!(events::fleet::WORKERS_NOT_LISTED, error = error);
            }
            Err(_) => (),
        }
        failing = listed.is_err();
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

/// The entry if it could be decoded; otherwise it is logged once per revision, unless too
/// many are.
fn readable_or_log(
    item: &store::Item,
    decoded: workers::DecodedEntry,
    reported_invalid: &mut IndexMap<String, u64>,
) -> Option<fleet::WorkerEntry> {
    let error = match decoded {
        Ok(entry) => return Some(entry),
        Err(error) => error,
    };
    let known = reported_invalid.get(&item.key);
    if known.is_none() && reported_invalid.len() >= MAX_REPORTED_INVALID {
        return None;
    }
    if reported_invalid.insert(item.key.clone(), item.revision) != Some(item.revision) {
        crate::event!(events::fleet::RECORD_INVALID, key = item.key, error = error);
    }
    None
}

//! Follows the operators' configuration.
//!
//! A watch brings a new version within milliseconds. It is asked again every
//! second, since a connection can go silent and only the missing answer shows
//! it; after any doubt the document is read whole. A version never goes back.

use std::sync;
use std::time;

use figscale_platform::config;
use figscale_platform::store;

use super::Context;
use crate::events;

/// How long one watch waits. A change must be in force within 2 s of the
/// operators' write, and a silent connection costs one wait and a timeout.
const WATCH_WAIT: time::Duration = time::Duration::from_millis(700);
/// Pause after a failed read.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Starts following.
pub(super) fn start(context: &Context) {
    let context = context.clone();
    tokio::spawn(async move {
        loop {
            let see = |item: Option<&store::Item>| {
                if let Some(item) = item {
                    adopt(&context, item);
                }
            };
            let followed = context.store.follow_key(config::KEY, WATCH_WAIT, see).await;
            // The reason is logged where the store is called.
            if followed.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    });
}

fn adopt(context: &Context, item: &store::Item) {
    let table = match config::decode(&item.value) {
        Ok(table) => table,
        Err(error) => {
            crate::event!(
                events::fleet::CONFIG_INVALID,
                revision = item.revision,
                error = error
            );
            return;
        }
    };
    let known = context.queues.borrow().version;
    if table.version <= known {
        return;
    }
    crate::event!(
        events::fleet::CONFIG_IN_FORCE,
        version = table.version,
        before = known,
        revision = item.revision,
        queues = table.queues.len()
    );
    context.queues.send_replace(sync::Arc::new(table));
}

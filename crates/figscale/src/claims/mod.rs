//! The claims service: membership, heartbeats, and which shards this process holds.
//!
//! The entry instances that are *members* divide the shards of the cell among
//! them. The claims document in the store names the *holder* of each shard and
//! the *epoch* of its claim, which grows with each change of holder. A process
//! may use its shards only while it has *authority*: by a valid lease in the
//! store or, while the store is unavailable, by promises of its *witnesses* not
//! to help evict it. Its witnesses are the members that it listed in the
//! document; `figscale_core::claims` has the rules.
//!
//! The state machine in `figscale_core::claims` makes the decisions. This
//! module feeds it ticks, results from the store and calls of peers, executes
//! its actions, and publishes [`crate::state::ClaimsView`] and the authority.
//! It runs on the control thread. Calls to the store and to peers are tasks of
//! their own, each of which produces at most one input.

mod calls;
mod driver;
mod dump;
mod publish;

use figscale_types::claims;
use figscale_types::ids;

use crate::kernel;
use crate::peer;
use crate::state;

/// Name of the service.
pub const NAME: &str = "claims";
/// Key of the claims document in the store.
pub const DOCUMENT_KEY: &str = "claims";
/// Prefix of the keys that are bound to members' leases.
pub const MEMBER_PREFIX: &str = "member/";

/// A request to the service.
enum Message {
    /// A call of a peer.
    Peer {
        from: ids::MemberKey,
        question: claims::WitnessRequest,
        reply: kernel::Reply<claims::WitnessResponse>,
    },
    /// Release all shards and leave; answered once that is done.
    Leave(kernel::Reply<()>),
    /// Return the state for diagnostics.
    Dump(kernel::Reply<serde_json::Value>),
}

/// Registers the service and its handler for calls of peers, and runs it on
/// the control thread.
pub fn start(context: &state::Context, handlers: &mut peer::Handlers) {
    let inbox = context.kernel.register::<Message>(NAME);
    let Ok(address) = context.kernel.find::<Message>(NAME) else {
        return;
    };
    register_peer_handler(address.clone(), handlers);
    register_dumps(context, address);
    tokio::task::spawn_local(driver::run(context.clone(), inbox));
}

fn register_peer_handler(address: kernel::Address<Message>, handlers: &mut peer::Handlers) {
    handlers.on_call(NAME, move |from, question: claims::WitnessRequest| {
        let address = address.clone();
        async move {
            let answer = address
                .call(|reply| Message::Peer {
                    from,
                    question,
                    reply,
                })
                .await?;
            Ok(answer)
        }
    });
}

fn register_dumps(context: &state::Context, address: kernel::Address<Message>) {
    context.kernel.register_dump(NAME, move || {
        let address = address.clone();
        Box::pin(async move {
            let dump = address.call(Message::Dump).await;
            dump.unwrap_or_else(|error| error.to_string().into())
        })
    });
    let store = context.store.clone();
    context.kernel.register_dump("store", move || {
        let counts = serde_json::to_value(store.counts());
        Box::pin(async move { counts.unwrap_or_default() })
    });
}

/// Drains and releases all shards, then leaves. The caller sets a time limit.
pub async fn leave(context: &state::Context) {
    if let Ok(address) = context.kernel.find::<Message>(NAME) {
        let _ = address.call(Message::Leave).await;
    }
}

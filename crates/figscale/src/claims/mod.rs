//! The claims service: membership, heartbeat, and which shards this process holds.
//!
//! The decisions are the machine in `figscale_core::claims`; this module gives
//! it time, the store's answers and peers' questions, carries out its actions
//! and publishes [`crate::state::ClaimsView`] and the authority. It runs on
//! the control thread. Calls to the store and to peers are tasks of their own,
//! each of which ends in exactly one input.

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
/// Prefix of the keys that stand under members' leases.
pub const MEMBER_PREFIX: &str = "member/";

/// What the service is asked.
enum Message {
    /// A peer asks.
    Peer {
        from: ids::MemberKey,
        question: claims::PeerQuestion,
        reply: kernel::Reply<claims::PeerAnswer>,
    },
    /// Leave, and answer once that is done.
    Leave(kernel::Reply<()>),
    /// Show the state.
    Dump(kernel::Reply<serde_json::Value>),
}

/// Registers the service and what it answers to peers, then runs it on the
/// control thread.
pub fn start(context: &state::Context, handlers: &mut peer::Handlers) {
    let inbox = context.kernel.register::<Message>(NAME);
    let Ok(address) = context.kernel.find::<Message>(NAME) else {
        return;
    };
    answer_peers(address.clone(), handlers);
    offer_dumps(context, address);
    tokio::task::spawn_local(driver::run(context.clone(), inbox));
}

fn answer_peers(address: kernel::Address<Message>, handlers: &mut peer::Handlers) {
    handlers.on_call(NAME, move |from, question: claims::PeerQuestion| {
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

fn offer_dumps(context: &state::Context, address: kernel::Address<Message>) {
    context.kernel.offer_dump(NAME, move || {
        let address = address.clone();
        Box::pin(async move {
            let dump = address.call(Message::Dump).await;
            dump.unwrap_or_else(|error| error.to_string().into())
        })
    });
    let store = context.store.clone();
    context.kernel.offer_dump("store", move || {
        let counts = serde_json::to_value(store.counts());
        Box::pin(async move { counts.unwrap_or_default() })
    });
}

/// Gives up all shards in order and leaves; bounded by the caller.
pub async fn leave(context: &state::Context) {
    if let Ok(address) = context.kernel.find::<Message>(NAME) {
        let _ = address.call(Message::Leave).await;
    }
}

//! The catalogue service: accepts operators' changes and brings them into force.
//!
//! Publishes the accepted catalogue to [`crate::state::Shared`]. A change is
//! accepted by a compare-and-swap in the store (`apply`) and reaches the
//! other entry instances by three paths, each of which is sufficient alone
//! (`propagation`): a watch on the key in the store, an exchange with peers after
//! each adoption, and periodic polls of the store and of one peer at a time.
//! All of them end in `service`, which adopts higher revisions only.
//!
//! The service runs on the control thread as local tasks that share one
//! `service::Service`; no borrow of its cells is held across an `await`.

mod apply;
pub mod propagation;
mod service;

use std::rc;
use std::sync;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;

use crate::kernel;
use crate::peer;
use crate::state;

/// Name of the service.
pub const NAME: &str = "catalogue";

/// A request to the service.
pub enum Message {
    /// Accept a new catalogue.
    Apply(
        Box<operator::ApplyRequest>,
        kernel::Reply<Result<operator::ApplyAnswer, operator::OperatorError>>,
    ),
    /// Accept an earlier catalogue again.
    Rollback(
        operator::RollbackRequest,
        kernel::Reply<Result<operator::ApplyAnswer, operator::OperatorError>>,
    ),
    /// Return the catalogue in force here. An error until one is known: a
    /// restarted process must not report a lower revision than before.
    InForce(kernel::Reply<Result<sync::Arc<catalogue::Accepted>, operator::OperatorError>>),
    /// Return the accepted changes, newest first.
    History(kernel::Reply<Result<Vec<operator::HistoryLine>, operator::OperatorError>>),
    /// Return the catalogue of an earlier revision.
    At(
        ids::Revision,
        kernel::Reply<Result<catalogue::Accepted, operator::OperatorError>>,
    ),
    /// Return the revision in force at each entry instance.
    Status(kernel::Reply<operator::CatalogueStatus>),
    /// A call of a peer.
    Peer(propagation::Question, kernel::Reply<propagation::Answer>),
}

/// Registers the service and its handler for calls of peers, and runs it on
/// the control thread.
pub fn start(context: &state::Context, handlers: &mut peer::Handlers) {
    let inbox = context.kernel.register::<Message>(NAME);
    let kernel = context.kernel.clone();
    handlers.on_call(NAME, move |_from, question| {
        let address = kernel.find::<Message>(NAME);
        async move {
            let answer = address?
                .call(|reply| Message::Peer(question, reply))
                .await?;
            Ok(answer)
        }
    });
    let service = rc::Rc::new(service::Service::new(context.clone()));
    tokio::task::spawn_local(propagation::watch(service.clone()));
    tokio::task::spawn_local(propagation::announce_adoptions(service.clone()));
    tokio::task::spawn_local(propagation::poll_store(service.clone()));
    tokio::task::spawn_local(propagation::poll_peers(service.clone()));
    tokio::task::spawn_local(answer_all(service, inbox));
    register_dump(context);
}

fn register_dump(context: &state::Context) {
    let shared = context.shared.clone();
    context.kernel.register_dump(NAME, move || {
        let accepted = shared.catalogue_now();
        Box::pin(async move {
            serde_json::json!({
                "revision": accepted.revision,
                "change": accepted.change,
                "owners": accepted.catalogue.owners.len(),
                "entries": accepted.catalogue.entries.len(),
            })
        })
    });
}

async fn answer_all(service: rc::Rc<service::Service>, mut inbox: kernel::Inbox<Message>) {
    while let Some(message) = inbox.recv().await {
        answer(&service, message);
    }
}

/// Answers at once, or from a separate task where that needs calls to the store
/// or to peers.
fn answer(service: &rc::Rc<service::Service>, message: Message) {
    let service = service.clone();
    match message {
        Message::Apply(request, reply) => {
            let change = (*request).into();
            tokio::task::spawn_local(async move { reply.send(apply::run(&service, change).await) });
        }
        Message::Rollback(request, reply) => {
            let change = request.into();
            tokio::task::spawn_local(async move { reply.send(apply::run(&service, change).await) });
        }
        Message::InForce(reply) => reply.send(service.in_force()),
        Message::Status(reply) => {
            tokio::task::spawn_local(
                async move { reply.send(propagation::status(&service).await) },
            );
        }
        Message::History(reply) => {
            tokio::task::spawn_local(async move {
                reply.send(service.refreshed().await.map(|()| service.history()));
            });
        }
        Message::At(revision, reply) => {
            tokio::task::spawn_local(async move {
                let found = service.refreshed().await;
                reply.send(found.and_then(|()| service.at(revision)));
            });
        }
        Message::Peer(question, reply) => reply.send(propagation::answer(&service, question)),
    }
}

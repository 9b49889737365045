//! Serves requests that another entry instance forwards: the side of the holder.

use std::sync;
use std::time;

use bytes::Bytes;
use figscale_core::request::dispatcher;
use figscale_types::catalogue;
use figscale_types::clock;
use figscale_types::verdict::Verdict;
use h2::server;

use super::Traffic;
use super::answer::Answer;
use super::answer::AnswerBody;
use super::answer::Failure;
use super::answer::Fault;
use super::answer::Part;
use super::call::Call;
use super::exchange;
use super::local::Slot;
use super::wire;
use crate::peer;

/// Time in which the body has to be received once the slot is granted.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Registers the handler of requests that other entry instances forward.
pub(super) fn register(traffic: &sync::Arc<Traffic>, handlers: &mut peer::Handlers) {
    let traffic = traffic.clone();
    handlers.on_stream(wire::STREAM, move |incoming| {
        let traffic = traffic.clone();
        async move {
            let _counted = traffic.begin();
            // An error means that the stream broke: no answer can be sent.
            let _ = serve(&traffic, incoming).await;
        }
    });
}

async fn serve(traffic: &sync::Arc<Traffic>, incoming: peer::IncomingStream) -> eyre::Result<()> {
    let mut respond = incoming.respond;
    let mut reader = peer::Reader::new(incoming.body);
    let head: wire::Head = reader.frame().await?;
    let mut sender = accept(&mut respond)?;
    let Some((policy, weight)) = limits(traffic, &head) else {
        return reply(&mut sender, &refused(wire::Refused::NoHolder), true).await;
    };
    let deadline = traffic.now() + time::Duration::from_millis(head.left_ms);
    let slot = {
        let submission = |ticket| dispatcher::Submission {
            ticket,
            entry: head.entry.clone(),
            service: policy.service.clone(),
            owner: head.owner.clone(),
            weight,
            urgency: policy.urgency,
            deadline,
            idempotent: head.idempotent,
            avoid: head.avoid.clone(),
            max_queue_len: policy.max_queue_len,
            max_run: time::Duration::from_millis(policy.max_run_ms),
        };
        tokio::select! {
            slot = traffic.acquire(submission) => slot,
            // The sender no longer wants a slot.
            () = reset(&mut sender) => return Ok(()),
        }
    };
    let slot = match slot {
        Ok(slot) => slot,
        Err(refusal) => {
            refuse(&mut sender, refusal).await?;
            if head.eager {
                // Read the body that was sent along: a reset of the stream could arrive
                // before the refusal.
                let _ = tokio::time::timeout(BODY_TIMEOUT, reader.whole(head.body_bytes)).await;
            }
            return Ok(());
        }
    };
    reply(&mut sender, &wire::Reply::Granted, false).await?;
    // On an error the slot is dropped, which returns it as unused.
    let reading = body(&mut reader, &head, &policy, deadline);
    let call = tokio::time::timeout(BODY_TIMEOUT, reading).await??;
    run(traffic, slot, call, &policy, &mut sender).await
}

async fn run(
    traffic: &sync::Arc<Traffic>,
    slot: Slot,
    call: Call,
    policy: &catalogue::RequestPolicy,
    sender: &mut h2::SendStream<Bytes>,
) -> eyre::Result<()> {
    let max_run = time::Duration::from_millis(policy.max_run_ms);
    let ending = exchange::start(traffic, slot, sync::Arc::new(call), max_run);
    let result = tokio::select! {
        result = ending => result,
        () = reset(sender) => return Ok(()),
    };
    let lost = Failure {
        verdict: Verdict::MayHaveRun,
        fault: Fault::Broken,
        runner: None,
    };
    match result.unwrap_or(Err(lost)) {
        Ok(answer) => forward_answer(answer, sender).await,
        Err(failure) => reply(sender, &wire::Reply::Failed(failure), true).await,
    }
}

fn accept(respond: &mut server::SendResponse<Bytes>) -> Result<h2::SendStream<Bytes>, h2::Error> {
    respond.send_response(http::Response::new(()), false)
}

/// The limits by the catalogue of this process, which may briefly differ from
/// that of the sender.
fn limits(traffic: &Traffic, head: &wire::Head) -> Option<(catalogue::RequestPolicy, u32)> {
    let accepted = traffic.context.shared.catalogue_now();
    let entry = accepted.catalogue.entries.get(&head.entry)?;
    let owner = accepted.catalogue.owners.get(&head.owner)?;
    match &entry.policy {
        catalogue::Policy::Requests(policy) => Some((policy.clone(), owner.weight)),
        catalogue::Policy::Tasks(_) => None,
    }
}

async fn body(
    reader: &mut peer::Reader,
    head: &wire::Head,
    policy: &catalogue::RequestPolicy,
    deadline: time::Instant,
) -> eyre::Result<Call> {
    eyre::ensure!(
        head.body_bytes <= policy.max_body_bytes,
        "a body of {} bytes",
        head.body_bytes
    );
    Ok(Call {
        entry: head.entry.clone(),
        owner: head.owner.clone(),
        id: head.id,
        idempotent: head.idempotent,
        headers: wire::to_map(&head.headers),
        body: reader.whole(head.body_bytes).await?,
        deadline,
    })
}

/// Waits until the sender resets the stream, or its connection breaks.
async fn reset(sender: &mut h2::SendStream<Bytes>) {
    let _ = std::future::poll_fn(|cx| sender.poll_reset(cx)).await;
}

fn refused(refused: wire::Refused) -> wire::Reply {
    wire::Reply::Refused {
        refused,
        backlog_ms: 0,
    }
}

async fn refuse(
    sender: &mut h2::SendStream<Bytes>,
    refusal: dispatcher::Refusal,
) -> eyre::Result<()> {
    let message = wire::Reply::Refused {
        refused: wire::Refused::from(refusal.reason),
        backlog_ms: clock::millis(refusal.backlog),
    };
    reply(sender, &message, true).await
}

async fn reply(
    sender: &mut h2::SendStream<Bytes>,
    message: &wire::Reply,
    last: bool,
) -> eyre::Result<()> {
    peer::send(sender, peer::frame(message)?).await?;
    if last {
        sender.send_data(Bytes::new(), true)?;
    }
    Ok(())
}

async fn forward_answer(answer: Answer, sender: &mut h2::SendStream<Bytes>) -> eyre::Result<()> {
    let length = match &answer.body {
        AnswerBody::Whole(bytes) => Some(bytes.len() as u64),
        AnswerBody::Streamed { length, .. } => *length,
    };
    let head = wire::Reply::Answer {
        status: answer.status.as_u16(),
        headers: wire::from_map(&answer.headers),
        length,
        runner: answer.runner,
    };
    reply(sender, &head, false).await?;
    match answer.body {
        AnswerBody::Whole(bytes) => peer::send(sender, bytes).await?,
        AnswerBody::Streamed {
            first, mut rest, ..
        } => {
            peer::send(sender, first).await?;
            loop {
                match rest.recv().await {
                    Some(Part::Data(part)) => peer::send(sender, part).await?,
                    Some(Part::End) => break,
                    None => {
                        sender.send_reset(h2::Reason::INTERNAL_ERROR);
                        return Ok(());
                    }
                }
            }
        }
    }
    sender.send_data(Bytes::new(), true)?;
    Ok(())
}

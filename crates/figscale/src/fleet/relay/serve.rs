//! The relay's side of a stream: makes the calls that a leader orders.

use std::sync;
use std::time;

use bytes::Bytes;
use figscale_platform::workers;
use tokio::sync::mpsc;

use super::orders;
use crate::fleet::Context;
use crate::fleet::workers::CALL_TIMEOUT;
use crate::peer;

/// Largest number of answers queued for a stream.
const MAX_ANSWERS: usize = 1_024;
/// How long an answer that is not urgent waits for others to share its batch. An
/// urgent answer, such as a report of an ended task or the answer to a start, is
/// sent at once with all that are queued.
const BATCH_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Registers the handler that relays calls for leaders.
pub(in crate::fleet) fn start(context: &Context, handlers: &mut peer::Handlers) {
    let calls = workers::Workers::new(context.client.clone(), CALL_TIMEOUT);
    handlers.on_stream(super::STREAM, move |incoming| {
        let calls = calls.clone();
        async move {
            // A leader whose stream breaks makes its calls directly.
            let _ = serve(calls, incoming).await;
        }
    });
}

async fn serve(calls: workers::Workers, incoming: peer::IncomingStream) -> eyre::Result<()> {
    let mut respond = incoming.respond;
    let sender = respond.send_response(http::Response::new(()), false)?;
    let mut reader = peer::Reader::new(incoming.body);
    let (answers, answered) = mpsc::channel(MAX_ANSWERS);
    tokio::spawn(send_answers(sender, answered));
    let calls = sync::Arc::new(calls);
    loop {
        let batch: orders::Batch = reader.frame().await?;
        for (number, order) in batch.unpack() {
            let (calls, answers) = (calls.clone(), answers.clone());
            tokio::spawn(async move {
                let answer = make(&calls, order).await;
                // The receiver is gone once the stream has broken.
                let _ = answers.send((number, answer)).await;
            });
        }
    }
}

async fn make(calls: &workers::Workers, order: orders::Order) -> orders::Answer {
    let worker = &order.worker;
    match order.call {
        orders::Call::Report(request) => {
            orders::Answer::Report(calls.report(worker, request).await)
        }
        orders::Call::Start { epoch, order } => {
            orders::Answer::Start(calls.start(worker, epoch, &order).await)
        }
    }
}

async fn send_answers(
    mut sender: h2::SendStream<Bytes>,
    mut answered: mpsc::Receiver<(u64, orders::Answer)>,
) -> eyre::Result<()> {
    while let Some(first) = answered.recv().await {
        let mut urgent = first.1.is_urgent();
        let mut answers: orders::Answers = vec![first];
        let pause = tokio::time::sleep(BATCH_PAUSE);
        tokio::pin!(pause);
        while !urgent {
            tokio::select! {
                Some(answer) = answered.recv() => {
                    urgent = answer.1.is_urgent();
                    answers.push(answer);
                }
                () = &mut pause => break,
            }
        }
        while let Ok(answer) = answered.try_recv() {
            answers.push(answer);
        }
        peer::send(&mut sender, peer::frame(&answers)?).await?;
    }
    sender.send_data(Bytes::new(), true)?;
    Ok(())
}

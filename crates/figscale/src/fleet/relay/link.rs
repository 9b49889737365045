//! The leader's stream to one relay.
//!
//! Orders that are queued at the same time are sent in one batch. The first order
//! opens the stream. When the stream breaks, all pending orders fail at once, so
//! that their callers call the workers directly, and the next order opens another
//! stream. A stream that carries nothing while several answers are overdue may be
//! silent for good, so it is broken off and its connection is replaced.

use std::future;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::mutex;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::orders;
use crate::events;
use crate::fleet::Context;
use crate::peer;

/// Largest number of orders queued for a stream; further calls are made directly.
const MAX_QUEUED: usize = 1_024;
/// A stream that carries nothing for a shorter time than this, while several answers
/// are overdue, counts as responsive.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(500);
/// Largest number of orders in one batch.
const MAX_BATCH: usize = 128;

/// Senders for the answers that are still pending, by the number of the order.
type PendingAnswers = sync::Mutex<IndexMap<u64, oneshot::Sender<orders::Answer>>>;

/// A queued order, with the sender for its answer.
struct Queued {
    order: orders::Order,
    answer: oneshot::Sender<orders::Answer>,
}

/// The leader's connection to one relay.
pub(in crate::fleet) struct Link {
    member: ids::MemberId,
    address: net::SocketAddr,
    clock: clock::SharedClock,
    orders: mpsc::Sender<Queued>,
    /// When the answer was due to the last order whose caller gave up.
    unanswered: watch::Sender<Option<time::Instant>>,
    table: super::SharedTable,
}

impl Link {
    pub(super) fn new(
        context: &Context,
        member: &ids::MemberId,
        address: net::SocketAddr,
        table: &super::SharedTable,
    ) -> Self {
        let (orders, queue) = mpsc::channel(MAX_QUEUED);
        let (unanswered, overdue) = watch::channel(None);
        let streams = Streams {
            peers: context.peers.clone(),
            clock: context.clock.clone(),
            address,
            unanswered: overdue,
        };
        tokio::spawn(streams.forward(queue));
        Self {
            member: member.clone(),
            address,
            clock: context.clock.clone(),
            orders,
            unanswered,
            table: table.clone(),
        }
    }

    pub(super) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sends an order to the relay. It was not sent if the queue is full, and may have
    /// been executed if the stream broke.
    pub(in crate::fleet) async fn call(
        &self,
        order: orders::Order,
    ) -> Result<orders::Answer, Verdict> {
        let due_at = self.clock.now() + order.call.wait();
        let (answer, answered) = oneshot::channel();
        let queued = Queued { order, answer };
        let sent = self.orders.try_send(queued);
        sent.map_err(|_| Verdict::NotRun)?;
        let mut wait = Wait {
            link: self,
            due_at,
            ended: false,
        };
        let answer = answered.await;
        wait.ended = true;
        answer.map_err(|_| Verdict::MayHaveRun)
    }

    /// Ejects the relay, which did not answer, or later than a direct call.
    pub(in crate::fleet) fn eject(&self, now: time::Instant) {
        mutex::lock(&self.table).eject(&self.member, now);
    }
}

/// A caller that waits for the answer to an order.
struct Wait<'a> {
    link: &'a Link,
    due_at: time::Instant,
    ended: bool,
}

impl Drop for Wait<'_> {
    /// Reports an order whose caller gave up after its answer was due.
    fn drop(&mut self) {
        if !self.ended && self.link.clock.now() > self.due_at {
            self.link.unanswered.send_replace(Some(self.due_at));
        }
    }
}

/// The streams to one relay, one after the other.
struct Streams {
    peers: sync::Arc<peer::Peers>,
    clock: clock::SharedClock,
    address: net::SocketAddr,
    unanswered: watch::Receiver<Option<time::Instant>>,
}

impl Streams {
    /// Forwards orders until the link is dropped.
    async fn forward(mut self, mut queue: mpsc::Receiver<Queued>) {
        while let Some(first) = queue.recv().await {
            if let Err(error) = self.forward_on_one_stream(first, &mut queue).await {
                crate::event!(
                    events::fleet::RELAY_LOST,
                    address = self.address,
                    error = format_args!("{error:#}")
                );
            }
        }
    }

    async fn forward_on_one_stream(
        &mut self,
        first: Queued,
        queue: &mut mpsc::Receiver<Queued>,
    ) -> eyre::Result<()> {
        let stream = self.peers.open_stream(self.address, super::STREAM).await?;
        crate::event!(events::fleet::RELAY_USED, address = self.address);
        let connection = stream.connection;
        let pending = PendingAnswers::default();
        let recorder = ResponseRecorder {
            connection: connection.clone(),
            clock: self.clock.clone(),
        };
        let opened_at = self.clock.now();
        let ended = tokio::select! {
            // Answers that wait to be read show that the stream is not silent.
            biased;
            read = read(stream.response, &pending, recorder) => read,
            sent = send_orders(stream.sender, first, queue, &pending) => sent,
            since = silent(&mut self.unanswered, &connection, opened_at) => {
                self.peers.retire_if_silent(&connection, since);
                Err(eyre::eyre!("no answer since several were due"))
            }
        };
        // Dropping the senders ends the calls that are still pending.
        mutex::lock(&pending).clear();
        ended
    }
}

/// Sends orders in batches until the link is dropped.
async fn send_orders(
    mut sender: h2::SendStream<Bytes>,
    first: Queued,
    queue: &mut mpsc::Receiver<Queued>,
    pending: &PendingAnswers,
) -> eyre::Result<()> {
    let mut number = 0;
    let mut next = Some(first);
    while let Some(queued) = next {
        if queued.answer.is_closed() {
            next = queue.recv().await;
            continue;
        }
        mutex::lock(pending).retain(|_, answer| !answer.is_closed());
        let mut batch = orders::Batch::default();
        add_to_batch(&mut batch, &mut number, queued, pending);
        while batch.len() < MAX_BATCH
            && let Ok(queued) = queue.try_recv()
        {
            add_to_batch(&mut batch, &mut number, queued, pending);
        }
        peer::send(&mut sender, peer::frame(&batch)?).await?;
        next = queue.recv().await;
    }
    Ok(())
}

/// Completes when answers have been overdue for [`MIN_SILENCE`] on a stream opened
/// at `opened_at`, and its connection has carried nothing meanwhile; returns since
/// when. One unanswered order is not enough: the relay may have lost its call.
async fn silent(
    unanswered: &mut watch::Receiver<Option<time::Instant>>,
    connection: &peer::Connection,
    opened_at: time::Instant,
) -> time::Instant {
    unanswered.mark_unchanged();
    let mut first_due: Option<time::Instant> = None;
    loop {
        if unanswered.changed().await.is_err() {
            // The link is dropped, so its queue ends.
            future::pending::<()>().await;
        }
        let due_at = *unanswered.borrow_and_update();
        let Some(due_at) = due_at.filter(|due_at| *due_at >= opened_at) else {
            continue;
        };
        let silent_since = first_due.filter(|first| connection.is_silent_since(*first));
        let first = *first_due.insert(silent_since.unwrap_or(due_at));
        if due_at >= first + MIN_SILENCE {
            return first;
        }
    }
}

fn add_to_batch(
    batch: &mut orders::Batch,
    number: &mut u64,
    queued: Queued,
    pending: &PendingAnswers,
) {
    *number += 1;
    mutex::lock(pending).insert(*number, queued.answer);
    batch.push(*number, queued.order);
}

/// Records on a connection that it carried a response.
struct ResponseRecorder {
    connection: sync::Arc<peer::Connection>,
    clock: clock::SharedClock,
}

impl ResponseRecorder {
    fn record(&self) {
        self.connection.record_response(self.clock.now());
    }
}

/// Reads answers and passes them to the pending calls, until the stream ends.
async fn read(
    answer: h2::client::ResponseFuture,
    pending: &PendingAnswers,
    recorder: ResponseRecorder,
) -> eyre::Result<()> {
    let answer = answer.await?;
    recorder.record();
    eyre::ensure!(
        answer.status().is_success(),
        "relay refused the stream: {}",
        answer.status()
    );
    let mut reader = peer::Reader::new(answer.into_body());
    loop {
        let answers: orders::Answers = reader.frame().await?;
        recorder.record();
        let mut pending = mutex::lock(pending);
        for (number, answer) in answers {
            if let Some(caller) = pending.swap_remove(&number) {
                // The receiver is gone if a direct call was answered first.
                let _ = caller.send(answer);
            }
        }
    }
}

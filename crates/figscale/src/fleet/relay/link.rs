//! The leader's stream to one relay.
//!
//! Orders that wait together go out together. The stream is opened with the
//! first one; when it breaks, whoever waits is told so at once and makes the
//! call itself, and the next order opens another stream.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use figscale_types::mutex;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::orders;
use crate::events;
use crate::fleet::Context;
use crate::peer;

/// Orders that wait for a stream at most; further calls are made directly.
const MAX_QUEUED: usize = 1_024;
/// Orders in one batch at most.
const MAX_BATCH: usize = 128;

type Waiting = sync::Arc<sync::Mutex<IndexMap<u64, oneshot::Sender<orders::Answer>>>>;

/// An order and whoever waits for its answer.
struct Queued {
    order: orders::Order,
    answer: oneshot::Sender<orders::Answer>,
}

/// The way to one relay.
pub(in crate::fleet) struct Link {
    address: net::SocketAddr,
    orders: mpsc::Sender<Queued>,
    set_aside_until: sync::Mutex<Option<time::Instant>>,
}

impl Link {
    pub(super) fn new(context: &Context, address: net::SocketAddr) -> Self {
        let (orders, queue) = mpsc::channel(MAX_QUEUED);
        tokio::spawn(carry(context.peers.clone(), address, queue));
        Self {
            address,
            orders,
            set_aside_until: sync::Mutex::default(),
        }
    }

    pub(super) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Gives an order to the relay; `None` if it brings no answer.
    pub(in crate::fleet) async fn call(&self, order: orders::Order) -> Option<orders::Answer> {
        let (answer, answered) = oneshot::channel();
        self.orders.try_send(Queued { order, answer }).ok()?;
        answered.await.ok()
    }

    /// Leaves the relay out for a moment.
    pub(in crate::fleet) fn set_aside(&self, now: time::Instant) {
        *mutex::lock(&self.set_aside_until) = Some(now + super::SET_ASIDE);
    }

    pub(super) fn is_set_aside(&self, now: time::Instant) -> bool {
        mutex::lock(&self.set_aside_until).is_some_and(|until| now < until)
    }
}

/// Carries orders until the link is dropped.
async fn carry(
    peers: sync::Arc<peer::Peers>,
    address: net::SocketAddr,
    mut queue: mpsc::Receiver<Queued>,
) {
    while let Some(first) = queue.recv().await {
        if let Err(error) = carry_on_one_stream(&peers, address, first, &mut queue).await {
            crate::event!(
                events::fleet::RELAY_LOST,
                address = address,
                error = format_args!("{error:#}")
            );
        }
    }
}

async fn carry_on_one_stream(
    peers: &peer::Peers,
    address: net::SocketAddr,
    first: Queued,
    queue: &mut mpsc::Receiver<Queued>,
) -> eyre::Result<()> {
    let (answer, mut sender) = peers.open_stream(address, super::STREAM).await?;
    crate::event!(events::fleet::RELAY_USED, address = address);
    let waiting = Waiting::default();
    let mut reading = tokio::spawn(read(answer, waiting.clone()));
    let mut number = 0;
    let mut next = Some(first);
    let ended = loop {
        let queued = match next.take() {
            Some(queued) => queued,
            None => tokio::select! {
                queued = queue.recv() => match queued {
                    Some(queued) => queued,
                    None => break Ok(()),
                },
                ended = &mut reading => break ended?,
            },
        };
        mutex::lock(&waiting).retain(|_, answer| !answer.is_closed());
        let mut batch = orders::Batch::default();
        add(&mut batch, &mut number, queued, &waiting);
        while batch.len() < MAX_BATCH
            && let Ok(queued) = queue.try_recv()
        {
            add(&mut batch, &mut number, queued, &waiting);
        }
        if let Err(error) = send(&mut sender, &batch).await {
            break Err(error);
        }
    };
    reading.abort();
    // Whoever still waits finds the other half of its channel gone.
    mutex::lock(&waiting).clear();
    ended
}

fn add(batch: &mut orders::Batch, number: &mut u64, queued: Queued, waiting: &Waiting) {
    *number += 1;
    mutex::lock(waiting).insert(*number, queued.answer);
    batch.push(*number, queued.order);
}

async fn send(sender: &mut h2::SendStream<Bytes>, batch: &orders::Batch) -> eyre::Result<()> {
    peer::send(sender, peer::frame(batch)?).await?;
    Ok(())
}

/// Hands answers to those who wait, until the stream ends.
async fn read(answer: h2::client::ResponseFuture, waiting: Waiting) -> eyre::Result<()> {
    let answer = answer.await?;
    eyre::ensure!(answer.status().is_success(), "refused: {}", answer.status());
    let mut reader = peer::Reader::new(answer.into_body());
    loop {
        let answers: orders::Answers = reader.frame().await?;
        let mut waiting = mutex::lock(&waiting);
        for (number, answer) in answers {
            if let Some(waits) = waiting.swap_remove(&number) {
                // Nobody waits any more if a direct call was answered first.
                let _ = waits.send(answer);
            }
        }
    }
}

//! Forwards a request to another holder: the side of the entry instance that
//! received it. The holder does not forward it any further.
//!
//! Dropping the future resets the stream, which notifies the holder that the
//! caller has disconnected. An attempt at a holder from which nothing has been
//! received for some time is abandoned: before the body is sent the request is
//! known not to have run, and after that an idempotent one may be retried
//! elsewhere. One that is not idempotent keeps waiting once its body is sent.
//!
//! A holder opens its response before it looks for a slot. An attempt whose response
//! does not open is abandoned, and its connection replaced if it has been silent:
//! it may never respond again, although the holder is responsive on others.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use figscale_core::request::admission;
use figscale_core::request::dispatcher;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use h2::client;
use tokio::sync::mpsc;

use super::Traffic;
use super::answer::Answer;
use super::answer::AnswerBody;
use super::answer::Failure;
use super::answer::Fault;
use super::answer::Part;
use super::call::Call;
use super::wire;
use crate::peer;

/// Parts of a streamed answer that are buffered for a slow reader.
const MAX_BUFFERED_PARTS: usize = 4;
/// Time for a holder to open its response.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Time between two checks whether the holder is responsive.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// How an attempt at a holder ended, other than by an answer.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// The holder refused it a slot.
    Refused(dispatcher::Refusal),
    /// The attempt failed.
    Failed(Failure),
    /// It was queued for a slot, and the given target has a free one.
    Moved(Target),
}

/// Where an attempt is made.
#[derive(Clone, Debug)]
pub(super) enum Target {
    /// At a runner of a shard that this process holds.
    Local,
    /// At another holder, with its availability by the counts last received.
    Peer(Holder, Availability),
    /// No process holds a runner of the service.
    Unavailable,
}

/// Whether a holder is believed to have a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// It has a free slot.
    Free,
    /// A request would be queued there.
    Busy,
}

/// A peer that holds runners of the service.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) member: ids::MemberKey,
    pub(super) address: net::SocketAddr,
}

/// An attempt at another holder.
pub(super) struct Attempt<'a> {
    pub(super) traffic: &'a sync::Arc<Traffic>,
    pub(super) holder: &'a Holder,
    pub(super) call: &'a Call,
    pub(super) avoid: Option<ids::InstanceId>,
    /// Whether the body is sent along with the head, before a slot is granted.
    pub(super) eager: bool,
}

impl Attempt<'_> {
    /// Forwards the request; `sent` is called before the body is sent.
    ///
    /// Stops waiting for a slot when `better` completes, unless the body was sent
    /// along with the head.
    pub(super) async fn run(
        self,
        sent: impl Fn(),
        better: impl Future<Output = Target>,
    ) -> Result<Answer, AttemptError> {
        let link_broke = |verdict| failed(verdict, Fault::PeerLink);
        let eager = self.eager;
        let hold_bytes = self.traffic.settings().hold_bytes;
        let before = match eager {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        };
        let stream = self.open().await?;
        let mut sender = stream.sender;
        let opening = self.open_response(stream.response, &mut sender, &sent);
        let opening = self.watch(stream.connection, opening);
        let Ok(answer) = tokio::time::timeout(HEAD_TIMEOUT, opening).await else {
            return Err(failed(before, Fault::PeerSilent));
        };
        let answer = answer?;
        if answer.status() != http::StatusCode::OK {
            return Err(link_broke(Verdict::NotRun));
        }
        let mut reader = peer::Reader::new(answer.into_body());
        let first = tokio::select! {
            first = self.wait_while_responsive(reader.frame::<wire::Reply>(), before) => first?,
            target = better, if !eager => return Err(AttemptError::Moved(target)),
        };
        match first.map_err(|_| link_broke(before))? {
            wire::Reply::Granted => {}
            other => return ended(other, reader, hold_bytes).await,
        }
        if !eager {
            sent();
            let body = self.call.body.clone();
            let body_sent = send_body(&mut sender, body).await;
            body_sent.map_err(|_| link_broke(Verdict::MayHaveRun))?;
        }
        let maybe = Verdict::MayHaveRun;
        let last = self
            .wait_while_responsive(reader.frame::<wire::Reply>(), maybe)
            .await?;
        let last = last.map_err(|_| link_broke(maybe))?;
        self.wait_while_responsive(ended(last, reader, hold_bytes), maybe)
            .await?
    }

    async fn open(&self) -> Result<peer::OpenStream, AttemptError> {
        let peers = &self.traffic.context.peers;
        let opening = peers.open_stream(self.holder.address, wire::STREAM);
        opening
            .await
            .map_err(|_| failed(Verdict::NotRun, Fault::PeerLink))
    }

    /// Sends the head, and the body if it goes along with it, until the holder opens
    /// its response.
    async fn open_response(
        &self,
        response: client::ResponseFuture,
        sender: &mut h2::SendStream<Bytes>,
        sent: &impl Fn(),
    ) -> Result<http::Response<h2::RecvStream>, AttemptError> {
        let link_broke = |verdict| failed(verdict, Fault::PeerLink);
        let head = peer::frame(&self.head()).map_err(|_| link_broke(Verdict::NotRun))?;
        let head_sent = peer::send(sender, head).await;
        head_sent.map_err(|_| link_broke(Verdict::NotRun))?;
        let mut before = Verdict::NotRun;
        if self.eager {
            sent();
            before = Verdict::MayHaveRun;
            let body_sent = send_body(sender, self.call.body.clone()).await;
            body_sent.map_err(|_| link_broke(before))?;
        }
        let response = self.wait_while_responsive(response, before).await?;
        response.map_err(|_| link_broke(before))
    }

    /// Waits for the response to open; if it is abandoned before, a silent connection
    /// is replaced.
    async fn watch<T>(
        &self,
        connection: sync::Arc<peer::Connection>,
        opening: impl Future<Output = Result<T, AttemptError>>,
    ) -> Result<T, AttemptError> {
        let unopened = UnopenedResponse {
            traffic: self.traffic,
            connection,
            since: self.traffic.now(),
        };
        let opened = opening.await;
        if opened.is_ok() {
            unopened.connection.record_response(self.traffic.now());
        }
        opened
    }

    fn head(&self) -> wire::Head {
        let call = self.call;
        let left = call.deadline.saturating_duration_since(self.traffic.now());
        wire::Head {
            entry: call.entry.clone(),
            owner: call.owner.clone(),
            id: call.id,
            idempotent: call.idempotent,
            left_ms: clock::millis(left),
            avoid: self.avoid.clone(),
            headers: wire::from_map(&call.headers),
            body_bytes: call.body.len() as u64,
            eager: self.eager,
        }
    }

    /// Waits for `waited` as long as the holder is responsive.
    async fn wait_while_responsive<T>(
        &self,
        waited: impl Future<Output = T>,
        verdict: Verdict,
    ) -> Result<T, AttemptError> {
        let mut waited = std::pin::pin!(waited);
        loop {
            if let Ok(value) = tokio::time::timeout(POLL_INTERVAL, &mut waited).await {
                return Ok(value);
            }
            let now = self.traffic.now();
            let silent = self
                .traffic
                .decide()
                .usage_table
                .is_unresponsive(&self.holder.member, now);
            if silent && (verdict == Verdict::NotRun || self.call.idempotent) {
                return Err(failed(verdict, Fault::PeerSilent));
            }
        }
    }
}

/// A stream whose response has not opened; dropped when it opens or is abandoned.
struct UnopenedResponse<'a> {
    traffic: &'a Traffic,
    connection: sync::Arc<peer::Connection>,
    since: time::Instant,
}

impl Drop for UnopenedResponse<'_> {
    fn drop(&mut self) {
        // A deadline or a caller that disconnects may end an attempt before its own
        // time-out, so what counts is how long the connection has been quiet.
        let now = self.traffic.now();
        if self.connection.quiet_time(now) >= HEAD_TIMEOUT {
            let peers = &self.traffic.context.peers;
            peers.retire_if_silent(&self.connection, self.since);
        }
    }
}

fn failed(verdict: Verdict, fault: Fault) -> AttemptError {
    AttemptError::Failed(Failure {
        verdict,
        fault,
        runner: None,
    })
}

async fn send_body(sender: &mut h2::SendStream<Bytes>, body: Bytes) -> Result<(), h2::Error> {
    peer::send(sender, body).await?;
    sender.send_data(Bytes::new(), true)
}

async fn ended(
    reply: wire::Reply,
    reader: peer::Reader,
    hold_bytes: usize,
) -> Result<Answer, AttemptError> {
    match reply {
        wire::Reply::Granted => Err(failed(Verdict::MayHaveRun, Fault::PeerLink)),
        wire::Reply::Refused {
            refused,
            backlog_ms,
        } => Err(AttemptError::Refused(dispatcher::Refusal {
            reason: admission::Reason::from(refused),
            backlog: time::Duration::from_millis(backlog_ms),
        })),
        wire::Reply::Failed(failure) => Err(AttemptError::Failed(failure)),
        wire::Reply::Answer {
            status,
            headers,
            length,
            runner,
        } => {
            let status = http::StatusCode::from_u16(status);
            let status = status.map_err(|_| failed(Verdict::MayHaveRun, Fault::Broken))?;
            let body = receive(reader, length, hold_bytes).await?;
            Ok(Answer {
                status,
                headers: wire::to_map(&headers),
                body,
                runner,
            })
        }
    }
}

/// Receives a body: whole if it may be buffered, as a stream if it is larger.
async fn receive(
    mut reader: peer::Reader,
    length: Option<u64>,
    hold_bytes: usize,
) -> Result<AnswerBody, AttemptError> {
    if let Some(length) = length
        && length <= hold_bytes as u64
    {
        let bytes = reader.whole(length).await;
        let broke = |_| failed(Verdict::MayHaveRun, Fault::PeerLink);
        return Ok(AnswerBody::Whole(bytes.map_err(broke)?));
    }
    let (sender, rest) = mpsc::channel(MAX_BUFFERED_PARTS);
    tokio::spawn(copy(reader, length, sender));
    Ok(AnswerBody::Streamed {
        first: Bytes::new(),
        length,
        rest,
    })
}

/// Copies a body; sends [`Part::End`] only if all of it was received.
async fn copy(mut reader: peer::Reader, length: Option<u64>, sender: mpsc::Sender<Part>) {
    let mut copied = 0_u64;
    loop {
        match reader.raw().await {
            Ok(Some(part)) => {
                copied += part.len() as u64;
                if sender.send(Part::Data(part)).await.is_err() {
                    return;
                }
            }
            Ok(None) => break,
            Err(_) => return,
        }
    }
    if length.is_none_or(|length| length == copied) {
        let _ = sender.send(Part::End).await;
    }
}

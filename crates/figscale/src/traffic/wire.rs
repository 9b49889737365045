//! Protocol between the entry instance that received a request and the holder
//! that runs it.
//!
//! Messages are sent as frames: a length of four bytes, then `bincode`. The
//! sender begins with a [`Head`]. The holder replies [`Reply::Granted`] once the
//! request has a slot; only then does the sender send the body. Where a slot is
//! expected to be free, the small body of an idempotent request is sent along
//! with its head. This saves a round trip; in return it is unknown whether the
//! request has run if the connection breaks, which an idempotent request can
//! tolerate. The last reply is [`Reply::Refused`], [`Reply::Failed`] or
//! [`Reply::Answer`]; after an answer the rest of the stream is its body. A body
//! that is truncated resets the stream.

use figscale_core::request::admission;
use figscale_types::ids;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use serde::Deserialize;
use serde::Serialize;

use super::answer;

/// Name of the stream handler.
pub(super) const STREAM: &str = "run";

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Header {
    name: String,
    value: Vec<u8>,
}

/// Converts a header map to a list.
pub(super) fn from_map(map: &HeaderMap) -> Vec<Header> {
    map.iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Converts a list to a header map; invalid headers are left out.
pub(super) fn to_map(list: &[Header]) -> HeaderMap {
    let pairs = list.iter().filter_map(|header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&header.value).ok()?;
        Some((name, value))
    });
    pairs.collect()
}

/// The head of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    pub(super) entry: ids::EntryName,
    pub(super) owner: ids::OwnerName,
    pub(super) id: ids::RequestId,
    pub(super) idempotent: bool,
    /// Time left until the deadline, in milliseconds.
    pub(super) left_ms: u64,
    pub(super) avoid: Option<ids::InstanceId>,
    pub(super) headers: Vec<Header>,
    pub(super) body_bytes: u64,
    /// Whether the body is sent along with the head.
    pub(super) eager: bool,
}

/// Why a holder does not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Refused {
    /// The queue of the holder is full.
    QueueFull,
    /// The deadline cannot be met at this holder.
    Unreachable,
    /// The deadline passed while the request was queued.
    Expired,
    /// It holds no runner of the service, or does not know the entry.
    NoHolder,
}

impl From<admission::Reason> for Refused {
    fn from(reason: admission::Reason) -> Self {
        match reason {
            admission::Reason::QueueFull => Self::QueueFull,
            admission::Reason::Unreachable => Self::Unreachable,
            admission::Reason::Expired => Self::Expired,
            _ => Self::NoHolder,
        }
    }
}

impl From<Refused> for admission::Reason {
    fn from(refused: Refused) -> Self {
        match refused {
            Refused::QueueFull => Self::QueueFull,
            Refused::Unreachable => Self::Unreachable,
            Refused::Expired => Self::Expired,
            Refused::NoHolder => Self::NoHolder,
        }
    }
}

/// A reply of the holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Reply {
    /// The request has a slot.
    Granted,
    /// The request was refused a slot and did not run.
    Refused { refused: Refused, backlog_ms: u64 },
    /// Its attempt failed.
    Failed(answer::Failure),
    /// The runner answered; the body follows.
    Answer {
        status: u16,
        headers: Vec<Header>,
        length: Option<u64>,
        runner: ids::InstanceId,
    },
}

/// Largest body that is sent along with its head, in bytes.
pub(super) const MAX_EAGER_BYTES: usize = 256 << 10;

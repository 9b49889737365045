//! The stream between the entry instance that received a request and the
//! holder that runs it.
//!
//! Messages go as frames: a length of four bytes, then `bincode`. The sender
//! begins with a [`Head`]. The holder answers [`Reply::Granted`] once the request
//! has a slot; only then does the sender send the body. Where a slot
//! is expected to be free, the small body of an idempotent request goes along
//! with its head, which saves a round trip and is worth a doubt if the link
//! breaks. The last reply is
//! [`Reply::Refused`], [`Reply::Failed`] or [`Reply::Answer`]; after an answer
//! the rest of the stream is its body. A body that breaks resets the stream.

use figscale_core::request::admission;
use figscale_types::ids;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use serde::Deserialize;
use serde::Serialize;

use super::answer;

/// Name of the handler of streams.
pub(super) const STREAM: &str = "run";

/// A header of HTTP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Header {
    name: String,
    value: Vec<u8>,
}

/// Takes headers apart.
pub(super) fn from_map(map: &HeaderMap) -> Vec<Header> {
    map.iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Puts headers together; what is no header is left out.
pub(super) fn to_map(list: &[Header]) -> HeaderMap {
    let pairs = list.iter().filter_map(|header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&header.value).ok()?;
        Some((name, value))
    });
    pairs.collect()
}

/// What a holder needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    pub(super) entry: ids::EntryName,
    pub(super) owner: ids::OwnerName,
    pub(super) id: ids::RequestId,
    pub(super) idempotent: bool,
    /// Time left, in milliseconds.
    pub(super) left_ms: u64,
    pub(super) avoid: Option<ids::InstanceId>,
    pub(super) headers: Vec<Header>,
    pub(super) body_bytes: u64,
    /// Whether the body goes along with the head.
    pub(super) eager: bool,
}

/// Why a holder does not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Refused {
    /// Its queue is full.
    QueueFull,
    /// The deadline cannot be met here.
    Unreachable,
    /// The deadline came while it waited.
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

/// What a holder answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Reply {
    /// The request has a slot.
    Granted,
    /// It has none and did not run.
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

/// Largest body that goes along with its head.
pub(super) const MAX_EAGER_BYTES: usize = 256 << 10;

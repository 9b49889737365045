//! Bodies of requests, read within the memory of their listener.

use std::fmt;
use std::future;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::body::Body as _;
use tokio::sync::OwnedSemaphorePermit;

use super::registry;
use super::registry::Cause;
use super::registry::Connection;
use super::registry::Part;

/// Buffers up to this size count as the start of a body.
const START_BYTES: usize = 16_384;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than this many bytes.
    TooLarge(u64),
    /// It did not arrive in time.
    TooSlow,
    /// It was truncated or malformed.
    Broken,
}

impl BodyError {
    /// Status of the answer to the request.
    pub(crate) fn status(self) -> http::StatusCode {
        match self {
            Self::TooLarge(_) => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => http::StatusCode::REQUEST_TIMEOUT,
            Self::Broken => http::StatusCode::BAD_REQUEST,
        }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(limit) => write!(f, "the body is larger than {limit} bytes"),
            Self::TooSlow => f.write_str("the body did not arrive in time"),
            Self::Broken => f.write_str("the body is truncated or malformed"),
        }
    }
}

/// A complete body, with the memory reserved for it.
pub(crate) struct Body {
    bytes: Bytes,
    _memory: Vec<OwnedSemaphorePermit>,
}

impl Body {
    /// The bytes. Their memory is reserved for as long as this body exists.
    pub(crate) fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// Reads a body of at most `limit_bytes` within `timeout`.
pub(crate) async fn read(
    connection: &Connection,
    body: body::Incoming,
    limit_bytes: u64,
    timeout: time::Duration,
) -> Result<Body, BodyError> {
    let limits = connection.limits();
    let limit_bytes = limit_bytes.min(limits.body_memory_bytes / 2);
    let timeout = timeout.min(limits.body_timeout);
    let read = async {
        if body.size_hint().lower() > limit_bytes {
            return Err(BodyError::TooLarge(limit_bytes));
        }
        collect(connection, body, limit_bytes).await
    };
    let read = tokio::time::timeout(timeout, read).await;
    let body = read
        .unwrap_or(Err(BodyError::TooSlow))
        .inspect_err(|error| match error {
            BodyError::TooLarge(_) => connection.record_refused(Cause::BodySize),
            BodyError::TooSlow => connection.record_refused(Cause::BodyTimeout),
            BodyError::Broken => (),
        })?;
    if !connection.complete_request() {
        // The connection is being closed; the request has no effect.
        future::pending::<()>().await;
    }
    Ok(body)
}

/// Copies the body into one buffer. A part of the body may refer to a larger buffer, and
/// many small parts would take several times their size.
async fn collect(
    connection: &Connection,
    mut body: body::Incoming,
    limit_bytes: u64,
) -> Result<Body, BodyError> {
    let mut bytes = Vec::new();
    let mut memory = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        let needed = bytes.len() + part.len();
        if needed as u64 > limit_bytes {
            return Err(BodyError::TooLarge(limit_bytes));
        }
        if needed > bytes.capacity() {
            let capacity = capacity_for(needed, limit_bytes);
            grow(connection, &mut bytes, &mut memory, capacity).await?;
        }
        bytes.extend_from_slice(&part);
    }
    Ok(Body {
        bytes: bytes.into(),
        _memory: memory,
    })
}

/// Size of a buffer for at least `needed` bytes of a body of at most `limit_bytes`. It
/// doubles, so that a body is copied few times.
fn capacity_for(needed: usize, limit_bytes: u64) -> usize {
    let doubled = needed.next_power_of_two() as u64;
    let capacity = doubled.min(limit_bytes).max(needed as u64);
    let units = capacity.div_ceil(registry::BODY_UNIT_BYTES);
    usize::try_from(units * registry::BODY_UNIT_BYTES).unwrap_or(needed)
}

/// Reserves memory for a larger buffer, then grows the buffer.
async fn grow(
    connection: &Connection,
    bytes: &mut Vec<u8>,
    memory: &mut Vec<OwnedSemaphorePermit>,
    capacity: usize,
) -> Result<(), BodyError> {
    let start = capacity.min(START_BYTES) - bytes.capacity().min(START_BYTES);
    let rest = capacity.max(START_BYTES) - bytes.capacity().max(START_BYTES);
    for (part, part_bytes) in [(Part::Start, start), (Part::Rest, rest)] {
        let units = (part_bytes as u64).div_ceil(registry::BODY_UNIT_BYTES);
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        if units > 0 {
            let reserved = connection.reserve(part, units).await;
            memory.push(reserved.ok_or(BodyError::Broken)?);
        }
    }
    bytes.reserve_exact(capacity - bytes.len());
    Ok(())
}

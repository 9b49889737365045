//! Parsing and validation of a caller's request.

use std::time;

use bytes::Bytes;
use figscale_types::headers;
use figscale_types::ids;
use http::HeaderMap;
use http::request;
use hyper::body;

use super::answer;
use super::answer::BadRequest;
use crate::inbound;

/// Path prefix of requests; the catalogue entry follows.
const RUN_PATH: &str = "/v1/run/";
/// Largest time budget that a caller may set for a request.
const MAX_BUDGET_MS: u64 = 24 * 60 * 60 * 1_000;

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) entry: ids::EntryName,
    pub(super) owner: ids::OwnerName,
    pub(super) id: ids::RequestId,
    /// Whether the caller chose the id, and so may repeat the request.
    pub(super) id_from_caller: bool,
    pub(super) budget: Option<time::Duration>,
    pub(super) idempotent: bool,
    /// Headers to forward to the runner.
    pub(super) headers: HeaderMap,
}

impl Head {
    /// Whether the home of its id has to remember it. An id that was generated
    /// here is not known to the caller, so it cannot be repeated.
    pub(super) fn is_remembered(&self) -> bool {
        !self.idempotent && self.id_from_caller
    }

    /// Parses and validates a head.
    pub(super) fn read(parts: &request::Parts) -> Result<Self, BadRequest> {
        let name = parts.uri.path().strip_prefix(RUN_PATH);
        let name = name.ok_or(BadRequest::NotFound)?;
        if parts.method != http::Method::POST {
            return Err(BadRequest::Method);
        }
        let entry = name
            .parse()
            .map_err(|error| BadRequest::Header(format!("{error}")))?;
        let owner = single_value(&parts.headers, headers::OWNER)?
            .ok_or_else(|| BadRequest::Header(format!("{} is missing", headers::OWNER)))?;
        let owner = owner
            .parse()
            .map_err(|error| BadRequest::Header(format!("{}: {error}", headers::OWNER)))?;
        let id = match single_value(&parts.headers, headers::REQUEST_ID)? {
            None => None,
            Some(text) => Some(text.parse().map_err(|error| {
                BadRequest::Header(format!("{}: {error}", headers::REQUEST_ID))
            })?),
        };
        Ok(Self {
            entry,
            owner,
            id: id.unwrap_or_else(|| ids::RequestId(uuid::Uuid::now_v7())),
            id_from_caller: id.is_some(),
            budget: budget(&parts.headers)?,
            idempotent: flag(&parts.headers, headers::IDEMPOTENT)?,
            headers: answer::forwardable_headers(&parts.headers),
        })
    }
}

fn single_value<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadRequest> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(BadRequest::Header(format!("{name} is given twice")));
    }
    let text = value.to_str();
    let text = text.map_err(|_| BadRequest::Header(format!("{name} is not text")))?;
    Ok(Some(text))
}

fn budget(map: &HeaderMap) -> Result<Option<time::Duration>, BadRequest> {
    let Some(text) = single_value(map, headers::BUDGET_MS)? else {
        return Ok(None);
    };
    let wrong = || {
        BadRequest::Header(format!(
            "{}: expected milliseconds, 1 to {MAX_BUDGET_MS}",
            headers::BUDGET_MS
        ))
    };
    let millis: u64 = text.parse().map_err(|_| wrong())?;
    if !(1..=MAX_BUDGET_MS).contains(&millis) {
        return Err(wrong());
    }
    Ok(Some(time::Duration::from_millis(millis)))
}

fn flag(map: &HeaderMap, name: &str) -> Result<bool, BadRequest> {
    match single_value(map, name)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(BadRequest::Header(format!(
            "{name}: expected true or false"
        ))),
    }
}

/// A request that was read whole, so that it can be sent, and sent again, without
/// its caller.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) entry: ids::EntryName,
    pub(super) owner: ids::OwnerName,
    pub(super) id: ids::RequestId,
    pub(super) idempotent: bool,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) deadline: time::Instant,
}

/// Reads a whole body, within the size limit of the entry and the body time-out.
pub(super) async fn read_body(
    connection: &inbound::Connection,
    body: body::Incoming,
    limit_bytes: u64,
) -> Result<inbound::body::Body, BadRequest> {
    let timeout = connection.limits().body_timeout;
    let body = inbound::body::read(connection, body, limit_bytes, timeout).await;
    body.map_err(|error| match error {
        inbound::body::BodyError::TooLarge(limit_bytes) => BadRequest::TooLarge(limit_bytes),
        inbound::body::BodyError::TooSlow => BadRequest::TooSlow,
        inbound::body::BodyError::Broken => BadRequest::Body,
    })
}

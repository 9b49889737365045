//! A caller's request, read and checked.

use std::sync;
use std::time;

use bytes::Bytes;
use bytes::BytesMut;
use figscale_types::headers;
use figscale_types::ids;
use http::HeaderMap;
use http::request;
use http_body_util::BodyExt as _;
use hyper::body;
use tokio::sync::OwnedSemaphorePermit;

use super::Traffic;
use super::answer;
use super::answer::BadRequest;

/// Unit in which memory for bodies is counted.
pub(super) const BODY_UNIT_BYTES: u64 = 1_024;
/// Path prefix of requests; the catalogue entry follows.
const RUN_PATH: &str = "/v1/run/";
/// Longest time that a caller may be willing to wait.
const MAX_BUDGET_MS: u64 = 24 * 60 * 60 * 1_000;

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) entry: ids::EntryName,
    pub(super) owner: ids::OwnerName,
    pub(super) id: ids::RequestId,
    /// Whether the caller named the id, and so may repeat it.
    pub(super) id_is_callers: bool,
    pub(super) budget: Option<time::Duration>,
    pub(super) idempotent: bool,
    /// Headers to pass on.
    pub(super) headers: HeaderMap,
}

impl Head {
    /// Whether the home of its id remembers it. An id that only we know is
    /// repeated by nobody.
    pub(super) fn is_remembered(&self) -> bool {
        !self.idempotent && self.id_is_callers
    }

    /// Reads and checks a head.
    pub(super) fn read(parts: &request::Parts) -> Result<Self, BadRequest> {
        let name = parts.uri.path().strip_prefix(RUN_PATH);
        let name = name.ok_or(BadRequest::NotFound)?;
        if parts.method != http::Method::POST {
            return Err(BadRequest::Method);
        }
        let entry = name
            .parse()
            .map_err(|error| BadRequest::Header(format!("{error}")))?;
        let owner = text(&parts.headers, headers::OWNER)?
            .ok_or_else(|| BadRequest::Header(format!("{} is missing", headers::OWNER)))?;
        let owner = owner
            .parse()
            .map_err(|error| BadRequest::Header(format!("{}: {error}", headers::OWNER)))?;
        let id = match text(&parts.headers, headers::REQUEST_ID)? {
            None => None,
            Some(text) => Some(text.parse().map_err(|error| {
                BadRequest::Header(format!("{}: {error}", headers::REQUEST_ID))
            })?),
        };
        Ok(Self {
            entry,
            owner,
            id: id.unwrap_or_else(|| ids::RequestId(uuid::Uuid::now_v7())),
            id_is_callers: id.is_some(),
            budget: budget(&parts.headers)?,
            idempotent: flag(&parts.headers, headers::IDEMPOTENT)?,
            headers: answer::passed_on(&parts.headers),
        })
    }
}

fn text<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadRequest> {
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
    let Some(text) = text(map, headers::BUDGET_MS)? else {
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
    match text(map, name)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(BadRequest::Header(format!(
            "{name}: expected true or false"
        ))),
    }
}

/// A request that can be run, and run again, without its caller.
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

/// A whole body with the memory that it was granted.
pub(super) struct WholeBody {
    pub(super) bytes: Bytes,
    pub(super) memory: Option<OwnedSemaphorePermit>,
}

/// Reads a body whole, within the entry's limit, in time.
pub(super) async fn read_body(
    traffic: &sync::Arc<Traffic>,
    body: body::Incoming,
    limit_bytes: u64,
) -> Result<WholeBody, BadRequest> {
    use hyper::body::Body as _;

    let hint = body.size_hint();
    if hint.lower() > limit_bytes {
        return Err(BadRequest::TooLarge(limit_bytes));
    }
    if body.is_end_stream() {
        let bytes = Bytes::new();
        return Ok(WholeBody {
            bytes,
            memory: None,
        });
    }
    let timeout = time::Duration::from_millis(traffic.settings().body_timeout_ms);
    let most = hint.upper().unwrap_or(limit_bytes).min(limit_bytes);
    let reading = async {
        let units = u32::try_from(most.div_ceil(BODY_UNIT_BYTES)).unwrap_or(u32::MAX);
        let memory = traffic.bodies.clone().acquire_many_owned(units).await;
        let memory = memory.map_err(|_| BadRequest::Body)?;
        let bytes = collect(body, limit_bytes).await?;
        Ok(WholeBody {
            bytes,
            memory: Some(memory),
        })
    };
    match tokio::time::timeout(timeout, reading).await {
        Ok(result) => result,
        Err(_) => Err(BadRequest::TooSlow),
    }
}

async fn collect(mut body: body::Incoming, limit_bytes: u64) -> Result<Bytes, BadRequest> {
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BadRequest::Body)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (all.len() + data.len()) as u64 > limit_bytes {
            return Err(BadRequest::TooLarge(limit_bytes));
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}

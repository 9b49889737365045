//! The client of an entry instance's operator address.
//!
//! One command has one time limit, within which an answer that was lost is
//! asked for again, at the next address where several are given. That is safe
//! because every change carries an id made here and counts once. An answer
//! that says "not now" is not retried: the operator is told when to come back.

use std::env;
use std::net;
use std::time;

use bytes::Bytes;
use figscale_types::operator;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de;

use super::EXIT_CONFLICT;
use super::EXIT_FAILED;
use super::EXIT_UNAVAILABLE;
use super::EXIT_UNKNOWN;
use super::EXIT_USAGE;
use super::Failure;

/// Environment variable with the operator addresses.
const ENTRY_VARIABLE: &str = "FIGSCALE_ENTRY";
/// Wait before an answer that was lost is asked for again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Attempts at which a command gives up on entry instances that take no connection.
const MAX_REFUSED_CONNECTIONS: usize = 3;

/// What one attempt came to.
enum Attempt {
    /// An answer with its status.
    Answered(http::StatusCode, Bytes),
    /// Nothing was sent.
    NotSent(String),
    /// It was sent, and no whole answer came back.
    Lost(String),
}

/// The client.
pub(crate) struct Client {
    entries: Vec<net::SocketAddr>,
    timeout: time::Duration,
    runtime: tokio::runtime::Runtime,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A client of the addresses in the flag or else in the environment.
    pub(crate) fn new(flag: Option<&str>, timeout_ms: u64) -> Result<Self, Failure> {
        let entries = entries(flag)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| Failure::new(EXIT_FAILED, error))?;
        Ok(Self {
            entries,
            timeout: time::Duration::from_millis(timeout_ms),
            runtime,
            http: legacy::Client::builder(TokioExecutor::new()).build_http(),
        })
    }

    /// Reads what is at a path.
    pub(crate) fn get<A: de::DeserializeOwned>(&self, path: &str) -> Result<A, Failure> {
        self.call(http::Method::GET, path, Bytes::new())
    }

    /// Sends a change that counts once, however often it arrives.
    pub(crate) fn post<A: de::DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<A, Failure> {
        let body = serde_json::to_vec(body).map_err(|error| Failure::new(EXIT_FAILED, error))?;
        self.call(http::Method::POST, path, body.into())
    }

    fn call<A: de::DeserializeOwned>(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<A, Failure> {
        let (status, answer) = self.runtime.block_on(self.call_until(method, path, body))?;
        if status.is_success() {
            return serde_json::from_slice(&answer).map_err(|error| {
                let text = format!("the answer of {path} is not understood: {error}");
                Failure::new(EXIT_UNKNOWN, text)
            });
        }
        Err(refusal(status, &answer))
    }

    /// Attempts until there is an answer that settles it or the time is over.
    async fn call_until(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<(http::StatusCode, Bytes), Failure> {
        let deadline = tokio::time::Instant::now() + self.timeout;
        let mut refused = 0;
        let mut sent = false;
        let mut last = "no time left".to_owned();
        for entry in self.entries.iter().cycle() {
            let attempt = self.attempt(*entry, &method, path, body.clone());
            match tokio::time::timeout_at(deadline, attempt).await {
                Ok(Attempt::Answered(status, answer)) if !is_unknown(status, &answer) => {
                    return Ok((status, answer));
                }
                Ok(Attempt::Answered(_, answer)) => {
                    sent = true;
                    last = String::from_utf8_lossy(&answer).into_owned();
                }
                Ok(Attempt::NotSent(error)) => {
                    refused += 1;
                    last = format!("{entry}: {error}");
                }
                Ok(Attempt::Lost(error)) => {
                    sent = true;
                    last = format!("{entry}: {error}");
                }
                Err(_) => {
                    let text = format!("{entry}: no answer in time; last before: {last}");
                    return Err(gave_up(&method, true, &text));
                }
            }
            let tried_all = refused >= MAX_REFUSED_CONNECTIONS.max(self.entries.len());
            if tried_all || tokio::time::Instant::now() + RETRY_PAUSE >= deadline {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(gave_up(&method, sent, &last))
    }

    async fn attempt(
        &self,
        entry: net::SocketAddr,
        method: &http::Method,
        path: &str,
        body: Bytes,
    ) -> Attempt {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body));
        let request = match request {
            Ok(request) => request,
            Err(error) => return Attempt::NotSent(error.to_string()),
        };
        let answer = match self.http.request(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => {
                return Attempt::NotSent("cannot connect".to_owned());
            }
            Err(error) => return Attempt::Lost(error.to_string()),
        };
        let status = answer.status();
        match answer.into_body().collect().await {
            Ok(body) => Attempt::Answered(status, body.to_bytes()),
            Err(error) => Attempt::Lost(error.to_string()),
        }
    }
}

fn entries(flag: Option<&str>) -> Result<Vec<net::SocketAddr>, Failure> {
    let variable = env::var(ENTRY_VARIABLE).ok();
    let (origin, text) = match (flag, &variable) {
        (Some(text), _) => ("--entry", text),
        (None, Some(text)) => (ENTRY_VARIABLE, text.as_str()),
        (None, None) => {
            let text = "no entry instance to ask: give --entry IP:PORT before the command, \
                        or set FIGSCALE_ENTRY, to an operator address";
            return Err(Failure::usage(text));
        }
    };
    let address = |part: &str| {
        part.trim()
            .parse()
            .map_err(|_| Failure::usage(format!("{origin}: {part:?} is not IP:PORT")))
    };
    text.split(',').map(address).collect()
}

fn parse_error(answer: &[u8]) -> Option<operator::OperatorError> {
    serde_json::from_slice(answer).ok()
}

/// Whether the change may have taken effect, so that the same id may ask again.
fn is_unknown(status: http::StatusCode, answer: &[u8]) -> bool {
    !status.is_success()
        && parse_error(answer).is_some_and(|e| e.kind == operator::ErrorKind::Unknown)
}

/// A read changes nothing, so its failure is never an unknown one.
fn gave_up(method: &http::Method, sent: bool, last: &str) -> Failure {
    if sent && method != http::Method::GET {
        let text = format!("it may have taken effect; ask again with the same id. {last}");
        return Failure::new(EXIT_UNKNOWN, text);
    }
    Failure::new(EXIT_UNAVAILABLE, format!("no answer: {last}"))
}

fn refusal(status: http::StatusCode, answer: &[u8]) -> Failure {
    let Some(error) = parse_error(answer) else {
        let text = String::from_utf8_lossy(answer);
        return Failure::new(EXIT_FAILED, format!("{status}: {text}"));
    };
    let code = match error.kind {
        operator::ErrorKind::Invalid => EXIT_USAGE,
        operator::ErrorKind::Conflict => EXIT_CONFLICT,
        operator::ErrorKind::NotFound => EXIT_FAILED,
        operator::ErrorKind::Unavailable => EXIT_UNAVAILABLE,
        operator::ErrorKind::Unknown => EXIT_UNKNOWN,
    };
    match error.retry_after_ms {
        Some(wait) => Failure::new(code, format!("{error} (ask again after {wait} ms)")),
        None => Failure::new(code, error),
    }
}

//! One request and the verification of its response.

use std::net;
use std::time;

use bytes::Bytes;
use figscale_types::headers;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use http::StatusCode;

use super::Arrival;
use super::Class;
use crate::client;
use crate::runner;

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// A complete response that matches the request.
    Own,
    /// A response that is corrupt or belongs to another request.
    Wrong(String),
    /// A response that reports a failure.
    Failed {
        /// Status.
        status: StatusCode,
        /// Whether the request ran; `None` if the response does not say so.
        verdict: Option<Verdict>,
        /// Whether it says when to retry.
        retry_after: bool,
    },
    /// No response, or an incomplete one.
    NoAnswer(String),
}

/// A request and its result.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Request id.
    pub request_id: ids::RequestId,
    /// Index of its class.
    pub class: usize,
    /// Whether it was marked idempotent.
    pub idempotent: bool,
    /// Requested run time.
    pub run: time::Duration,
    /// Time from its intended arrival to the end of its response.
    pub latency: time::Duration,
    /// Its result.
    pub kind: OutcomeKind,
}

pub(super) struct Request {
    pub(super) client: client::Client,
    pub(super) class: Class,
    pub(super) target: net::SocketAddr,
    pub(super) due: tokio::time::Instant,
    pub(super) response_timeout: time::Duration,
    pub(super) arrival: Arrival,
}

impl Request {
    pub(super) async fn make(self) -> Outcome {
        let request_id = ids::RequestId(uuid::Uuid::now_v7());
        let body = self.body(request_id);
        let call = self.call(request_id, body.clone());
        let answer = self.client.send_within(self.response_timeout, call).await;
        let kind = match answer {
            Ok(answer) => classify(&answer, request_id, &body),
            Err(error) => OutcomeKind::NoAnswer(error.to_string()),
        };
        Outcome {
            request_id,
            class: self.arrival.class,
            idempotent: self.class.idempotent,
            run: time::Duration::from_millis(self.arrival.run_ms),
            latency: self.due.elapsed(),
            kind,
        }
    }

    fn body(&self, request_id: ids::RequestId) -> Bytes {
        let mut text = format!("{request_id} {:016x} ", self.arrival.nonce);
        let padding_len = self.class.body_bytes.saturating_sub(text.len());
        text.push_str(&"-".repeat(padding_len));
        text.into()
    }

    fn call(&self, request_id: ids::RequestId, body: Bytes) -> client::Call {
        let path = format!("/v1/run/{}", self.class.entry);
        let call = client::Call::post(self.target, path)
            .header(headers::OWNER, &self.class.owner)
            .header(headers::REQUEST_ID, request_id)
            .header(headers::IDEMPOTENT, self.class.idempotent)
            .header(headers::RUN_MS, self.arrival.run_ms)
            .header(headers::ANSWER_BYTES, self.class.answer_bytes)
            .body(body);
        match self.class.budget_ms {
            Some(budget_ms) => call.header(headers::BUDGET_MS, budget_ms),
            None => call,
        }
    }
}

fn classify(answer: &client::Answer, request_id: ids::RequestId, body: &[u8]) -> OutcomeKind {
    if !answer.status.is_success() {
        return OutcomeKind::Failed {
            status: answer.status,
            verdict: answer.header(headers::VERDICT).parse().ok(),
            retry_after: !answer.header("retry-after").is_empty(),
        };
    }
    if answer.header(headers::CHECKSUM) != runner::checksum(&answer.body) {
        return OutcomeKind::Wrong("checksum of the response does not match".to_owned());
    }
    let run_answer: runner::RunAnswer = match answer.json() {
        Ok(run_answer) => run_answer,
        Err(error) => return OutcomeKind::Wrong(error.to_string()),
    };
    if run_answer.request_id != request_id.to_string() {
        return OutcomeKind::Wrong(format!(
            "response belongs to request {}",
            run_answer.request_id
        ));
    }
    if run_answer.body_checksum != runner::checksum(body) {
        return OutcomeKind::Wrong("the runner received a different request body".to_owned());
    }
    OutcomeKind::Own
}

//! One request and the check of its answer.

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

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// The whole answer to this very request.
    Own,
    /// An answer that is broken, or somebody else's.
    Wrong(String),
    /// An answer that tells of a failure.
    Failed {
        /// Status.
        status: StatusCode,
        /// What it says of the run; `None` when it says nothing.
        verdict: Option<Verdict>,
        /// Whether it tells when to come back.
        retry_after: bool,
    },
    /// No answer, or not to its end.
    NoAnswer(String),
}

/// A request with what became of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Request id.
    pub request_id: ids::RequestId,
    /// Number of its class.
    pub class: usize,
    /// Whether it was marked idempotent.
    pub idempotent: bool,
    /// Run time that it asked for.
    pub run: time::Duration,
    /// Time from its intended arrival to the end of its answer.
    pub latency: time::Duration,
    /// What became of it.
    pub kind: OutcomeKind,
}

pub(super) struct Request {
    pub(super) client: client::Client,
    pub(super) class: Class,
    pub(super) target: net::SocketAddr,
    pub(super) due: tokio::time::Instant,
    pub(super) patience: time::Duration,
    pub(super) arrival: Arrival,
}

impl Request {
    pub(super) async fn make(self) -> Outcome {
        let request_id = ids::RequestId(uuid::Uuid::now_v7());
        let body = self.body(request_id);
        let call = self.call(request_id, body.clone());
        let answer = self.client.send_within(self.patience, call).await;
        let kind = match answer {
            Ok(answer) => judge(&answer, request_id, &body),
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
        let filling = self.class.body_bytes.saturating_sub(text.len());
        text.push_str(&"-".repeat(filling));
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

fn judge(answer: &client::Answer, request_id: ids::RequestId, body: &[u8]) -> OutcomeKind {
    if !answer.status.is_success() {
        return OutcomeKind::Failed {
            status: answer.status,
            verdict: answer.header(headers::VERDICT).parse().ok(),
            retry_after: !answer.header("retry-after").is_empty(),
        };
    }
    if answer.header(headers::CHECKSUM) != runner::checksum(&answer.body) {
        return OutcomeKind::Wrong("the checksum does not match".to_owned());
    }
    let told: runner::RunAnswer = match answer.json() {
        Ok(told) => told,
        Err(error) => return OutcomeKind::Wrong(error.to_string()),
    };
    if told.request_id != request_id.to_string() {
        return OutcomeKind::Wrong(format!("it is the answer to {}", told.request_id));
    }
    if told.body_checksum != runner::checksum(body) {
        return OutcomeKind::Wrong("the runner got another body".to_owned());
    }
    OutcomeKind::Own
}

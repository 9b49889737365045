//! HTTP client for workers.
//!
//! A call is sent only while this process has authority over its shards and
//! the call's time bound has not passed. The process may still be paused
//! between this check and the write; therefore the message carries the bound
//! too, and the worker checks it by its own clock.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use figscale_core::job::placer;
use figscale_types::clock;
use figscale_types::worker;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::rt;
use serde::Serialize;
use serde::de;

use crate::events;
use crate::state;

/// Largest response body accepted from a worker, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// Nothing was sent, so the worker did not act.
    NotSent,
    /// The worker may or may not have acted.
    Unknown,
}

/// A client for all workers.
#[derive(Clone)]
pub(super) struct Workers {
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    shared: sync::Arc<state::Shared>,
    clock: clock::SharedClock,
    timeout: time::Duration,
}

impl Workers {
    /// Creates a client whose calls take at most `timeout`.
    pub(super) fn new(context: &state::Context, timeout: time::Duration) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        Self {
            http: legacy::Client::builder(rt::TokioExecutor::new()).build(connector),
            shared: context.shared.clone(),
            clock: context.clock.clone(),
            timeout,
        }
    }

    /// Sends the start of a task.
    pub(super) async fn start(&self, call: &placer::StartCall) -> placer::StartOutcome {
        let answer = self
            .send_bounded(
                call.target.address,
                "/v1/tasks",
                &call.start,
                Some(call.bound),
            )
            .await;
        match answer {
            Ok(answer) => placer::StartOutcome::Answered(answer),
            Err(Failure::NotSent) => placer::StartOutcome::NotSent,
            Err(Failure::Unknown) => placer::StartOutcome::Unknown,
        }
    }

    /// Sends a lease renewal.
    pub(super) async fn renew(
        &self,
        call: &placer::RenewCall,
    ) -> Result<worker::WorkerReport, Failure> {
        let bound = Some(call.bound);
        self.send_bounded(call.target.address, "/v1/renew", &call.renew, bound)
            .await
    }

    /// Sends an action on a task, which has no time bound.
    pub(super) async fn act(
        &self,
        call: &placer::ActCall,
    ) -> Result<worker::WorkerReport, Failure> {
        self.send_bounded(call.target.address, "/v1/act", &call.act, None)
            .await
    }

    async fn send_bounded<Q: Serialize, A: de::DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
        question: &Q,
        bound: Option<time::Instant>,
    ) -> Result<A, Failure> {
        let body = serde_json::to_vec(question).map_err(|_| Failure::NotSent)?;
        let request = http::Request::post(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Failure::NotSent)?;
        let now = self.clock.now();
        if !self.shared.authority.is_valid(now) || bound.is_some_and(|bound| now >= bound) {
            crate::event!(events::jobs::DISPATCH_TOO_LATE, worker = address);
            return Err(Failure::NotSent);
        }
        let answered = tokio::time::timeout(self.timeout, self.call(request)).await;
        let result = answered.unwrap_or(Err(Failure::Unknown));
        if result.is_err() {
            crate::event!(
                events::jobs::WORKER_CALL_FAILED,
                worker = address,
                path = path
            );
        }
        result
    }

    async fn call<A: de::DeserializeOwned>(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<A, Failure> {
        let answer = self.http.request(request).await;
        let answer = answer.map_err(|error| match error.is_connect() {
            true => Failure::NotSent,
            false => Failure::Unknown,
        })?;
        if !answer.status().is_success() {
            return Err(Failure::Unknown);
        }
        let body = http_body_util::Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(|_| Failure::Unknown)?;
        serde_json::from_slice(&body.to_bytes()).map_err(|_| Failure::Unknown)
    }
}

//! What an operator does with a cell, over its HTTP interface.

use std::net;
use std::time;

use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;
use serde::de;

use crate::client;

/// Time to wait for one answer.
const ANSWER: time::Duration = time::Duration::from_secs(10);
/// Time between looks at something that is to come about.
const LOOK: time::Duration = time::Duration::from_millis(50);

/// An operator at the operators' address of an entry instance.
#[derive(Clone, Debug)]
pub struct Operator {
    client: client::Client,
    address: net::SocketAddr,
}

impl Operator {
    /// An operator at this address.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            client: client::Client::default(),
            address,
        }
    }

    /// Whether the entry instance says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let call = client::Call::get(self.address, "/readyz");
        let answer = self.client.send_within(ANSWER, call).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }

    /// Applies a change; a repeat with the same id counts once.
    pub async fn apply(
        &self,
        request: &operator::ApplyRequest,
    ) -> eyre::Result<operator::ApplyAnswer> {
        let call = client::Call::post(self.address, "/v1/catalogue").json(request)?;
        self.ask(call).await
    }

    /// Revision in force at each entry instance.
    pub async fn catalogue_status(&self) -> eyre::Result<operator::CatalogueStatus> {
        let call = client::Call::get(self.address, "/v1/catalogue/status");
        self.ask(call).await
    }

    /// Submits a job under an id of its own.
    pub async fn submit(
        &self,
        id: &ids::JobId,
        spec: &jobs::JobSpec,
    ) -> eyre::Result<jobs::JobStatus> {
        let path = format!("/v1/jobs?id={id}");
        let call = client::Call::post(self.address, path).json(spec)?;
        self.ask(call).await
    }

    /// How a job stands.
    pub async fn job(&self, id: &ids::JobId) -> eyre::Result<jobs::JobStatus> {
        let call = client::Call::get(self.address, format!("/v1/jobs/{id}"));
        self.ask(call).await
    }

    async fn ask<T: de::DeserializeOwned>(&self, call: client::Call) -> eyre::Result<T> {
        let answer = self.client.send_within(ANSWER, call).await?;
        if !answer.status.is_success() {
            eyre::bail!("{}: {}", answer.status, answer.text());
        }
        Ok(answer.json()?)
    }
}

/// Looks until something holds; the last word of `look` goes into the error.
pub(super) async fn wait_for<T>(
    what: &str,
    limit: time::Duration,
    mut look: impl AsyncFnMut() -> eyre::Result<T>,
) -> eyre::Result<T> {
    let began = time::Instant::now();
    loop {
        match look().await {
            Ok(result) => return Ok(result),
            Err(error) if began.elapsed() > limit => {
                return Err(error.wrap_err(format!("{what}: not within {limit:?}")));
            }
            Err(_) => tokio::time::sleep(LOOK).await,
        }
    }
}

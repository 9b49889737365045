//! Client of the operators' HTTP interface of an entry instance.

use std::net;
use std::time;

use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;
use serde::de;

use crate::client;

/// Time limit of one call.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time between checks of an awaited condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Makes calls to the operators' address of one entry instance.
#[derive(Clone, Debug)]
pub struct Operator {
    client: client::Client,
    address: net::SocketAddr,
}

impl Operator {
    /// A client of the entry instance with this operators' address.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            client: client::Client::default(),
            address,
        }
    }

    /// Whether the entry instance reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let call = client::Call::get(self.address, "/readyz");
        let answer = self.client.send_within(RESPONSE_TIMEOUT, call).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }

    /// Applies a change; a retry with the same change id is applied once.
    pub async fn apply(
        &self,
        request: &operator::ApplyRequest,
    ) -> eyre::Result<operator::ApplyAnswer> {
        let call = client::Call::post(self.address, "/v1/catalogue").json(request)?;
        self.send_json(call).await
    }

    /// Revision in force at each entry instance.
    pub async fn catalogue_status(&self) -> eyre::Result<operator::CatalogueStatus> {
        let call = client::Call::get(self.address, "/v1/catalogue/status");
        self.send_json(call).await
    }

    /// Submits a job under an id chosen by the caller.
    pub async fn submit(
        &self,
        id: &ids::JobId,
        spec: &jobs::JobSpec,
    ) -> eyre::Result<jobs::JobStatus> {
        let path = format!("/v1/jobs?id={id}");
        let call = client::Call::post(self.address, path).json(spec)?;
        self.send_json(call).await
    }

    /// State of a job and its tasks.
    pub async fn job(&self, id: &ids::JobId) -> eyre::Result<jobs::JobStatus> {
        let call = client::Call::get(self.address, format!("/v1/jobs/{id}"));
        self.send_json(call).await
    }

    async fn send_json<T: de::DeserializeOwned>(&self, call: client::Call) -> eyre::Result<T> {
        let answer = self.client.send_within(RESPONSE_TIMEOUT, call).await?;
        if !answer.status.is_success() {
            eyre::bail!("{}: {}", answer.status, answer.text());
        }
        Ok(answer.json()?)
    }
}

/// Calls `poll` until it succeeds; on a time-out its last error is part of the
/// error returned.
pub(super) async fn wait_for<T>(
    what: &str,
    limit: time::Duration,
    mut poll: impl AsyncFnMut() -> eyre::Result<T>,
) -> eyre::Result<T> {
    let began = time::Instant::now();
    loop {
        match poll().await {
            Ok(result) => return Ok(result),
            Err(error) if began.elapsed() > limit => {
                return Err(error.wrap_err(format!("{what}: timed out after {limit:?}")));
            }
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

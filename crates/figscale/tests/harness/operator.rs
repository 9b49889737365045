//! Client of the operator API of one entry instance.

use std::net;
use std::time;

use figscale::settings::document;
use figscale_standin::client;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;
use serde::Serialize;
use serde::de;

/// Maximum time to wait for a response.
const LIMIT: time::Duration = time::Duration::from_secs(15);

/// Text of the catalogue that the tests use.
const CATALOGUE: &str = include_str!("../../../../examples/fraser-reach.jsonc");

/// The catalogue that the tests use, from the Fraser Reach example.
pub(crate) fn catalogue() -> catalogue::Catalogue {
    let document = document::Document::from_text("example", CATALOGUE).unwrap();
    document.parse().unwrap()
}

/// A new change, based on revision `base`, that sets the first owner's weight to `number`.
pub(crate) fn change(base: u64, number: u32) -> operator::ApplyRequest {
    let mut catalogue = catalogue();
    catalogue.owners[0].weight = number;
    operator::ApplyRequest {
        base: ids::Revision(base),
        change: ids::ChangeId(uuid::Uuid::now_v7()),
        author: format!("operator-{number}"),
        note: format!("weight {number}"),
        catalogue,
    }
}

/// Client of one entry instance; clones can be used concurrently.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    client: client::Client,
    address: net::SocketAddr,
}

impl Operator {
    /// Creates a client of this operator address.
    pub(crate) fn new(client: client::Client, address: net::SocketAddr) -> Self {
        Self { client, address }
    }

    /// The operator address, for the command line.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Submits a new catalogue.
    pub(crate) async fn apply(
        &self,
        request: &operator::ApplyRequest,
    ) -> Result<operator::ApplyAnswer, operator::OperatorError> {
        self.post("/v1/catalogue", request).await
    }

    /// Like [`Operator::apply`], with this timeout.
    pub(crate) async fn apply_within(
        &self,
        limit: time::Duration,
        request: &operator::ApplyRequest,
    ) -> Result<operator::ApplyAnswer, operator::OperatorError> {
        let answer = tokio::time::timeout(limit, self.apply(request)).await;
        let unknown = operator::ErrorKind::Unknown;
        answer.unwrap_or_else(|_| Err(operator::OperatorError::new(unknown, "gave up")))
    }

    /// Requests a rollback to an earlier catalogue.
    pub(crate) async fn rollback(
        &self,
        request: &operator::RollbackRequest,
    ) -> Result<operator::ApplyAnswer, operator::OperatorError> {
        self.post("/v1/catalogue/rollback", request).await
    }

    /// The revision in force at this entry instance.
    pub(crate) async fn in_force(&self) -> Result<ids::Revision, operator::OperatorError> {
        let accepted: catalogue::Accepted = self.get("/v1/catalogue").await?;
        Ok(accepted.revision)
    }

    /// The changes, newest first.
    pub(crate) async fn history(
        &self,
    ) -> Result<Vec<operator::HistoryLine>, operator::OperatorError> {
        self.get("/v1/catalogue/history").await
    }

    /// The revision in force at each entry instance.
    pub(crate) async fn status(
        &self,
    ) -> Result<operator::CatalogueStatus, operator::OperatorError> {
        self.get("/v1/catalogue/status").await
    }

    /// Submits a job under a given id.
    pub(crate) async fn submit(
        &self,
        id: &ids::JobId,
        job: &jobs::JobSpec,
    ) -> Result<jobs::JobStatus, operator::OperatorError> {
        self.post(&format!("/v1/jobs?id={id}"), job).await
    }

    /// The status of a job.
    pub(crate) async fn job(
        &self,
        id: &ids::JobId,
    ) -> Result<jobs::JobStatus, operator::OperatorError> {
        self.get(&format!("/v1/jobs/{id}")).await
    }

    /// The dump of the state of the process.
    pub(crate) async fn dump(&self) -> Result<serde_json::Value, operator::OperatorError> {
        self.get("/v1/dump").await
    }

    /// Gets the resource at a path.
    pub(crate) async fn get<A: de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<A, operator::OperatorError> {
        self.send(client::Call::get(self.address, path)).await
    }

    async fn post<A: de::DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<A, operator::OperatorError> {
        let call = client::Call::post(self.address, path).json(body).unwrap();
        self.send(call).await
    }

    /// A missing response is an error of kind `Unknown`, as for a real operator.
    async fn send<A: de::DeserializeOwned>(
        &self,
        call: client::Call,
    ) -> Result<A, operator::OperatorError> {
        let unknown =
            |text: String| operator::OperatorError::new(operator::ErrorKind::Unknown, text);
        let answer = self.client.send_within(LIMIT, call).await;
        let answer = answer.map_err(|error| unknown(error.to_string()))?;
        if answer.status.is_success() {
            return answer.json().map_err(|error| unknown(error.to_string()));
        }
        match answer.json::<operator::OperatorError>() {
            Ok(error) => Err(error),
            Err(_) => Err(unknown(answer.text())),
        }
    }
}

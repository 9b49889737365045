//! Handlers of jobs: `/v1/jobs` and the paths below it.

use axum::Router;
use axum::extract;
use axum::extract::rejection;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use bytes::Bytes;
use figscale_types::ids;
use figscale_types::jobs as schema;

use super::answer;
use super::query;
use crate::jobs;
use crate::kernel;
use crate::state;

pub(super) fn routes() -> Router<state::Context> {
    Router::new()
        .route("/v1/jobs", routing::get(list).post(submit))
        .route("/v1/jobs/{id}", routing::get(status))
        .route("/v1/jobs/{id}/cancel", routing::post(cancel))
}

fn service(
    context: &state::Context,
) -> Result<kernel::Address<jobs::Message>, kernel::Unavailable> {
    context.kernel.find(jobs::NAME)
}

async fn submit(
    extract::State(context): extract::State<state::Context>,
    extract::Query(parameters): extract::Query<query::Submission>,
    body: Result<Bytes, rejection::BytesRejection>,
) -> response::Response {
    match answer::body(body) {
        Ok(body) => accept(context, parameters, body).await.into_response(),
        Err(refusal) => refusal.into_response(),
    }
}

async fn accept(
    context: state::Context,
    parameters: query::Submission,
    body: Bytes,
) -> answer::Answer<schema::JobStatus> {
    let id = parameters.id()?;
    let id: ids::JobId = query::parse(&id)?;
    let spec: schema::JobSpec = answer::parse(&body)?;
    let result = service(&context)?
        .call(|reply| jobs::Message::Submit(id, spec, reply))
        .await;
    answer::into_answer(result)
}

async fn status(
    extract::State(context): extract::State<state::Context>,
    extract::Path(id): extract::Path<String>,
) -> answer::Answer<schema::JobStatus> {
    let id: ids::JobId = query::parse(&id)?;
    let result = service(&context)?
        .call(|reply| jobs::Message::Status(id, reply))
        .await;
    answer::into_answer(result)
}

async fn cancel(
    extract::State(context): extract::State<state::Context>,
    extract::Path(id): extract::Path<String>,
) -> answer::Answer<schema::JobStatus> {
    let id: ids::JobId = query::parse(&id)?;
    let result = service(&context)?
        .call(|reply| jobs::Message::Cancel(id, reply))
        .await;
    answer::into_answer(result)
}

async fn list(
    extract::State(context): extract::State<state::Context>,
    extract::Query(parameters): extract::Query<query::Listing>,
) -> answer::Answer<Vec<schema::JobStatus>> {
    let owner: Option<ids::OwnerName> =
        parameters.owner.as_deref().map(query::parse).transpose()?;
    let result = service(&context)?
        .call(|reply| jobs::Message::List(owner, reply))
        .await;
    answer::into_answer(result)
}

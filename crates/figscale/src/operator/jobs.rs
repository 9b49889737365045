//! Jobs: `/v1/jobs` and below.

use std::str;

use axum::Router;
use axum::extract;
use axum::extract::rejection;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use bytes::Bytes;
use figscale_types::error;
use figscale_types::ids;
use figscale_types::jobs as schema;
use figscale_types::operator;
use serde::Deserialize;

use super::answer;
use crate::jobs;
use crate::kernel;
use crate::state;

pub(super) fn routes() -> Router<state::Context> {
    Router::new()
        .route("/v1/jobs", routing::get(list).post(submit))
        .route("/v1/jobs/{id}", routing::get(status))
        .route("/v1/jobs/{id}/cancel", routing::post(cancel))
}

#[derive(Deserialize)]
struct SubmitQuery {
    id: Option<String>,
}

#[derive(Deserialize)]
struct ListQuery {
    owner: Option<String>,
}

fn service(
    context: &state::Context,
) -> Result<kernel::Address<jobs::Message>, kernel::Unavailable> {
    context.kernel.find(jobs::NAME)
}

fn name<T>(text: &str) -> Result<T, operator::OperatorError>
where
    T: str::FromStr<Err = error::ParseError>,
{
    text.parse()
        .map_err(|error: error::ParseError| answer::invalid(error.to_string()))
}

async fn submit(
    extract::State(context): extract::State<state::Context>,
    extract::Query(query): extract::Query<SubmitQuery>,
    body: Result<Bytes, rejection::BytesRejection>,
) -> response::Response {
    match answer::body(body) {
        Ok(body) => accept(context, query, body).await.into_response(),
        Err(refusal) => refusal.into_response(),
    }
}

async fn accept(
    context: state::Context,
    query: SubmitQuery,
    body: Bytes,
) -> answer::Answer<schema::JobStatus> {
    let Some(id) = query.id else {
        return Err(answer::invalid(answer::NO_JOB_ID).into());
    };
    let id: ids::JobId = name(&id)?;
    let spec: schema::JobSpec = answer::parse(&body)?;
    let asked = service(&context)?
        .call(|reply| jobs::Message::Submit(id, spec, reply))
        .await;
    answer::settle(asked)
}

async fn status(
    extract::State(context): extract::State<state::Context>,
    extract::Path(id): extract::Path<String>,
) -> answer::Answer<schema::JobStatus> {
    let id: ids::JobId = name(&id)?;
    let asked = service(&context)?
        .call(|reply| jobs::Message::Status(id, reply))
        .await;
    answer::settle(asked)
}

async fn cancel(
    extract::State(context): extract::State<state::Context>,
    extract::Path(id): extract::Path<String>,
) -> answer::Answer<schema::JobStatus> {
    let id: ids::JobId = name(&id)?;
    let asked = service(&context)?
        .call(|reply| jobs::Message::Cancel(id, reply))
        .await;
    answer::settle(asked)
}

async fn list(
    extract::State(context): extract::State<state::Context>,
    extract::Query(query): extract::Query<ListQuery>,
) -> answer::Answer<Vec<schema::JobStatus>> {
    let owner: Option<ids::OwnerName> = query.owner.as_deref().map(name).transpose()?;
    let asked = service(&context)?
        .call(|reply| jobs::Message::List(owner, reply))
        .await;
    answer::settle(asked)
}

//! Handlers of the catalogue: `/v1/catalogue` and the paths below it.

use axum::Json;
use axum::Router;
use axum::extract;
use axum::extract::rejection;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use bytes::Bytes;
use figscale_types::catalogue as schema;
use figscale_types::ids;
use figscale_types::operator;

use super::answer;
use crate::catalogue;
use crate::kernel;
use crate::state;

pub(super) fn routes() -> Router<state::Context> {
    Router::new()
        .route("/v1/catalogue", routing::get(in_force).post(apply))
        .route("/v1/catalogue/rollback", routing::post(rollback))
        .route("/v1/catalogue/history", routing::get(history))
        .route("/v1/catalogue/status", routing::get(status))
        .route("/v1/catalogue/at/{revision}", routing::get(at))
}

fn service(
    context: &state::Context,
) -> Result<kernel::Address<catalogue::Message>, kernel::Unavailable> {
    context.kernel.find(catalogue::NAME)
}

async fn in_force(
    extract::State(context): extract::State<state::Context>,
) -> answer::Answer<schema::Accepted> {
    let result = service(&context)?.call(catalogue::Message::InForce).await;
    answer::into_answer(
        result.map(|known| known.map(|accepted| schema::Accepted::clone(&accepted))),
    )
}

async fn apply(
    extract::State(context): extract::State<state::Context>,
    body: Result<Bytes, rejection::BytesRejection>,
) -> response::Response {
    match answer::body(body) {
        Ok(body) => accept(context, body).await.into_response(),
        Err(refusal) => refusal.into_response(),
    }
}

async fn accept(context: state::Context, body: Bytes) -> answer::Answer<operator::ApplyAnswer> {
    let request: operator::ApplyRequest = answer::parse(&body)?;
    let result = service(&context)?
        .call(|reply| catalogue::Message::Apply(Box::new(request), reply))
        .await;
    answer::into_answer(result)
}

async fn rollback(
    extract::State(context): extract::State<state::Context>,
    body: Result<Bytes, rejection::BytesRejection>,
) -> response::Response {
    match answer::body(body) {
        Ok(body) => accept_earlier(context, body).await.into_response(),
        Err(refusal) => refusal.into_response(),
    }
}

async fn accept_earlier(
    context: state::Context,
    body: Bytes,
) -> answer::Answer<operator::ApplyAnswer> {
    let request: operator::RollbackRequest = answer::parse(&body)?;
    let result = service(&context)?
        .call(|reply| catalogue::Message::Rollback(request, reply))
        .await;
    answer::into_answer(result)
}

async fn history(
    extract::State(context): extract::State<state::Context>,
) -> answer::Answer<Vec<operator::HistoryLine>> {
    let result = service(&context)?.call(catalogue::Message::History).await;
    answer::into_answer(result)
}

async fn status(
    extract::State(context): extract::State<state::Context>,
) -> answer::Answer<operator::CatalogueStatus> {
    let status = service(&context)?.call(catalogue::Message::Status).await?;
    Ok(Json(status))
}

async fn at(
    extract::State(context): extract::State<state::Context>,
    extract::Path(revision): extract::Path<String>,
) -> answer::Answer<schema::Accepted> {
    let revision: ids::Revision = revision
        .parse()
        .map_err(|error: figscale_types::error::ParseError| answer::invalid(error.to_string()))?;
    let result = service(&context)?
        .call(|reply| catalogue::Message::At(revision, reply))
        .await;
    answer::into_answer(result)
}

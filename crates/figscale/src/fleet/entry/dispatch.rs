//! Routes a call to its queue and operation, and answers it.

use std::sync;

use axum::response;
use axum::response::IntoResponse as _;
use figscale_platform::ingress;
use figscale_types::fleet;
use http::Request;
use hyper::body;

use super::authorize;
use super::call;
use super::reply;
use super::submit;
use crate::fleet::Context;
use crate::fleet::calls::Caller;
use crate::fleet::calls::LeaderAnswer;
use crate::fleet::calls::LeaderCall;
use crate::fleet::leader_client;
use crate::inbound;

/// Handles any call of a caller.
pub(super) async fn answer(
    context: Context,
    connection: sync::Arc<inbound::Connection>,
    request: Request<body::Incoming>,
) -> response::Response {
    let arrived = context.clock.now();
    let (head, body) = request.into_parts();
    let mut call = call::Call::new(&head, arrived);
    let max_bytes = context.fleet.max_body_bytes;
    let time_left = call.deadline.saturating_duration_since(arrived);
    let answer = match inbound::body::read(&connection, body, max_bytes, time_left).await {
        Ok(body) => {
            call.body = Some(body);
            dispatch(&context, &call).await
        }
        Err(error) => reply::unread(&call, error),
    };
    let took = context.clock.now().saturating_duration_since(arrived);
    let status = answer.status().as_u16();
    let method = method_label(&call.method);
    context.metrics.fleet_call_answered(method, status, took);
    answer
}

/// The method as a label of metrics; the number of labels is bounded whatever
/// callers send.
fn method_label(method: &http::Method) -> &'static str {
    match *method {
        http::Method::POST => "POST",
        http::Method::GET => "GET",
        http::Method::DELETE => "DELETE",
        _ => "other",
    }
}

async fn dispatch(context: &Context, call: &call::Call) -> response::Response {
    let table = context.queues.borrow().clone();
    if table.version == 0 {
        return reply::unavailable();
    }
    let Some(queue) = table.find(&call.host, &call.path).cloned() else {
        return reply::not_found(call, "no such queue");
    };
    let customer = match authorize::customer(context, &table, &queue, call) {
        Ok(customer) => customer,
        Err(refusal) => return reply::unauthorized(call, refusal),
    };
    let id = &call.path[queue.prefix.len()..];
    if id.is_empty() && call.method == http::Method::GET {
        return pending(context, call, queue).await;
    }
    let Ok(job) = id.parse::<fleet::JobId>() else {
        return reply::not_found(call, "not a job id");
    };
    let caller = || Caller::Customer(customer.clone());
    let leader_call = match call.method {
        http::Method::POST => return submit::submit(context, call, job, queue, customer).await,
        http::Method::GET => LeaderCall::State {
            job,
            caller: caller(),
        },
        http::Method::DELETE => LeaderCall::Cancel {
            job,
            caller: caller(),
        },
        _ => return http::StatusCode::METHOD_NOT_ALLOWED.into_response(),
    };
    reply_with_state(context, call, &leader_call).await
}

/// Sends the leader a call that it answers with a job's state, and returns that
/// state to the caller.
async fn reply_with_state(
    context: &Context,
    call: &call::Call,
    leader_call: &LeaderCall,
) -> response::Response {
    match leader_client::call_leader(context, leader_call, call.deadline)
        .await
        .0
    {
        Some(LeaderAnswer::State(Some(state))) => {
            reply::json(http::StatusCode::OK, ingress::encode_state(state))
        }
        Some(LeaderAnswer::State(None)) => http::StatusCode::GONE.into_response(),
        Some(LeaderAnswer::CancelRefused { retry_after_ms }) => {
            reply::refuse_cancel(call, retry_after_ms)
        }
        _ => reply::unanswered(call),
    }
}

async fn pending(context: &Context, call: &call::Call, queue: fleet::Queue) -> response::Response {
    let leader_call = LeaderCall::Pending { queue: queue.name };
    match leader_client::call_leader(context, &leader_call, call.deadline)
        .await
        .0
    {
        Some(LeaderAnswer::Pending(jobs)) => {
            reply::json(http::StatusCode::OK, ingress::encode_pending(jobs))
        }
        _ => reply::unanswered(call),
    }
}

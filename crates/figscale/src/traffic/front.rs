//! HTTP/1.1 server for callers.
//!
//! Heads, headers, bodies, connections and the time for each are limited by
//! [`crate::inbound`]. A request is read whole before it is processed, and the request to the runner
//! is built from its parsed form. The message framing of a caller therefore
//! reaches no other process, which prevents request smuggling.

use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use figscale_types::catalogue;
use figscale_types::headers;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body;
use hyper_util::server::graceful;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::mpsc;

use super::InProgress;
use super::Message;
use super::Traffic;
use super::answer::Answer;
use super::answer::AnswerBody;
use super::answer::Part;
use super::answer::RequestError;
use super::answer::TruncatedBody;
use super::call;
use super::route;
use crate::inbound;
use crate::kernel;

/// Readiness check of the load balancer.
const READY_PATH: &str = "/v1/ready";
/// Time to wait at a stop for each further connection from the listen queue.
const LAST_ACCEPT_TIMEOUT: time::Duration = time::Duration::from_millis(5);
/// Longest time that idle connections are left open at a stop.
const IDLE_TIMEOUT_AT_STOP: time::Duration = time::Duration::from_secs(1);
/// Time between two checks whether all connections have ended.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Body of a response, with the guards that count its request as in progress.
struct ResponseBody {
    first: Option<Bytes>,
    rest: Option<mpsc::Receiver<Part>>,
    left: Option<u64>,
    _admitted: Option<route::Admitted>,
    _counted: InProgress,
}

impl body::Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, TruncatedBody>>> {
        if let Some(first) = self.first.take()
            && !first.is_empty()
        {
            return task::Poll::Ready(Some(Ok(self.count(first))));
        }
        let Some(rest) = &mut self.rest else {
            return task::Poll::Ready(None);
        };
        match task::ready!(rest.poll_recv(cx)) {
            Some(Part::Data(part)) => task::Poll::Ready(Some(Ok(self.count(part)))),
            Some(Part::End) => {
                self.rest = None;
                task::Poll::Ready(None)
            }
            // Truncated: the error aborts the connection, so that the caller sees it.
            None => task::Poll::Ready(Some(Err(TruncatedBody))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_none() && self.first.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> body::SizeHint {
        match self.left {
            Some(left) => body::SizeHint::with_exact(left),
            None => body::SizeHint::default(),
        }
    }
}

impl ResponseBody {
    fn count(&mut self, part: Bytes) -> body::Frame<Bytes> {
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(part.len() as u64);
        }
        body::Frame::data(part)
    }
}

/// Serves callers until the first message, which is the request to stop.
///
/// The socket does not listen before the claims and a catalogue are known. Until
/// then requests could only be answered wrongly, so the load balancer has to use
/// other entry instances.
pub(super) async fn serve(
    traffic: &sync::Arc<Traffic>,
    socket: TcpSocket,
    inbox: &mut kernel::Inbox<Message>,
) -> Option<Message> {
    tokio::select! {
        () = wait_for_initial_state(traffic) => {}
        message = inbox.recv() => return message,
    }
    let mut listener = match socket.listen(inbound::listener::BACKLOG) {
        Ok(listener) => traffic.limited(listener),
        Err(error) => {
            crate::event!(crate::events::requests::LISTEN_FAILED, error = error);
            return inbox.recv().await;
        }
    };
    let callers = Callers {
        traffic,
        shutdown: graceful::GracefulShutdown::new(),
    };
    let message = loop {
        tokio::select! {
            accepted = listener.accept() => callers.begin(accepted),
            message = inbox.recv() => break message,
        }
    };
    callers.end(listener).await;
    message
}

/// Waits until the claims and a catalogue are known.
async fn wait_for_initial_state(traffic: &Traffic) {
    let shared = &traffic.context.shared;
    let unread = ids::Revision(0);
    let mut claims = shared.claims.subscribe();
    let _ = claims.wait_for(|view| view.revision != unread).await;
    let mut catalogue = shared.catalogue.subscribe();
    let _ = catalogue.wait_for(|now| now.revision != unread).await;
}

impl Traffic {
    /// A listener with limits on what callers may hold.
    fn limited(&self, listener: TcpListener) -> inbound::Listener {
        let context = &self.context;
        let limits = inbound::Limits::callers(&context.settings);
        let (clock, metrics) = (context.clock.clone(), context.metrics.clone());
        inbound::Listener::new(listener, limits, clock, metrics)
    }
}

/// The connections of callers.
struct Callers<'a> {
    traffic: &'a sync::Arc<Traffic>,
    shutdown: graceful::GracefulShutdown,
}

impl Callers<'_> {
    fn begin(&self, accepted: inbound::listener::Accepted) {
        let traffic = self.traffic.clone();
        let omitted = inbound::server::DateHeader::Omitted;
        inbound::server::spawn(
            accepted,
            &self.shutdown,
            omitted,
            move |connection, request| answer(traffic.clone(), connection, request),
        );
    }

    /// Stops accepting connections, and closes the open ones.
    ///
    /// A connection that seems idle may have a request in flight, which closing
    /// it would cut off. The next request of each connection is therefore served
    /// as usual, and its answer closes the connection. Only connections that
    /// remain idle are closed by this side.
    async fn end(self, mut listener: inbound::Listener) {
        for _ in 0..inbound::listener::BACKLOG {
            let last = tokio::time::timeout(LAST_ACCEPT_TIMEOUT, listener.accept()).await;
            let Ok(accepted) = last else {
                break;
            };
            self.begin(accepted);
        }
        drop(listener);
        let stop_limit_ms = self.traffic.context.settings.shutdown_ms;
        let idle_timeout = IDLE_TIMEOUT_AT_STOP.min(time::Duration::from_millis(stop_limit_ms / 4));
        let _ = tokio::time::timeout(idle_timeout, async {
            while self.shutdown.count() > 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        })
        .await;
        self.shutdown.shutdown().await;
    }
}

/// Waits until the requests in progress are answered.
pub(super) async fn wait_until_idle(traffic: &Traffic) {
    let mut in_progress = traffic.in_progress.subscribe();
    let _ = in_progress.wait_for(|count| *count == 0).await;
}

async fn answer(
    traffic: sync::Arc<Traffic>,
    connection: sync::Arc<inbound::Connection>,
    request: Request<body::Incoming>,
) -> Response<ResponseBody> {
    let counted = traffic.begin();
    if request.uri().path() == READY_PATH {
        return ready(&traffic, counted);
    }
    // A body with two conflicting lengths can be parsed in two ways; close the
    // connection, so that bytes after a chunked body are not read as a request.
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = answer_call(traffic, &connection, request, counted).await;
    if chunked {
        close_after(&mut response);
    }
    response
}

async fn answer_call(
    traffic: sync::Arc<Traffic>,
    connection: &inbound::Connection,
    request: Request<body::Incoming>,
    counted: InProgress,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let head = match call::Head::read(&parts) {
        Ok(head) => head,
        Err(bad) => {
            let error = RequestError::Bad(bad);
            return error_response(&traffic, &error, error.verdict(), counted);
        }
    };
    let attempt = traffic.new_attempt_id();
    let result = match traffic.admit(&head) {
        Ok(admitted) => {
            let result = traffic
                .run(&head, attempt, &admitted, connection, body)
                .await;
            result.map(|answer| (answer, admitted))
        }
        Err(refused) => Err(refused),
    };
    let response = match result {
        Ok((answer, admitted)) => {
            count(&traffic, &head.entry, Verdict::Ran);
            answer_response(&traffic, answer, admitted, counted)
        }
        Err(error) => {
            let verdict = traffic.final_verdict(&head, attempt, &error).await;
            count(&traffic, &head.entry, verdict);
            error_response(&traffic, &error, verdict, counted)
        }
    };
    with_request_id(response, head.id)
}

/// Counts a final answer. Only entries of the catalogue are counted, so that names
/// invented by callers do not become labels.
fn count(traffic: &Traffic, entry: &ids::EntryName, verdict: Verdict) {
    let accepted = traffic.context.shared.catalogue_now();
    let policy = accepted.catalogue.entries.get(entry).map(|e| &e.policy);
    if let Some(catalogue::Policy::Requests(policy)) = policy {
        let metrics = &traffic.context.metrics;
        metrics.request_answered(entry, policy.urgency, verdict);
    }
}

fn with_request_id(
    mut response: Response<ResponseBody>,
    id: ids::RequestId,
) -> Response<ResponseBody> {
    insert(response.headers_mut(), headers::REQUEST_ID, &id.to_string());
    response
}

fn ready(traffic: &Traffic, counted: InProgress) -> Response<ResponseBody> {
    let status = match traffic.is_leaving() {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::OK,
    };
    own_response(traffic, status, HeaderMap::new(), Bytes::new(), counted)
}

fn error_response(
    traffic: &Traffic,
    error: &RequestError,
    verdict: Verdict,
    counted: InProgress,
) -> Response<ResponseBody> {
    let (status, map, bytes) = error.parts(verdict);
    let mut response = own_response(traffic, status, map, bytes, counted);
    insert(response.headers_mut(), headers::VERDICT, verdict.as_str());
    response
}

fn own_response(
    traffic: &Traffic,
    status: StatusCode,
    map: HeaderMap,
    bytes: Bytes,
    counted: InProgress,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody {
        left: Some(bytes.len() as u64),
        first: Some(bytes),
        rest: None,
        _admitted: None,
        _counted: counted,
    });
    *response.status_mut() = status;
    *response.headers_mut() = map;
    finish_head(traffic, &mut response);
    response
}

fn answer_response(
    traffic: &Traffic,
    answer: Answer,
    admitted: route::Admitted,
    counted: InProgress,
) -> Response<ResponseBody> {
    let (first, left, rest) = match answer.body {
        AnswerBody::Whole(bytes) => {
            let length = bytes.len() as u64;
            (bytes, Some(length), None)
        }
        AnswerBody::Streamed {
            first,
            length,
            rest,
        } => (first, length, Some(rest)),
    };
    let mut response = Response::new(ResponseBody {
        first: Some(first),
        rest,
        left,
        _admitted: Some(admitted),
        _counted: counted,
    });
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    let map = response.headers_mut();
    insert(map, headers::RUNNER, answer.runner.as_str());
    insert(map, headers::VERDICT, Verdict::Ran.as_str());
    finish_head(traffic, &mut response);
    response
}

fn finish_head(traffic: &Traffic, response: &mut Response<ResponseBody>) {
    let me = traffic.context.me();
    let map = response.headers_mut();
    insert(map, headers::SERVED_BY, me.id.as_str());
    if traffic.is_leaving() {
        close_after(response);
    }
}

fn close_after(response: &mut Response<ResponseBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

fn insert(map: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        map.insert(name, value);
    }
}

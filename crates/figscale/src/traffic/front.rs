//! Where callers connect: HTTP/1.1 with bounds on everything.
//!
//! Heads, headers, bodies, connections and the time for each are limited. A
//! request is read whole before anything is done with it and written anew
//! towards the runner, so no framing of a caller's reaches anybody else.

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
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use super::InProgress;
use super::Message;
use super::Traffic;
use super::answer::Answer;
use super::answer::AnswerBody;
use super::answer::Broken;
use super::answer::NoAnswer;
use super::answer::Part;
use super::call;
use super::route;
use crate::kernel;

/// Path that tells the balancer whether to send callers here.
const READY_PATH: &str = "/v1/ready";
/// Time to wait after an accept that failed, most likely for want of descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time in which a connection that was made before the stop shows itself.
const LAST_ACCEPT: time::Duration = time::Duration::from_millis(5);
/// Longest time that silent connections are left open at a stop.
const LAST_REQUESTS: time::Duration = time::Duration::from_secs(1);
/// Time between two looks whether all connections have ended.
const LOOK: time::Duration = time::Duration::from_millis(10);

/// An answer's body on its way to the caller, with what it keeps counted.
struct Outgoing {
    first: Option<Bytes>,
    rest: Option<mpsc::Receiver<Part>>,
    left: Option<u64>,
    _admitted: Option<route::Admitted>,
    _counted: InProgress,
}

impl body::Body for Outgoing {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Broken>>> {
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
            // Cut: the connection is aborted rather than ended.
            None => task::Poll::Ready(Some(Err(Broken))),
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

impl Outgoing {
    fn count(&mut self, part: Bytes) -> body::Frame<Bytes> {
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(part.len() as u64);
        }
        body::Frame::data(part)
    }
}

/// Serves callers until the first message, which says to stop.
///
/// Nobody can connect before the claims and a catalogue are known: a balancer
/// then goes elsewhere, where an answer could only be a wrong one.
pub(super) async fn serve(
    traffic: &sync::Arc<Traffic>,
    socket: TcpSocket,
    inbox: &mut kernel::Inbox<Message>,
) -> Option<Message> {
    tokio::select! {
        () = until_informed(traffic) => {}
        message = inbox.recv() => return message,
    }
    let listener = match socket.listen(BACKLOG) {
        Ok(listener) => listener,
        Err(error) => {
            crate::event!(crate::events::requests::LISTEN_FAILED, error = error);
            return inbox.recv().await;
        }
    };
    let callers = Callers {
        traffic,
        shutdown: graceful::GracefulShutdown::new(),
        permits: sync::Arc::new(Semaphore::new(traffic.settings().max_connections)),
    };
    let message = loop {
        tokio::select! {
            accepted = callers.accept(&listener) => match accepted {
                Some(accepted) => callers.begin(accepted),
                None => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            message = inbox.recv() => break message,
        }
    };
    callers.end(listener).await;
    message
}

/// Waits until the claims and a catalogue are known.
async fn until_informed(traffic: &Traffic) {
    let shared = &traffic.context.shared;
    let unread = ids::Revision(0);
    let mut claims = shared.claims.subscribe();
    let _ = claims.wait_for(|view| view.revision != unread).await;
    let mut catalogue = shared.catalogue.subscribe();
    let _ = catalogue.wait_for(|now| now.revision != unread).await;
}

type Accepted = (TcpStream, tokio::sync::OwnedSemaphorePermit);

/// The connections of callers.
struct Callers<'a> {
    traffic: &'a sync::Arc<Traffic>,
    shutdown: graceful::GracefulShutdown,
    permits: sync::Arc<Semaphore>,
}

impl Callers<'_> {
    async fn accept(&self, listener: &TcpListener) -> Option<Accepted> {
        let permit = self.permits.clone().acquire_owned().await.ok()?;
        let (socket, _) = listener.accept().await.ok()?;
        let _ = socket.set_nodelay(true);
        Some((socket, permit))
    }

    fn begin(&self, (socket, permit): Accepted) {
        let connection = self.shutdown.watch(connection(self.traffic, socket));
        tokio::spawn(async move {
            let _ = connection.await;
            drop(permit);
        });
    }

    /// Takes no more connections, and ends those that there are.
    ///
    /// A connection that looks idle may have a request on its way, which would
    /// be cut off. So each is ended by the answer to its next request, which is
    /// served like any other, and only those that stay silent are closed from
    /// here.
    async fn end(self, listener: TcpListener) {
        for _ in 0..BACKLOG {
            let last = tokio::time::timeout(LAST_ACCEPT, self.accept(&listener)).await;
            let Ok(Some(accepted)) = last else {
                break;
            };
            self.begin(accepted);
        }
        drop(listener);
        let whole_stop = self.traffic.context.settings.shutdown_ms;
        let silence = LAST_REQUESTS.min(time::Duration::from_millis(whole_stop / 4));
        let _ = tokio::time::timeout(silence, async {
            while self.shutdown.count() > 0 {
                tokio::time::sleep(LOOK).await;
            }
        })
        .await;
        self.shutdown.shutdown().await;
    }
}

/// Waits until the requests in progress have their answers.
pub(super) async fn finish(traffic: &Traffic) {
    let mut in_progress = traffic.in_progress.subscribe();
    let _ = in_progress.wait_for(|count| *count == 0).await;
}

fn connection(
    traffic: &sync::Arc<Traffic>,
    socket: TcpStream,
) -> impl graceful::GracefulConnection<Error = hyper::Error> + Send + use<> {
    let settings = traffic.settings();
    let head_timeout = time::Duration::from_millis(settings.head_timeout_ms);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(settings.max_head_bytes)
        .max_headers(settings.max_headers)
        .auto_date_header(false);
    let traffic = traffic.clone();
    let service = hyper::service::service_fn(move |request| {
        let traffic = traffic.clone();
        async move { Ok::<_, std::convert::Infallible>(answer(traffic, request).await) }
    });
    builder.serve_connection(TokioIo::new(socket), service)
}

async fn answer(
    traffic: sync::Arc<Traffic>,
    request: Request<body::Incoming>,
) -> Response<Outgoing> {
    let counted = traffic.begin();
    if request.uri().path() == READY_PATH {
        return ready(&traffic, counted);
    }
    // Two lengths of one body can be read in two ways; whatever follows such a
    // body is not read at all.
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = answer_call(traffic, request, counted).await;
    if chunked {
        close_after(&mut response);
    }
    response
}

async fn answer_call(
    traffic: sync::Arc<Traffic>,
    request: Request<body::Incoming>,
    counted: InProgress,
) -> Response<Outgoing> {
    let (parts, body) = request.into_parts();
    let head = match call::Head::read(&parts) {
        Ok(head) => head,
        Err(bad) => {
            let none = NoAnswer::Bad(bad);
            return no_answer(&traffic, &none, none.verdict(), counted);
        }
    };
    let attempt = traffic.new_attempt();
    let result = match traffic.admit(&head) {
        Ok(admitted) => {
            let result = traffic.run(&head, attempt, &admitted, body).await;
            result.map(|answer| (answer, admitted))
        }
        Err(refused) => Err(refused),
    };
    let response = match result {
        Ok((answer, admitted)) => {
            count(&traffic, &head.entry, Verdict::Ran);
            whole_answer(&traffic, answer, admitted, counted)
        }
        Err(none) => {
            let verdict = traffic.final_verdict(&head, attempt, &none).await;
            count(&traffic, &head.entry, verdict);
            no_answer(&traffic, &none, verdict, counted)
        }
    };
    identified(response, head.id)
}

/// Counts a final answer. Names that callers make up become no label: only
/// entries of the catalogue are counted.
fn count(traffic: &Traffic, entry: &ids::EntryName, verdict: Verdict) {
    let accepted = traffic.context.shared.catalogue_now();
    let policy = accepted.catalogue.entries.get(entry).map(|e| &e.policy);
    if let Some(catalogue::Policy::Requests(policy)) = policy {
        let metrics = &traffic.context.metrics;
        metrics.request_answered(entry, policy.urgency, verdict);
    }
}

fn identified(mut response: Response<Outgoing>, id: ids::RequestId) -> Response<Outgoing> {
    insert(response.headers_mut(), headers::REQUEST_ID, &id.to_string());
    response
}

fn ready(traffic: &Traffic, counted: InProgress) -> Response<Outgoing> {
    let status = match traffic.is_leaving() {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::OK,
    };
    own_response(traffic, status, HeaderMap::new(), Bytes::new(), counted)
}

fn no_answer(
    traffic: &Traffic,
    none: &NoAnswer,
    verdict: Verdict,
    counted: InProgress,
) -> Response<Outgoing> {
    let (status, map, bytes) = none.parts(verdict);
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
) -> Response<Outgoing> {
    let mut response = Response::new(Outgoing {
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

fn whole_answer(
    traffic: &Traffic,
    answer: Answer,
    admitted: route::Admitted,
    counted: InProgress,
) -> Response<Outgoing> {
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
    let mut response = Response::new(Outgoing {
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

fn finish_head(traffic: &Traffic, response: &mut Response<Outgoing>) {
    let me = traffic.context.me();
    let map = response.headers_mut();
    insert(map, headers::SERVED_BY, me.id.as_str());
    if traffic.is_leaving() {
        close_after(response);
    }
}

fn close_after(response: &mut Response<Outgoing>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

fn insert(map: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        map.insert(name, value);
    }
}

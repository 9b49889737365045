//! One request at one runner, from the granted slot to the end of the answer.
//!
//! An exchange runs in a task of its own, which continues after the caller has
//! disconnected, because the slot is free only once the runner is known to have
//! finished. An answer is forwarded only when it is known to be complete. One
//! that is too large to be buffered is streamed in such a way that a truncation
//! is visible to the receiver. An answer without a length, whose end
//! could not be distinguished from a truncation, counts as broken.

use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use bytes::BytesMut;
use figscale_core::request::dispatcher;
use figscale_types::headers;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::verdict::Verdict;
use http::HeaderValue;
use http::Response;
use http::header;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Traffic;
use super::answer;
use super::answer::Answer;
use super::answer::AnswerBody;
use super::answer::Failure;
use super::answer::Fault;
use super::answer::Part;
use super::call::Call;
use super::fence;
use super::local::Slot;
use super::pool;

/// Parts of a streamed answer that are buffered for a slow reader.
const MAX_BUFFERED_PARTS: usize = 4;
/// Multiple of the longest run of a request after which its connection is closed.
const TIMEOUT_RUNS: u32 = 2;

/// Outcome of sending a request.
enum SendOutcome {
    /// The head of an answer was received.
    Answered(pool::Connection, Box<Response<body::Incoming>>),
    /// Nothing was written.
    NotWritten,
    /// Nothing was written, since the shard is no longer held or authority ended.
    Fenced,
    /// The request was written, at least in part, and may run.
    Broken(Fault),
}

/// State of an exchange.
struct Exchange {
    traffic: sync::Arc<Traffic>,
    slot: Slot,
    call: sync::Arc<Call>,
    max_run: time::Duration,
    /// When the request was last handed to a connection.
    started: time::Instant,
    caller: oneshot::Sender<Result<Answer, Failure>>,
}

/// Runs a request in a granted slot; the receiver may be dropped at any time.
pub(super) fn start(
    traffic: &sync::Arc<Traffic>,
    slot: Slot,
    call: sync::Arc<Call>,
    max_run: time::Duration,
) -> oneshot::Receiver<Result<Answer, Failure>> {
    let (caller, receiver) = oneshot::channel();
    let exchange = Exchange {
        traffic: traffic.clone(),
        slot,
        call,
        max_run,
        started: traffic.now(),
        caller,
    };
    tokio::spawn(exchange.run());
    receiver
}

impl Exchange {
    async fn run(mut self) {
        let traffic = self.traffic.clone();
        let grant = self.slot.grant.clone();
        let mut reused = true;
        while reused {
            let timeout = time::Duration::from_millis(traffic.settings().connect_timeout_ms);
            let get = (traffic.pool).get(&grant.runner, grant.address, grant.connections, timeout);
            let connection = tokio::select! {
                connection = get => connection,
                // The caller disconnected before anything was sent.
                () = self.caller.closed() => return,
            };
            let connection = match connection {
                Ok(connection) => connection,
                Err(no_connection) => return self.not_connected(no_connection),
            };
            reused = connection.reused;
            match self.send(connection).await {
                SendOutcome::Answered(connection, answer) => {
                    return self.read(connection, *answer).await;
                }
                // The runner closed an idle connection before anything was written to it.
                SendOutcome::NotWritten if reused => {}
                SendOutcome::NotWritten => {
                    return self.fail(
                        dispatcher::End::Unreachable,
                        Verdict::NotRun,
                        Fault::Connect,
                    );
                }
                SendOutcome::Fenced => {
                    return self.fail(dispatcher::End::NotSent, Verdict::NotRun, Fault::Fenced);
                }
                SendOutcome::Broken(fault) => return self.fail_lost(fault),
            }
        }
    }

    fn not_connected(self, why: pool::NoConnection) {
        let end = match why {
            pool::NoConnection::Limit => dispatcher::End::NotSent,
            pool::NoConnection::Unreachable => dispatcher::End::Unreachable,
        };
        self.fail(end, Verdict::NotRun, Fault::Connect);
    }

    async fn send(&mut self, mut connection: pool::Connection) -> SendOutcome {
        self.started = self.traffic.now();
        let gate = connection.gate.clone();
        gate.arm(self.write_check());
        let sent = connection.sender.send_request(self.request());
        let sent = tokio::time::timeout(self.run_timeout(), sent).await;
        if gate.was_late() {
            crate::event!(
                crate::events::requests::DISPATCH_LATE,
                request = self.call.id,
                runner = self.slot.grant.runner
            );
        }
        match sent {
            Ok(Ok(answer)) => SendOutcome::Answered(connection, Box::new(answer)),
            Ok(Err(_)) if gate.has_begun() => SendOutcome::Broken(Fault::Broken),
            Err(_) if gate.has_begun() => SendOutcome::Broken(Fault::TooSlow),
            _ if gate.was_refused() => {
                let fenced = &self.traffic.fenced;
                fenced.fetch_add(1, atomic::Ordering::Relaxed);
                crate::event!(
                    crate::events::requests::DISPATCH_FENCED,
                    request = self.call.id,
                    shard = self.slot.grant.shard
                );
                SendOutcome::Fenced
            }
            _ => SendOutcome::NotWritten,
        }
    }

    fn run_timeout(&self) -> time::Duration {
        self.max_run * TIMEOUT_RUNS
    }

    async fn read(mut self, connection: pool::Connection, answer: Response<body::Incoming>) {
        self.record_leaving(&answer);
        let refused = answer.headers().contains_key(headers::REFUSED);
        let (parts, body) = answer.into_parts();
        if !has_verifiable_end(&parts, &body) {
            return self.fail_lost(Fault::Broken);
        }
        let mut reader = Reader {
            body,
            deadline: tokio::time::Instant::now() + self.run_timeout(),
            hold_bytes: self.traffic.settings().hold_bytes,
        };
        match reader.buffer().await {
            Err(_) => self.fail_lost(Fault::Broken),
            Ok(Buffered::Whole(_)) if refused => {
                self.release(connection);
                let end = dispatcher::End::RefusedByRunner;
                self.fail(end, Verdict::NotRun, Fault::RefusedByRunner);
            }
            Ok(Buffered::Whole(bytes)) => {
                self.release(connection);
                let end = dispatcher::End::Answered {
                    ran: self.ran(),
                    good: !parts.status.is_server_error(),
                };
                let answer = self.answer(parts, AnswerBody::Whole(bytes));
                self.close(end, Ok(answer));
            }
            Ok(Buffered::TooLarge(first)) => {
                let (sender, rest) = mpsc::channel(MAX_BUFFERED_PARTS);
                let length = content_length(&parts);
                let body = AnswerBody::Streamed {
                    first,
                    length,
                    rest,
                };
                let answer = self.answer(parts, body);
                let (unused, _) = oneshot::channel();
                let caller = std::mem::replace(&mut self.caller, unused);
                let _ = caller.send(Ok(answer));
                self.stream(connection, reader, sender).await;
            }
        }
    }

    /// Streams the rest of the body. If the receiver has disconnected or is too
    /// slow, the rest is read and discarded, since the runner is busy until then.
    async fn stream(
        self,
        connection: pool::Connection,
        mut body: Reader,
        sender: mpsc::Sender<Part>,
    ) {
        let mut sender = Some(sender);
        loop {
            match body.next().await {
                Ok(Some(part)) => {
                    if let Some(open) = &sender {
                        let send = open.send(Part::Data(part));
                        let sent = tokio::time::timeout_at(body.deadline, send).await;
                        if !matches!(sent, Ok(Ok(()))) {
                            sender = None;
                        }
                    }
                }
                Ok(None) => break,
                Err(_) => return self.fail_lost(Fault::Broken),
            }
        }
        self.release(connection);
        let ran = self.ran();
        let max_run = self.max_run;
        self.slot.end(dispatcher::End::Answered { ran, good: true });
        if let Some(open) = sender {
            let _ = tokio::time::timeout(max_run, open.send(Part::End)).await;
        }
    }

    fn ran(&self) -> time::Duration {
        self.traffic.now().saturating_duration_since(self.started)
    }

    fn write_check(&self) -> fence::WriteCheck {
        let shared = self.traffic.context.shared.clone();
        let clock = self.traffic.context.clock.clone();
        let shard = self.slot.grant.shard.clone();
        let epoch = self.slot.grant.epoch;
        sync::Arc::new(move || {
            let held = (shared.claims.borrow().held.get(&shard)).map(|held| held.epoch);
            held == Some(epoch) && shared.authority.is_valid(clock.now())
        })
    }

    fn request(&self) -> http::Request<Full<Bytes>> {
        let call = &self.call;
        let mut request = http::Request::new(Full::new(call.body.clone()));
        *request.method_mut() = http::Method::POST;
        let path = format!("/v1/run/{}", call.entry);
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        let grant = &self.slot.grant;
        let map = request.headers_mut();
        *map = call.headers.clone();
        set(map, header::HOST.as_str(), &grant.address.to_string());
        set(map, headers::REQUEST_ID, &call.id.to_string());
        set(map, headers::ENTRY, call.entry.as_str());
        set(map, headers::OWNER, call.owner.as_str());
        set(map, headers::IDEMPOTENT, &call.idempotent.to_string());
        let holder = format!("{}@{}", grant.shard, grant.epoch);
        set(map, headers::HOLDER, &holder);
        let left = call.deadline.saturating_duration_since(self.traffic.now());
        set(map, headers::BUDGET_MS, &left.as_millis().to_string());
        request
    }

    fn record_leaving(&self, answer: &Response<body::Incoming>) {
        if !answer.headers().contains_key(headers::LEAVING) {
            return;
        }
        let runner = &self.slot.grant.runner;
        let mut decisions = self.traffic.decide();
        let was_known = (decisions.dispatcher.table().runner(runner))
            .is_none_or(|runner| runner.announced_leaving);
        decisions.dispatcher.mark_leaving(runner);
        drop(decisions);
        if !was_known {
            crate::event!(crate::events::requests::RUNNER_LEAVING, runner = runner);
        }
    }

    fn release(&self, connection: pool::Connection) {
        self.traffic.pool.put(&self.slot.grant.runner, connection);
    }

    fn answer(&self, parts: http::response::Parts, body: AnswerBody) -> Answer {
        Answer {
            status: parts.status,
            headers: answer::forwardable_headers(&parts.headers),
            body,
            runner: self.slot.grant.runner.clone(),
        }
    }

    /// Ends an exchange whose request was sent and may still run. The connection is
    /// dropped, which closes it.
    fn fail_lost(self, fault: Fault) {
        self.fail(dispatcher::End::Lost, Verdict::MayHaveRun, fault);
    }

    fn fail(self, end: dispatcher::End, verdict: Verdict, fault: Fault) {
        let failure = Failure {
            verdict,
            fault,
            runner: Some(self.slot.grant.runner.clone()),
        };
        self.close(end, Err(failure));
    }

    fn close(self, end: dispatcher::End, result: Result<Answer, Failure>) {
        // Free the slot first: whoever receives the result must find it free.
        self.slot.end(end);
        let _ = self.caller.send(result);
    }
}

fn set(map: &mut http::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        map.insert(name, value);
    }
}

/// Whether the end of the answer can be distinguished from a truncation.
fn has_verifiable_end(parts: &http::response::Parts, body: &body::Incoming) -> bool {
    use hyper::body::Body as _;

    let chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
    chunked || body.is_end_stream() || body.size_hint().exact().is_some()
}

fn content_length(parts: &http::response::Parts) -> Option<u64> {
    let value = parts.headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

enum Buffered {
    Whole(Bytes),
    TooLarge(Bytes),
}

/// Reads the body of an answer until its end, an error or the deadline.
struct Reader {
    body: body::Incoming,
    deadline: tokio::time::Instant,
    hold_bytes: usize,
}

impl Reader {
    async fn next(&mut self) -> Result<Option<Bytes>, answer::TruncatedBody> {
        loop {
            let frame = tokio::time::timeout_at(self.deadline, self.body.frame()).await;
            match frame.map_err(|_| answer::TruncatedBody)? {
                None => return Ok(None),
                Some(Err(_)) => return Err(answer::TruncatedBody),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    async fn buffer(&mut self) -> Result<Buffered, answer::TruncatedBody> {
        let mut all = BytesMut::new();
        while let Some(part) = self.next().await? {
            all.extend_from_slice(&part);
            if all.len() > self.hold_bytes {
                return Ok(Buffered::TooLarge(all.freeze()));
            }
        }
        Ok(Buffered::Whole(all.freeze()))
    }
}

/// Fetches the usage report of a runner over a pooled connection.
pub(super) async fn fetch_usage(
    traffic: &sync::Arc<Traffic>,
    runner: &ids::InstanceId,
    address: std::net::SocketAddr,
    connections: u32,
) -> Option<instances::RunnerUsage> {
    let timeout = time::Duration::from_millis(traffic.settings().connect_timeout_ms);
    let asking = async {
        let pool = &traffic.pool;
        let connection = pool.get(runner, address, connections, timeout).await;
        let mut connection = connection.ok()?;
        connection.gate.arm(sync::Arc::new(|| true));
        let request = http::Request::get(instances::RUNNER_USAGE_PATH)
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .ok()?;
        let answer = connection.sender.send_request(request).await.ok()?;
        if answer.status() != http::StatusCode::OK {
            return None;
        }
        let bytes = answer.into_body().collect().await.ok()?.to_bytes();
        pool.put(runner, connection);
        serde_json::from_slice(&bytes).ok()
    };
    tokio::time::timeout(timeout * 2, asking).await.ok()?
}

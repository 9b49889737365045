//! A runner as PROTOCOL.md describes it: fence, lease on its own steady clock, runs,
//! and the list of ends, of which it returns 500 at a time.
//!
//! The spec of a job gives the length of its tasks: `BASE` or `BASE+STEP` in
//! milliseconds, where task INDEX takes BASE + INDEX mod 100 x STEP.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net;
use std::pin;
use std::sync;
use std::task;
use std::time;

use axum::Json;
use axum::Router;
use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use figscale_platform_standin::store;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::record;

/// Ends in one answer (PROTOCOL.md, "Running tasks": "500 at a time").
const ENDS_AT_A_TIME: usize = 500;
/// Connections that a runner serves at once (SYSTEM.md, "64 connections each"); others
/// wait until one is closed.
const CONNECTIONS: usize = 64;
/// Time between the writes of an entry, and the number of these after which the platform
/// removes the entry of a silent runner (PROTOCOL.md, "Service discovery").
const HEARTBEAT: time::Duration = time::Duration::from_millis(1_500);
const HEARTBEATS_KEPT: u32 = 3;

/// A start, or an end, as a runner saw it.
#[derive(Clone, Debug)]
pub enum Event {
    Start {
        at_ms: u64,
        runner: String,
        task: String,
        attempt: u64,
    },
    End {
        at_ms: u64,
        runner: String,
        number: u64,
        task: String,
        attempt: u64,
        how: &'static str,
    },
    /// The run ended without a trace, with its runner.
    Gone {
        at_ms: u64,
        runner: String,
        task: String,
        attempt: u64,
    },
    /// The lease expired; it had none before the first.
    Lapsed { at_ms: u64, runner: String },
    /// Ends up to the number were acknowledged.
    Seen {
        at_ms: u64,
        runner: String,
        upto: u64,
    },
}

pub type Events = sync::Arc<sync::Mutex<Vec<Event>>>;

#[derive(Clone, Debug)]
struct Run {
    ends: time::Instant,
}

struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    ends: VecDeque<End>,
    /// Highest attempt that ended or was stopped, by task.
    closed: BTreeMap<String, u64>,
    numbers: u64,
    seen_upto: u64,
    heartbeats: u64,
    crashed: bool,
    lapsed: bool,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    address: net::SocketAddr,
    service: String,
    zone: String,
    labels: Vec<String>,
    cpu: u64,
    mem_mb: u64,
    hold_max_ms: u64,
    begun: time::Instant,
    state: sync::Arc<sync::Mutex<State>>,
    changed: watch::Sender<()>,
    events: Events,
    record: record::Record,
    plan: Plan,
    store: store::Handle,
    /// Runtime of this life; its end closes all connections.
    life: sync::Arc<sync::Mutex<Option<tokio::runtime::Runtime>>>,
}

/// What a runner is.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub hold_max_ms: u64,
}

impl Runner {
    fn clock_ms(&self) -> u64 {
        480_000 + u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn write_entry(&self, store: &store::Handle) {
        let heartbeats = {
            let mut state = self.state.lock().unwrap();
            state.heartbeats += 1;
            state.heartbeats
        };
        let entry = json!({
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "capacity": 8, "state": "ready", "cold_left_ms": 0,
            "available": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": self.labels, "sequence": heartbeats,
        });
        store.put(
            &format!("servers/{}", self.id),
            entry.to_string().as_bytes(),
        );
    }

    /// Ends what is over, or everything if the lease has expired.
    fn advance(&self, state: &mut State) {
        let now = time::Instant::now();
        let lapsed = self.clock_ms() > state.lease_until_ms;
        if lapsed && !state.lapsed {
            self.record.line(format_args!("lapsed   {}", self.id));
            self.events.lock().unwrap().push(Event::Lapsed {
                at_ms: self.record.now_ms(),
                runner: self.id.clone(),
            });
        }
        state.lapsed = lapsed;
        let over = |run: &Run| match lapsed {
            true => Some("lapsed"),
            false => (now >= run.ends).then_some("done"),
        };
        let ended: Vec<_> = state
            .runs
            .iter()
            .filter_map(|(key, run)| over(run).map(|how| (key.clone(), how)))
            .collect();
        for ((task, attempt), how) in ended {
            self.end(state, task, attempt, how);
        }
    }

    fn end(&self, state: &mut State, task: String, attempt: u64, how: &'static str) {
        state.runs.remove(&(task.clone(), attempt));
        state.numbers += 1;
        let number = state.numbers;
        let closed = state.closed.entry(task.clone()).or_insert(0);
        *closed = attempt.max(*closed);
        self.record.line(format_args!(
            "end      {} N={number} {task} attempt {attempt} {how}",
            self.id
        ));
        self.events.lock().unwrap().push(Event::End {
            at_ms: self.record.now_ms(),
            runner: self.id.clone(),
            number,
            task: task.clone(),
            attempt,
            how,
        });
        state.ends.push_back(End {
            number,
            task,
            attempt,
            how,
        });
        self.changed.send_replace(());
    }

    /// Kills the runner: its runs and connections end, nothing listens at its address, and
    /// the platform removes its entry after three heartbeats.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.crashed = true;
        self.record.line(format_args!(
            "crash    {} with {} runs",
            self.id,
            state.runs.len()
        ));
        for (task, attempt) in std::mem::take(&mut state.runs).into_keys() {
            self.events.lock().unwrap().push(Event::Gone {
                at_ms: self.record.now_ms(),
                runner: self.id.clone(),
                task,
                attempt,
            });
        }
        if let Some(life) = self.life.lock().unwrap().take() {
            life.shutdown_background();
        }
        let (store, key) = (self.store.clone(), format!("servers/{}", self.id));
        tokio::spawn(async move {
            tokio::time::sleep(HEARTBEAT * HEARTBEATS_KEPT).await;
            store.remove(&key);
        });
    }

    /// Another life at the same address, with a new id.
    pub async fn restart(&self, id: &str) -> std::io::Result<Self> {
        let plan = Plan {
            id: id.to_owned(),
            ..self.plan.clone()
        };
        self.record.line(format_args!(
            "restart  {} at {} as {id}",
            self.id, self.address
        ));
        start_at(
            self.address,
            plan,
            &self.store,
            self.events.clone(),
            self.record.clone(),
        )
        .await
    }

    /// Number of runs now.
    pub fn runs(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    fn lease(&self, state: &mut State, deadline_ms: u64) {
        let most = self.clock_ms() + self.hold_max_ms;
        state.lease_until_ms = state.lease_until_ms.max(deadline_ms.min(most));
    }
}

pub async fn start(
    plan: Plan,
    store: &store::Handle,
    events: Events,
    record: record::Record,
) -> std::io::Result<Runner> {
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    start_at(any, plan, store, events, record).await
}

async fn start_at(
    address: net::SocketAddr,
    plan: Plan,
    store: &store::Handle,
    events: Events,
    record: record::Record,
) -> std::io::Result<Runner> {
    let listener = net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let life = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let runner = Runner {
        id: plan.id.clone(),
        address: listener.local_addr()?,
        service: plan.service.clone(),
        zone: plan.zone.clone(),
        labels: plan.labels.clone(),
        cpu: plan.cpu,
        mem_mb: plan.mem_mb,
        hold_max_ms: plan.hold_max_ms,
        begun: time::Instant::now(),
        state: sync::Arc::default(),
        changed: watch::channel(()).0,
        events,
        record,
        plan,
        store: store.clone(),
        life: sync::Arc::default(),
    };
    let router = Router::new()
        .route("/run-start", routing::post(run_start))
        .route("/run-stop", routing::post(run_stop))
        .route("/hold", routing::post(hold))
        .with_state(runner.clone());
    life.spawn(async move {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let permits = sync::Arc::new(tokio::sync::Semaphore::new(CONNECTIONS));
        axum::serve(Limited { listener, permits }, router).await
    });
    let beating = runner.clone();
    life.spawn(async move {
        loop {
            beating.write_entry(&beating.store);
            tokio::time::sleep(HEARTBEAT).await;
        }
    });
    let working = runner.clone();
    life.spawn(async move {
        loop {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
            let mut state = working.state.lock().unwrap();
            if state.crashed {
                return;
            }
            working.advance(&mut state);
        }
    });
    *runner.life.lock().unwrap() = Some(life);
    Ok(runner)
}

/// A listener that accepts the next connection when fewer than [`CONNECTIONS`] are open.
struct Limited {
    listener: tokio::net::TcpListener,
    permits: sync::Arc<tokio::sync::Semaphore>,
}

impl axum::serve::Listener for Limited {
    type Io = Permitted;
    type Addr = net::SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        let permit = self
            .permits
            .clone()
            .acquire_owned()
            .await
            .expect("never closed");
        loop {
            if let Ok((socket, address)) = self.listener.accept().await {
                return (
                    Permitted {
                        socket,
                        _permit: permit,
                    },
                    address,
                );
            }
        }
    }

    fn local_addr(&self) -> std::io::Result<Self::Addr> {
        self.listener.local_addr()
    }
}

struct Permitted {
    socket: tokio::net::TcpStream,
    _permit: tokio::sync::OwnedSemaphorePermit,
}

impl tokio::io::AsyncRead for Permitted {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl tokio::io::AsyncWrite for Permitted {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<std::io::Result<usize>> {
        pin::Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_shutdown(context)
    }
}

fn number(body: &Value, field: &str) -> u64 {
    body[field].as_u64().unwrap_or(0)
}

fn text(body: &Value, field: &str) -> String {
    body[field].as_str().unwrap_or_default().to_owned()
}

/// Whether a call names another incarnation.
fn is_for_other(runner: &Runner, headers: &http::HeaderMap) -> bool {
    let target = headers.get("figscale-target-instance");
    target.is_some_and(|id| id.as_bytes() != runner.id.as_bytes())
}

fn refuse(clock_ms: u64, reason: &str) -> response::Response {
    let body = Json(json!({"clock_ms": clock_ms, "reason": reason}));
    (http::StatusCode::CONFLICT, body).into_response()
}

fn length_ms(spec: &str, task: &str) -> u64 {
    let index: u64 = task
        .rsplit('.')
        .next()
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    let mut parts = spec.split('+').map(|part| part.parse::<u64>().unwrap_or(0));
    let base = parts.next().unwrap_or(100);
    base + parts.next().unwrap_or(0) * (index % 100)
}

async fn run_start(
    extract::State(runner): extract::State<Runner>,
    headers: http::HeaderMap,
    Json(body): Json<Value>,
) -> response::Response {
    if is_for_other(&runner, &headers) {
        return http::StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let clock_ms = runner.clock_ms();
    let (task, attempt) = (text(&body, "task"), number(&body, "attempt"));
    let mut state = runner.state.lock().unwrap();
    if state.crashed {
        return http::StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    runner.advance(&mut state);
    if number(&body, "fencing_token") < state.fence {
        return refuse(clock_ms, "fence");
    }
    state.fence = number(&body, "fencing_token");
    if number(&body, "deadline_ms") < clock_ms {
        return refuse(clock_ms, "late");
    }
    runner.lease(&mut state, number(&body, "deadline_ms"));
    if state.runs.contains_key(&(task.clone(), attempt)) {
        return Json(json!({"clock_ms": clock_ms})).into_response();
    }
    if state
        .closed
        .get(&task)
        .is_some_and(|closed| attempt <= *closed)
    {
        return refuse(clock_ms, "old");
    }
    let length = time::Duration::from_millis(length_ms(&text(&body, "spec"), &task));
    let ends = time::Instant::now() + length;
    state.runs.insert((task.clone(), attempt), Run { ends });
    runner.record.line(format_args!(
        "start    {} {task} attempt {attempt}",
        runner.id
    ));
    runner.events.lock().unwrap().push(Event::Start {
        at_ms: runner.record.now_ms(),
        runner: runner.id.clone(),
        task,
        attempt,
    });
    Json(json!({"clock_ms": clock_ms})).into_response()
}

async fn run_stop(
    extract::State(runner): extract::State<Runner>,
    headers: http::HeaderMap,
    Json(body): Json<Value>,
) -> response::Response {
    if is_for_other(&runner, &headers) {
        return http::StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let clock_ms = runner.clock_ms();
    let (task, attempt) = (text(&body, "task"), number(&body, "attempt"));
    let mut state = runner.state.lock().unwrap();
    runner.advance(&mut state);
    if number(&body, "fencing_token") < state.fence {
        return refuse(clock_ms, "fence");
    }
    state.fence = number(&body, "fencing_token");
    if state.runs.contains_key(&(task.clone(), attempt)) {
        runner.end(&mut state, task, attempt, "stopped");
    } else {
        let closed = state.closed.entry(task).or_insert(0);
        *closed = attempt.max(*closed);
    }
    Json(json!({"clock_ms": clock_ms})).into_response()
}

async fn hold(
    extract::State(runner): extract::State<Runner>,
    headers: http::HeaderMap,
    Json(body): Json<Value>,
) -> response::Response {
    if is_for_other(&runner, &headers) {
        return http::StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let wait = time::Duration::from_millis(number(&body, "wait_ms").min(2_000));
    let until = tokio::time::Instant::now() + wait;
    let mut changed = runner.changed.subscribe();
    loop {
        let _ = changed.borrow_and_update();
        let over = tokio::time::Instant::now() >= until;
        if let Some(answer) = report(&runner, &body, over) {
            return answer;
        }
        let _ = tokio::time::timeout_at(until, changed.changed()).await;
    }
}

fn report(runner: &Runner, body: &Value, over: bool) -> Option<response::Response> {
    let clock_ms = runner.clock_ms();
    let mut state = runner.state.lock().unwrap();
    runner.advance(&mut state);
    if number(body, "fencing_token") < state.fence {
        return Some(refuse(clock_ms, "fence"));
    }
    state.fence = number(body, "fencing_token");
    runner.lease(&mut state, number(body, "deadline_ms"));
    let upto = number(body, "seen_upto").min(state.numbers);
    if upto > state.seen_upto {
        state.seen_upto = upto;
        state.ends.retain(|end| end.number > upto);
        runner
            .record
            .line(format_args!("seen     {} seen_upto {upto}", runner.id));
        runner.events.lock().unwrap().push(Event::Seen {
            at_ms: runner.record.now_ms(),
            runner: runner.id.clone(),
            upto,
        });
    }
    if state.ends.is_empty() && !over {
        return None;
    }
    let running: Vec<Value> = state
        .runs
        .keys()
        .map(|(task, attempt)| json!([task, attempt, "", 50, 100]))
        .collect();
    let listed = state.ends.iter().take(ENDS_AT_A_TIME);
    let finished: Vec<Value> = listed
        .map(|end| json!([end.number, end.task, end.attempt, end.how, ""]))
        .collect();
    if state.ends.len() > ENDS_AT_A_TIME {
        runner.record.line(format_args!(
            "listed   {} {} running, {} of {} ends",
            runner.id,
            running.len(),
            finished.len(),
            state.ends.len()
        ));
    }
    let report = json!({"clock_ms": clock_ms, "running": running, "finished": finished});
    Some(Json(report).into_response())
}

//! The connections of a listener, and the memory that their bodies take.

use std::sync;
use std::time;

use figscale_types::clock;
use figscale_types::mutex;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task;

use super::limits::Limits;
use crate::events;
use crate::metrics;

/// Shortest time between two log lines about closed connections.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Unit in which memory for bodies is counted.
pub(super) const BODY_UNIT_BYTES: u64 = 1_024;
/// Part of the memory for bodies that is kept for their starts.
const START_MEMORY_DIVISOR: usize = 4;

/// A listener is crowded when less than one in this number of places is left.
const CROWDED_DIVISOR: usize = 8;
/// Longest time that a new connection waits for one with a request in progress to end.
const BUSY_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time between two attempts to find a place for it.
const BUSY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first byte of a head.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// An answer to a complete request; never closed for another connection.
    Answer,
    /// Its end.
    Closing,
}

impl Phase {
    /// Whether the connection waits for its client, so that closing it cuts off no
    /// complete request.
    fn awaits_client(self) -> bool {
        matches!(self, Self::Idle | Self::Head | Self::Body)
    }
}

/// Why a connection was closed or a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// Another connection took its place.
    Connections,
    /// All connections have a request in progress.
    Busy,
    /// Another body needed its memory.
    BodyMemory,
    /// Its head did not arrive in time.
    HeadTimeout,
    /// Its client did not read the answer in time.
    WriteTimeout,
    /// The head of a request was too large.
    HeadSize,
    /// The body of a request was too large.
    BodySize,
    /// The body of a request did not arrive in time.
    BodyTimeout,
}

impl Cause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Busy => "busy",
            Self::BodyMemory => "body-memory",
            Self::HeadTimeout => "head-timeout",
            Self::WriteTimeout => "write-timeout",
            Self::HeadSize => "head-size",
            Self::BodySize => "body-size",
            Self::BodyTimeout => "body-timeout",
        }
    }
}

/// Which part of the memory for bodies a reservation is taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Part {
    /// The start of a body. Ordinary requests need no more, so that they find room while
    /// large bodies wait.
    Start,
    /// The rest of a body.
    Rest,
}

/// One of two values for each part of the memory for bodies.
#[derive(Clone, Copy, Debug, Default)]
struct ByPart<T> {
    start: T,
    rest: T,
}

impl<T> ByPart<T> {
    fn of(&self, part: Part) -> &T {
        match part {
            Part::Start => &self.start,
            Part::Rest => &self.rest,
        }
    }

    fn of_mut(&mut self, part: Part) -> &mut T {
        match part {
            Part::Start => &mut self.start,
            Part::Rest => &mut self.rest,
        }
    }
}

struct State {
    phase: Phase,
    /// When this phase began.
    since: time::Instant,
    /// Whether a request of this connection was answered.
    answered: bool,
    /// Memory of the body that is being read, in units.
    body_units: ByPart<u32>,
    /// Since when the client has accepted no part of an answer.
    write_blocked_since: Option<time::Instant>,
    task: Option<task::AbortHandle>,
}

impl State {
    /// Closes the connection; its task ends at the next point where it waits.
    fn close(&mut self) {
        self.phase = Phase::Closing;
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// A registered connection; removed from its registry when dropped.
pub(crate) struct Connection {
    id: u64,
    registry: sync::Arc<Registry>,
    state: sync::Mutex<State>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut connections = mutex::lock(&self.registry.connections);
        connections.open.swap_remove(&self.id);
        drop(connections);
        self.registry.ended.notify_one();
    }
}

impl Connection {
    /// Whether few places are left, so that connections should end with their answers
    /// and let others have a turn.
    pub(super) fn is_crowded(&self) -> bool {
        let max = self.registry.limits.max_connections;
        let open = mutex::lock(&self.registry.connections).open.len();
        open >= max - max / CROWDED_DIVISOR
    }

    /// The limits of its listener.
    pub(crate) fn limits(&self) -> &Limits {
        &self.registry.limits
    }

    fn now(&self) -> time::Instant {
        self.registry.clock.now()
    }

    /// Counts a request that was refused at a limit.
    pub(super) fn record_refused(&self, cause: Cause) {
        self.registry.record_closed(cause);
    }

    /// Sets the task that serves this connection, which is aborted to close it.
    pub(crate) fn set_task(&self, task: task::AbortHandle) {
        let mut state = mutex::lock(&self.state);
        if state.phase == Phase::Closing {
            task.abort();
        }
        state.task = Some(task);
    }

    /// Records that bytes arrived.
    pub(super) fn received(&self) {
        let mut state = mutex::lock(&self.state);
        if state.phase == Phase::Idle {
            state.phase = Phase::Head;
            state.since = self.now();
        }
    }

    /// Records whether the client accepted a part of an answer.
    pub(super) fn written(&self, accepted: bool) {
        let mut state = mutex::lock(&self.state);
        if accepted {
            state.write_blocked_since = None;
        } else if state.write_blocked_since.is_none() {
            state.write_blocked_since = Some(self.now());
        }
    }

    /// Records a complete head; `false` if the connection is being closed, and then the
    /// request must have no effect.
    pub(super) fn begin_request(&self, has_body: bool) -> bool {
        self.enter(if has_body { Phase::Body } else { Phase::Answer })
    }

    /// Records a complete request; `false` if the connection is being closed, and then
    /// the request must have no effect.
    pub(crate) fn complete_request(&self) -> bool {
        self.enter(Phase::Answer)
    }

    /// Records the end of an answer.
    pub(super) fn end_request(&self) {
        if self.enter(Phase::Idle) {
            let mut state = mutex::lock(&self.state);
            state.answered = true;
            state.body_units = ByPart::default();
        }
    }

    fn enter(&self, phase: Phase) -> bool {
        let mut state = mutex::lock(&self.state);
        if state.phase == Phase::Closing {
            return false;
        }
        state.phase = phase;
        state.since = self.now();
        true
    }

    /// Reserves memory for a body. If there is no room, older incomplete bodies are
    /// dropped with their connections, and the reservation waits for their memory or
    /// that of others.
    pub(super) async fn reserve(&self, part: Part, units: u32) -> Option<OwnedSemaphorePermit> {
        let memory = self.registry.body_memory.of(part);
        let reserved = match memory.clone().try_acquire_many_owned(units) {
            Ok(reserved) => reserved,
            Err(_) => {
                self.drop_older_bodies(part, units);
                memory.clone().acquire_many_owned(units).await.ok()?
            }
        };
        *mutex::lock(&self.state).body_units.of_mut(part) += units;
        Some(reserved)
    }

    /// Drops the oldest incomplete bodies that began before this one, until they free
    /// this much memory.
    fn drop_older_bodies(&self, part: Part, units: u32) {
        let own_since = mutex::lock(&self.state).since;
        let mut older = Vec::new();
        for connection in self.registry.open() {
            let state = mutex::lock(&connection.state);
            let held_units = *state.body_units.of(part);
            if state.phase == Phase::Body && held_units > 0 && state.since < own_since {
                let since = state.since;
                drop(state);
                older.push((since, held_units, connection));
            }
        }
        older.sort_by_key(|(since, ..)| *since);
        let mut freed_units = 0;
        for (_, held_units, connection) in older {
            if freed_units >= units {
                break;
            }
            if connection.close_if_waiting() {
                freed_units += held_units;
                self.registry.record_closed(Cause::BodyMemory);
            }
        }
    }

    /// Closes the connection if it waits for its client.
    fn close_if_waiting(&self) -> bool {
        let mut state = mutex::lock(&self.state);
        let waits = state.phase.awaits_client();
        if waits {
            state.close();
        }
        waits
    }

    /// Closes the connection if its client has exceeded a timeout.
    fn close_if_overdue(&self, now: time::Instant) -> Option<Cause> {
        let limits = self.limits();
        let mut state = mutex::lock(&self.state);
        let passed = |since| now.saturating_duration_since(since);
        let blocked_since = state.write_blocked_since;
        let cause = if state.phase == Phase::Closing {
            return None;
        } else if blocked_since.is_some_and(|since| passed(since) >= limits.write_timeout) {
            Cause::WriteTimeout
        } else if state.phase == Phase::Head && passed(state.since) >= limits.head_timeout {
            Cause::HeadTimeout
        } else {
            return None;
        };
        state.close();
        Some(cause)
    }
}

/// Why no connection was closed for a new one.
enum NoneClosed {
    /// One is being closed already.
    Closing,
    /// All have a complete request in progress.
    Busy,
}

#[derive(Default)]
struct Connections {
    open: IndexMap<u64, sync::Weak<Connection>>,
    last_id: u64,
}

/// Connections closed since the last log line.
#[derive(Default)]
struct Unlogged {
    closed: u64,
    logged_at: Option<time::Instant>,
}

/// The connections of a listener.
pub(crate) struct Registry {
    limits: Limits,
    clock: clock::SharedClock,
    metrics: sync::Arc<metrics::Metrics>,
    connections: sync::Mutex<Connections>,
    unlogged: sync::Mutex<Unlogged>,
    body_memory: ByPart<sync::Arc<Semaphore>>,
    /// Signalled when a connection has ended.
    ended: Notify,
}

impl Registry {
    pub(super) fn new(
        limits: Limits,
        clock: clock::SharedClock,
        metrics: sync::Arc<metrics::Metrics>,
    ) -> sync::Arc<Self> {
        let units = limits.body_memory_bytes / BODY_UNIT_BYTES;
        let units = usize::try_from(units).unwrap_or(usize::MAX);
        let units = units.min(Semaphore::MAX_PERMITS);
        let start_units = units / START_MEMORY_DIVISOR;
        Self {
            body_memory: ByPart {
                start: sync::Arc::new(Semaphore::new(start_units)),
                rest: sync::Arc::new(Semaphore::new(units - start_units)),
            },
            limits,
            clock,
            metrics,
            connections: sync::Mutex::default(),
            unlogged: sync::Mutex::default(),
            ended: Notify::new(),
        }
        .into()
    }

    /// Registers a connection. At the bound another one is closed for it; `None` if all
    /// have requests in progress for long.
    pub(super) async fn admit(self: &sync::Arc<Self>) -> Option<sync::Arc<Connection>> {
        let begun = self.clock.now();
        loop {
            if let Some(connection) = self.try_admit() {
                return Some(connection);
            }
            match self.close_one() {
                Ok(()) => self.record_closed(Cause::Connections),
                Err(NoneClosed::Closing) => (),
                Err(NoneClosed::Busy) => {
                    self.close_overdue();
                    let waited = self.clock.now().saturating_duration_since(begun);
                    if waited >= BUSY_TIMEOUT {
                        self.record_closed(Cause::Busy);
                        return None;
                    }
                }
            }
            let _ = tokio::time::timeout(BUSY_INTERVAL, self.ended.notified()).await;
        }
    }

    fn try_admit(self: &sync::Arc<Self>) -> Option<sync::Arc<Connection>> {
        let mut connections = mutex::lock(&self.connections);
        if connections.open.len() >= self.limits.max_connections {
            return None;
        }
        connections.last_id += 1;
        let id = connections.last_id;
        let state = State {
            phase: Phase::Idle,
            since: self.clock.now(),
            answered: false,
            body_units: ByPart::default(),
            write_blocked_since: None,
            task: None,
        };
        let connection = sync::Arc::new(Connection {
            id,
            registry: self.clone(),
            state: sync::Mutex::new(state),
        });
        let weak = sync::Arc::downgrade(&connection);
        connections.open.insert(id, weak);
        Some(connection)
    }

    /// Closes the connection that has waited longest for its client. One that was
    /// answered before, and then one that is still being answered, comes last.
    fn close_one(&self) -> Result<(), NoneClosed> {
        let mut longest = None;
        for connection in self.open() {
            let state = mutex::lock(&connection.state);
            if state.phase == Phase::Closing {
                return Err(NoneClosed::Closing);
            }
            if !state.phase.awaits_client() {
                continue;
            }
            let rank = (
                state.write_blocked_since.is_some(),
                state.answered,
                state.since,
            );
            drop(state);
            if longest.as_ref().is_none_or(|(other, _)| rank < *other) {
                longest = Some((rank, connection));
            }
        }
        match longest {
            Some((_, connection)) if connection.close_if_waiting() => Ok(()),
            _ => Err(NoneClosed::Busy),
        }
    }

    /// Closes the connections whose clients have exceeded a timeout.
    pub(super) fn close_overdue(&self) {
        let now = self.clock.now();
        let open = self.open();
        for cause in open.iter().filter_map(|each| each.close_if_overdue(now)) {
            self.record_closed(cause);
        }
        let (listener, connections) = (self.limits.listener, open.len());
        self.metrics.inbound_open(listener, connections);
    }

    fn open(&self) -> Vec<sync::Arc<Connection>> {
        let connections = mutex::lock(&self.connections);
        let open = connections.open.values();
        open.filter_map(sync::Weak::upgrade).collect()
    }

    /// Counts a closed connection, and logs the number since the last line.
    pub(super) fn record_closed(&self, cause: Cause) {
        let listener = self.limits.listener;
        self.metrics.inbound_closed(listener, cause.as_str());
        let now = self.clock.now();
        let mut unlogged = mutex::lock(&self.unlogged);
        unlogged.closed += 1;
        let is_due = unlogged
            .logged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        if is_due {
            crate::event!(
                events::process::CONNECTIONS_CLOSED,
                listener = listener,
                cause = cause.as_str(),
                closed = unlogged.closed,
                limit = self.limits.max_connections
            );
            unlogged.closed = 0;
            unlogged.logged_at = Some(now);
        }
    }
}

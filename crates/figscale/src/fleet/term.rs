//! One term of leadership: the scheduler with everything that it talks to.
//!
//! The term owns the scheduler and is its only caller. Calls to workers, the
//! store, the advisory service and peers run as tasks of their own, whose
//! results come back as messages, so nothing here waits for anybody. After each
//! batch of messages the scheduler plans once, and its actions are carried out.

use std::sync;
use std::time;

use figscale_core::fleet::Action;
use figscale_core::fleet::Admission;
use figscale_core::fleet::Config;
use figscale_core::fleet::Question;
use figscale_core::fleet::Records;
use figscale_core::fleet::Scheduler;
use figscale_platform::CallError;
use figscale_platform::advice;
use figscale_platform::store;
use figscale_platform::workers as platform_workers;
use figscale_types::fleet;
use figscale_types::ids;
use indexmap::IndexMap;
use tokio::sync::mpsc;

use super::Context;
use super::advice as adviser;
use super::calls;
use super::calls::LeaderAnswer;
use super::calls::LeaderCall;
use super::election;
use super::keys;
use super::ledger;
use super::outcome;
use super::workers;
use crate::events;
use crate::kernel;
use crate::peer;

/// Name of the term's mailbox.
const SERVICE: &str = "fleet-leader";
/// Messages that wait for the term at most.
const MAX_MESSAGES: usize = 8_192;
/// Time between looks at what only time changes.
const TICK: time::Duration = time::Duration::from_millis(25);
/// Shortest time between two passes of placement; it batches what arrives
/// together and adds this much to a wait at most.
const PLAN_PAUSE: time::Duration = time::Duration::from_millis(4);
/// Shortest time between writes that a caller waits for.
const URGENT_WRITE_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Shortest time between writes that only workers wait for.
const WRITE_PAUSE: time::Duration = time::Duration::from_millis(120);
/// A write that takes longer shows that the store is away.
const SLOW_WRITE: time::Duration = time::Duration::from_millis(400);
/// When a caller should come back after the store was away.
const STORE_RETRY_AFTER_MS: u64 = 1_000;
/// The answer while the store is away.
const STORE_AWAY: LeaderAnswer = LeaderAnswer::StoreAway {
    retry_after_ms: STORE_RETRY_AFTER_MS,
};
/// Pause between writes that try whether the store is back.
const AWAY_WRITE_PAUSE: time::Duration = time::Duration::from_millis(250);
/// An instance that has not greeted for so long is gone.
const MEMBER_SILENCE: time::Duration = time::Duration::from_millis(1_600);
/// A leader without most of its peers for so long gives up.
const OUT_OF_REACH: time::Duration = time::Duration::from_millis(900);
/// Renewals of the leader's lease in one life of it.
const RENEWALS_PER_LEASE: u32 = 4;
/// Pause after a failed read of the records.
const LOAD_PAUSE: time::Duration = time::Duration::from_millis(100);
/// A winner that cannot read the records for so long gives up.
const MAX_LOADING: time::Duration = time::Duration::from_secs(4);

/// How a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    /// Another leader came.
    Deposed,
    /// Most peers could not reach this instance.
    OutOfReach,
    /// A planned stop.
    Leaving,
    /// The records could not be read.
    Failed,
}

/// A call to the leader, with where the answer goes.
pub(super) struct LeaderMessage {
    call: LeaderCall,
    reply: kernel::Reply<LeaderAnswer>,
}

/// What comes back to a term.
pub(super) enum Message {
    /// All workers, as the platform lists them.
    Listing(Vec<fleet::WorkerEntry>),
    /// A worker's report, or why there is none.
    Reported(
        fleet::WorkerId,
        Result<platform_workers::ReportOutcome, CallError>,
    ),
    /// A start was answered, or not.
    StartAnswered {
        worker: fleet::WorkerId,
        task: fleet::TaskId,
        attempt: u32,
        outcome: fleet::StartOutcome,
    },
    /// The advisory service answered, or not.
    Advised(Question, Option<Vec<fleet::Ticket>>),
    /// A write has ended.
    Written(Result<(), ledger::WriteError>, Box<ledger::Ledger>),
    /// The leader's lease has ended at the store.
    LeaseEnded,
    /// A new lease for the leader.
    LeaseGranted(store::LeaseId),
}

/// What a caller waits for.
#[derive(Clone, Copy, Debug)]
enum Awaited {
    /// The record of a new job.
    Submitted(fleet::JobId),
    /// The record of a job's outcome, which is to be told.
    Cancelled(fleet::JobId, fleet::JobState),
}

/// A caller that waits for a write.
struct Waiting {
    reply: kernel::Reply<LeaderAnswer>,
    awaited: Awaited,
}

/// A write on its way.
struct Writing {
    records: Records,
    started: time::Instant,
}

/// An entry instance that greets.
struct Member {
    address: std::net::SocketAddr,
    heard: time::Instant,
}

struct Term {
    context: Context,
    scheduler: Scheduler,
    leader: election::Leader,
    /// Away while a write is on its way.
    ledger: Option<Box<ledger::Ledger>>,
    writing: Option<Writing>,
    last_write: time::Instant,
    waiting: Vec<Waiting>,
    /// The last write was not taken.
    store_away: bool,
    new_lease: Option<store::LeaseId>,
    lease: store::LeaseId,
    workers: workers::Links,
    members: IndexMap<ids::MemberId, Member>,
    most_members: usize,
    alone_since: Option<time::Instant>,
    planned: time::Instant,
    messages: mpsc::Sender<Message>,
    ended: Option<Ended>,
}

/// Answers peers' calls to the leader.
pub(super) fn start(context: &Context, handlers: &mut peer::Handlers) {
    let context = context.clone();
    handlers.on_call(calls::LEADER_SERVICE, move |_from, call: LeaderCall| {
        let context = context.clone();
        async move { Ok(call_here(&context, call).await) }
    });
}

/// Calls the leader in this process.
pub(super) async fn call_here(context: &Context, call: LeaderCall) -> LeaderAnswer {
    if !context.leadership.borrow().leading {
        return LeaderAnswer::NotLeader;
    }
    let Ok(address) = context.kernel.find::<LeaderMessage>(SERVICE) else {
        return LeaderAnswer::NotLeader;
    };
    match address.call(|reply| LeaderMessage { call, reply }).await {
        Ok(answer) => answer,
        Err(kernel::Unavailable::Gone(_)) => LeaderAnswer::Unknown,
        Err(kernel::Unavailable::Full(_)) => LeaderAnswer::Refused {
            retry_after_ms: STORE_RETRY_AFTER_MS,
        },
        Err(kernel::Unavailable::Unknown(_)) => LeaderAnswer::NotLeader,
    }
}

/// Leads until the term is over.
pub(super) async fn lead(context: &Context, won: election::Won) -> Ended {
    let epoch = won.leader.epoch;
    let lease = won.lease;
    let (messages, mut received) = mpsc::channel(MAX_MESSAGES);
    let renewal = tokio::spawn(renew(context.clone(), lease, messages.clone()));
    let scheduler = match load_within_limit(context, epoch).await {
        Ok(scheduler) => scheduler,
        Err(error) => {
            crate::event!(events::fleet::TERM_FAILED, epoch = epoch, error = error);
            renewal.abort();
            let _ = context.store.revoke(lease).await;
            return Ended::Failed;
        }
    };
    let mut inbox = context.kernel.register::<LeaderMessage>(SERVICE);
    let mut term = Term::new(context, won, scheduler, messages);
    context.leadership.send_modify(|known| {
        election::adopt(known, term.leader.clone());
        known.leading = true;
    });
    let counts = term.scheduler.counts(context.clock.now());
    crate::event!(
        events::fleet::TERM_BEGUN,
        epoch = epoch,
        open_jobs = counts.open_jobs,
        workers = counts.workers
    );
    let watching = tokio::spawn(workers::follow(context.clone(), term.messages.clone()));
    let ended = term.run(&mut inbox, &mut received).await;
    watching.abort();
    renewal.abort();
    context
        .leadership
        .send_modify(|known| known.leading = false);
    crate::event!(
        events::fleet::TERM_ENDED,
        epoch = epoch,
        how = format_args!("{ended:?}")
    );
    if ended != Ended::Deposed {
        // Tells the others at once; if it gets lost, the lease ends by itself.
        let _ = context.store.revoke(term.lease).await;
    }
    ended
}

async fn renew(context: Context, first: store::LeaseId, messages: mpsc::Sender<Message>) {
    let pause = time::Duration::from_millis(context.fleet.leader_lease_ms) / RENEWALS_PER_LEASE;
    let mut lease = first;
    loop {
        tokio::time::sleep(pause).await;
        match context.store.renew(lease).await {
            Ok(true) | Err(_) => continue,
            Ok(false) => (),
        }
        if messages.send(Message::LeaseEnded).await.is_err() {
            return;
        }
        let ttl = time::Duration::from_millis(context.fleet.leader_lease_ms);
        if let Ok(granted) = context.store.grant(ttl).await {
            lease = granted;
            if messages.send(Message::LeaseGranted(granted)).await.is_err() {
                return;
            }
        }
    }
}

async fn load_within_limit(context: &Context, epoch: fleet::Epoch) -> Result<Scheduler, CallError> {
    let started = context.clock.now();
    loop {
        let error = match load(context, epoch).await {
            Ok(scheduler) => return Ok(scheduler),
            Err(error) => error,
        };
        if context.clock.now().saturating_duration_since(started) > MAX_LOADING {
            return Err(error);
        }
        tokio::time::sleep(LOAD_PAUSE).await;
    }
}

/// Reads what earlier leaders kept.
async fn load(context: &Context, epoch: fleet::Epoch) -> Result<Scheduler, CallError> {
    let longest = time::Duration::from_millis(context.fleet.max_worker_lease_ms);
    let standard = Config::default();
    let config = Config {
        epoch,
        lease: standard.lease.min(longest),
        stop_limit: time::Duration::from_millis(context.fleet.stop_limit_ms),
        ..standard
    };
    let mut scheduler = Scheduler::new(config);
    let jobs = context.store.list(keys::JOBS).await?;
    let progress = context.store.list(keys::PROGRESS).await?;
    let recorded = context.store.get(keys::WORKERS).await?;
    let now = context.clock.now();
    let wall_ms = context.wall_ms();
    for item in &jobs.items {
        if let Some(id) = keys::job_of(&item.key, keys::JOBS) {
            let loaded = scheduler.load_job(id, &item.value, now, wall_ms);
            log_invalid(&item.key, loaded);
        }
    }
    for item in &progress.items {
        if let Some(id) = keys::job_of(&item.key, keys::PROGRESS) {
            log_invalid(&item.key, scheduler.load_progress(id, &item.value));
        }
    }
    let ids = recorded
        .map(|item| Scheduler::recorded_workers(&item.value))
        .transpose();
    let ids = match ids {
        Ok(ids) => ids.unwrap_or_default(),
        Err(error) => {
            log_invalid(keys::WORKERS, Err(error));
            Vec::new()
        }
    };
    scheduler.begin_recovery(ids, now);
    scheduler.member_joined(&context.me.id);
    Ok(scheduler)
}

fn log_invalid(key: &str, result: Result<(), figscale_core::fleet::RecordError>) {
    if let Err(error) = result {
        crate::event!(events::fleet::RECORD_INVALID, key = key, error = error);
    }
}

impl Term {
    fn new(
        context: &Context,
        won: election::Won,
        scheduler: Scheduler,
        messages: mpsc::Sender<Message>,
    ) -> Self {
        let now = context.clock.now();
        let ledger = ledger::Ledger::new(context.store.clone(), won.head, won.head_revision);
        Self {
            context: context.clone(),
            scheduler,
            workers: workers::Links::new(context, won.leader.epoch, messages.clone()),
            leader: won.leader,
            ledger: Some(Box::new(ledger)),
            writing: None,
            last_write: now,
            waiting: Vec::new(),
            store_away: false,
            new_lease: None,
            lease: won.lease,
            members: IndexMap::new(),
            most_members: 0,
            alone_since: None,
            planned: now,
            messages,
            ended: None,
        }
    }

    async fn run(
        &mut self,
        inbox: &mut kernel::Inbox<LeaderMessage>,
        received: &mut mpsc::Receiver<Message>,
    ) -> Ended {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(message) = received.recv() => self.on_message(message),
                Some(message) = inbox.recv() => self.on_call(message),
                _ = tick.tick() => self.on_tick(),
            }
            while let Ok(message) = received.try_recv() {
                self.on_message(message);
            }
            while let Ok(message) = inbox.try_recv() {
                self.on_call(message);
            }
            self.advance();
            if let Some(ended) = self.ended {
                return ended;
            }
        }
    }

    fn now(&self) -> time::Instant {
        self.context.clock.now()
    }

    /// Plans, carries out what was decided, and writes.
    fn advance(&mut self) {
        let now = self.now();
        if now >= self.planned + PLAN_PAUSE {
            self.planned = now;
            self.scheduler.plan(now);
        }
        for action in self.scheduler.take_actions() {
            self.carry_out(action);
        }
        self.workers.call_due(&mut self.scheduler, now);
        self.write_if_due(now);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start { worker, order } => self.workers.start(worker, order),
            Action::Stop {
                worker,
                task,
                attempt,
            } => self.workers.stop(worker, task, attempt),
            Action::Ask(question) => self.ask(question),
            Action::StepDown => self.ended = Some(Ended::Deposed),
            Action::Tell(note) => outcome::log(&note),
        }
    }

    fn on_tick(&mut self) {
        let now = self.now();
        let wall_ms = self.context.wall_ms();
        self.scheduler.tick(now, wall_ms);
        self.drop_silent_members(now);
        if *self.context.leaving.borrow() && self.writing.is_none() && self.waiting.is_empty() {
            self.ended = Some(Ended::Leaving);
        }
    }

    fn drop_silent_members(&mut self, now: time::Instant) {
        let silent = |member: &Member| now > member.heard + MEMBER_SILENCE;
        let gone: Vec<ids::MemberId> = self
            .members
            .iter()
            .filter(|(_, member)| silent(member))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.members.swap_remove(&id);
            self.scheduler.member_left(&id);
        }
        self.most_members = self.most_members.max(self.members.len());
        let enough = self.members.len() * 2 >= self.most_members;
        if enough {
            self.alone_since = None;
            return;
        }
        let since = *self.alone_since.get_or_insert(now);
        if self.most_members > 1 && now > since + OUT_OF_REACH {
            self.ended = Some(Ended::OutOfReach);
        }
    }

    fn on_message(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Listing(entries) => self.on_listing(entries, now),
            Message::Reported(id, report) => self.on_report(&id, report, now),
            Message::StartAnswered {
                worker,
                task,
                attempt,
                outcome,
            } => {
                self.scheduler
                    .start_answered(&worker, task, attempt, outcome, now);
            }
            Message::Advised(question, good) => {
                self.scheduler.advice_answered(&question, good, now);
            }
            Message::Written(result, ledger) => self.on_written(result, ledger),
            Message::LeaseEnded => {
                crate::event!(events::fleet::LEASE_RENEWED_LATE, epoch = self.leader.epoch);
            }
            Message::LeaseGranted(lease) => {
                self.lease = lease;
                self.new_lease = Some(lease);
            }
        }
    }

    fn on_listing(&mut self, entries: Vec<fleet::WorkerEntry>, now: time::Instant) {
        let listed: indexmap::IndexSet<fleet::WorkerId> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        for id in self.scheduler.listed_workers() {
            if !listed.contains(&id) {
                crate::event!(events::fleet::WORKER_UNLISTED, worker = id);
                self.scheduler.worker_unlisted(&id, now);
            }
        }
        for entry in entries {
            self.on_listed(entry);
        }
    }

    fn on_listed(&mut self, entry: fleet::WorkerEntry) {
        if self.scheduler.is_listed_as(&entry) {
            return;
        }
        crate::event!(
            events::fleet::WORKER_LISTED,
            worker = entry.id,
            address = entry.address,
            draining = entry.draining
        );
        self.workers.add(&entry);
        self.scheduler.worker_listed(entry);
    }

    fn on_report(
        &mut self,
        id: &fleet::WorkerId,
        report: Result<platform_workers::ReportOutcome, CallError>,
        now: time::Instant,
    ) {
        match &report {
            Ok(platform_workers::ReportOutcome::Report(report)) => {
                self.scheduler.worker_reported(id, report, now);
            }
            Ok(platform_workers::ReportOutcome::StaleEpoch) => self.ended = Some(Ended::Deposed),
            Ok(platform_workers::ReportOutcome::OtherLife) => self.scheduler.worker_replaced(id),
            Ok(platform_workers::ReportOutcome::Unhealthy) | Err(_) => (),
        }
        let waits = self.scheduler.has_unacknowledged(id);
        self.workers.reported(id, &report, waits, now);
    }

    fn on_call(&mut self, message: LeaderMessage) {
        let LeaderMessage { call, reply } = message;
        match call {
            LeaderCall::Submit {
                job,
                queue,
                description,
            } => {
                self.on_submit(job, &queue, description, reply);
            }
            LeaderCall::State { job } => match self.told_state(job) {
                Some(state) => reply.send(LeaderAnswer::State(Some(state))),
                None => self.ask_store(job, reply),
            },
            LeaderCall::Cancel { job } => self.on_cancel(job, reply),
            LeaderCall::Pending { queue } => {
                reply.send(LeaderAnswer::Pending(self.scheduler.pending(&queue)));
            }
            LeaderCall::Hello { member, address } => {
                self.on_hello(member, address);
                let peers = self.members.values().map(|member| member.address).collect();
                reply.send(LeaderAnswer::Welcome { peers });
            }
        }
    }

    /// A job that is not in the store yet may still come to nothing.
    fn told_state(&self, job: fleet::JobId) -> Option<fleet::JobState> {
        self.scheduler
            .state(job)
            .filter(|_| self.scheduler.is_stored(job))
    }

    /// Answers for a job that is not known here. A later leader may have taken
    /// it without this one having noticed, so only the store can deny it.
    fn ask_store(&self, job: fleet::JobId, reply: kernel::Reply<LeaderAnswer>) {
        let store = self.context.store.clone();
        tokio::spawn(async move {
            let key = keys::of_record(figscale_core::fleet::RecordKey::Job(job));
            match store.get(&key).await {
                Ok(None) => reply.send(LeaderAnswer::State(None)),
                Ok(Some(_)) | Err(_) => reply.send(LeaderAnswer::Unknown),
            }
        });
    }

    fn on_hello(&mut self, member: ids::MemberId, address: std::net::SocketAddr) {
        let heard = self.now();
        self.scheduler.member_joined(&member);
        self.members.insert(member, Member { address, heard });
        let known = self.members.values().map(|member| member.address);
        self.context.store.set_roster(known.collect());
    }

    /// Whether a job taken now would most likely not be written in time.
    fn store_is_away(&self) -> bool {
        let now = self.now();
        self.store_away
            || self
                .writing
                .as_ref()
                .is_some_and(|writing| now > writing.started + SLOW_WRITE)
    }

    fn on_submit(
        &mut self,
        job: fleet::JobId,
        queue: &fleet::Queue,
        description: fleet::JobDescription,
        reply: kernel::Reply<LeaderAnswer>,
    ) {
        let known = self.scheduler.state(job).is_some();
        if !known && self.store_is_away() {
            let cause = "the store is away";
            crate::event!(
                events::fleet::JOB_REFUSED,
                job = job,
                queue = queue.name,
                cause = cause
            );
            reply.send(STORE_AWAY);
            return;
        }
        let (now, wall_ms) = (self.now(), self.context.wall_ms());
        match self.scheduler.submit(job, queue, description, now, wall_ms) {
            Admission::Known => reply.send(LeaderAnswer::Accepted),
            Admission::Accepted => {
                self.waiting.push(Waiting {
                    reply,
                    awaited: Awaited::Submitted(job),
                });
            }
            Admission::Refused { retry_after } => {
                let retry_after_ms = figscale_types::clock::millis(retry_after);
                crate::event!(
                    events::fleet::JOB_REFUSED,
                    job = job,
                    queue = queue.name,
                    cause = "the work in front of it would last too long",
                    retry_after_ms = retry_after_ms
                );
                reply.send(LeaderAnswer::Refused { retry_after_ms });
            }
        }
    }

    fn on_cancel(&mut self, job: fleet::JobId, reply: kernel::Reply<LeaderAnswer>) {
        let now = self.now();
        match self.scheduler.cancel(job, now) {
            None => self.ask_store(job, reply),
            Some(state) => {
                crate::event!(
                    events::fleet::JOB_CANCELLED,
                    job = job,
                    state = format_args!("{state:?}")
                );
                self.waiting.push(Waiting {
                    reply,
                    awaited: Awaited::Cancelled(job, state),
                });
            }
        }
    }

    fn ask(&self, question: Question) {
        let context = self.context.clone();
        let messages = self.messages.clone();
        let address = self
            .members
            .get(&question.member)
            .map(|member| member.address);
        tokio::spawn(async move {
            let asked = advice::Question {
                task: question.task,
                workers: question.workers.clone(),
            };
            let answer = ask_through(&context, address, &asked, question.expected).await;
            if let Err(error) = &answer {
                crate::event!(
                    events::fleet::ADVICE_FAILED,
                    task = question.task,
                    member = question.member,
                    error = format_args!("{error:#}")
                );
            }
            let _ = messages.send(Message::Advised(question, answer.ok())).await;
        });
    }

    fn write_if_due(&mut self, now: time::Instant) {
        let urgent = !self.waiting.is_empty() || self.scheduler.has_urgent_records();
        let pause = match urgent {
            _ if self.store_away => AWAY_WRITE_PAUSE,
            true => URGENT_WRITE_PAUSE,
            false => WRITE_PAUSE,
        };
        let wanted =
            urgent || self.store_away || self.new_lease.is_some() || self.scheduler.has_records();
        if !wanted || now < self.last_write + pause {
            return;
        }
        let Some(ledger) = self.ledger.take() else {
            return;
        };
        self.last_write = now;
        let records = self.scheduler.take_records(ledger::MAX_RECORDS);
        let lease = self.new_lease.take();
        if records.records.is_empty() && !self.store_away && lease.is_none() {
            // Ends without consequences need no write to be acknowledged.
            self.scheduler.records_written(&records);
            self.ledger = Some(ledger);
            self.answer_waiting();
            return;
        }
        self.spawn_write(ledger, &records, lease);
        self.writing = Some(Writing {
            records,
            started: now,
        });
    }

    fn spawn_write(
        &self,
        mut ledger: Box<ledger::Ledger>,
        records: &Records,
        lease: Option<store::LeaseId>,
    ) {
        let lead = lease.map(|lease| (ledger::encode(&self.leader), lease));
        let records = records.records.clone();
        let clock = self.context.clock.clone();
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let result = ledger.write(&records, lead, &clock).await;
            let _ = messages.send(Message::Written(result, ledger)).await;
        });
    }

    fn on_written(&mut self, result: Result<(), ledger::WriteError>, ledger: Box<ledger::Ledger>) {
        self.ledger = Some(ledger);
        let Some(writing) = self.writing.take() else {
            return;
        };
        match result {
            Ok(()) => {
                self.store_away = false;
                self.scheduler.records_written(&writing.records);
                self.answer_waiting();
            }
            Err(ledger::WriteError::Deposed) => self.ended = Some(Ended::Deposed),
            Err(ledger::WriteError::NotWritten(error)) => {
                crate::event!(events::fleet::RECORDS_NOT_WRITTEN, error = error);
                self.store_away = true;
                self.scheduler.records_not_written(&writing.records);
                self.refuse_waiting();
            }
        }
    }

    /// Answers the callers whose records are in the store now.
    fn answer_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            match waiting.awaited {
                Awaited::Submitted(job) if self.scheduler.is_stored(job) => {
                    waiting.reply.send(LeaderAnswer::Accepted);
                }
                Awaited::Submitted(job) if self.scheduler.state(job).is_none() => {
                    waiting.reply.send(STORE_AWAY);
                }
                Awaited::Cancelled(job, state) if !self.scheduler.is_dirty(job) => {
                    waiting.reply.send(LeaderAnswer::State(Some(state)));
                }
                Awaited::Submitted(_) | Awaited::Cancelled(..) => self.waiting.push(waiting),
            }
        }
    }

    /// Refuses all jobs that are not in the store, whether or not they were
    /// part of the write that failed; cancellations are written later.
    fn refuse_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            match waiting.awaited {
                Awaited::Submitted(job) if self.scheduler.is_stored(job) => {
                    waiting.reply.send(LeaderAnswer::Accepted);
                }
                Awaited::Submitted(job) => {
                    self.scheduler.withdraw(job);
                    waiting.reply.send(STORE_AWAY);
                }
                Awaited::Cancelled(..) => self.waiting.push(waiting),
            }
        }
    }
}

/// Asks through another entry instance, or from here.
async fn ask_through(
    context: &Context,
    address: Option<std::net::SocketAddr>,
    question: &advice::Question,
    expected: time::Duration,
) -> eyre::Result<Vec<fleet::Ticket>> {
    let Some(address) = address else {
        return adviser::ask(context, question, expected).await;
    };
    let expected_ms = figscale_types::clock::millis(expected);
    let timeout = expected * 2 + time::Duration::from_millis(900);
    let service = calls::ADVICE_SERVICE;
    let call = (question, expected_ms);
    Ok(context.peers.call(address, service, &call, timeout).await?)
}

/// The term's mailbox is shared by nothing else.
pub(super) type Messages = mpsc::Sender<Message>;

/// Where a term keeps nothing: settings that links need.
pub(super) fn worker_calls(context: &Context) -> platform_workers::Workers {
    platform_workers::Workers::new(sync::Arc::clone(&context.client), workers::CALL_TIMEOUT)
}

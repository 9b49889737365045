//! One term of leadership: the scheduler and its connections to the store, the
//! workers, the advisory service and peers.
//!
//! The term owns the scheduler and is its only caller. Calls to other processes
//! run as tasks of their own, whose results come back as messages, so the term
//! never blocks on a call. After each batch of messages the scheduler plans once,
//! and its actions are executed.

use std::net;
use std::time;

use figscale_core::fleet as scheduling;
use figscale_core::fleet::Action;
use figscale_core::fleet::Scheduler;
use figscale_platform::store;
use figscale_types::fleet;
use figscale_types::ids;
use indexmap::IndexMap;
use tokio::sync::mpsc;

mod advice;
mod callers;
mod lease;
pub(super) mod load;
mod members;
mod messages;
mod proof;
mod speeds;
mod writes;

pub(super) use members::Heartbeats;

use super::Context;
use super::calls;
use super::calls::LeaderAnswer;
use super::calls::LeaderCall;
use super::config_watch;
use super::decision_log;
use super::election;
use super::heartbeat;
use super::leadership;
use super::ledger;
use super::message::Message;
use super::workers;
use crate::events;
use crate::kernel;
use crate::peer;

/// Name of the term's mailbox in the kernel.
const SERVICE: &str = "fleet-leader";
/// Most messages queued for the term.
const MAX_MESSAGES: usize = 8_192;
/// Time between checks for changes that only the passage of time causes.
const TICK: time::Duration = time::Duration::from_millis(25);
/// Time between updates of the gauges.
const GAUGES_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Shortest time between two placement passes. It batches work that arrives
/// together, and delays it by at most this time.
const PLAN_PAUSE: time::Duration = time::Duration::from_millis(4);
/// A placement pass is followed by at least this many times its own duration
/// without one, so that with little processor capacity the ends of runs and
/// reports are processed in between.
const PLAN_REST_FACTOR: u32 = 3;

/// How a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    /// Another instance leads a later term.
    Deposed,
    /// Most peers could not reach this instance.
    OutOfReach,
    /// A planned stop.
    Leaving,
    /// A clearly stronger instance can lead.
    Yielded,
    /// The records of earlier leaders could not be read.
    Failed,
}

/// A call to the leader, with the channel for the answer.
pub(super) struct LeaderMessage {
    call: LeaderCall,
    reply: kernel::Reply<LeaderAnswer>,
}

/// A term that was won.
pub(in crate::fleet) struct Won {
    /// The heads as the election wrote them.
    pub(in crate::fleet) head: ledger::Head,
    /// Their common revision.
    pub(in crate::fleet) heads_revision: u64,
    pub(in crate::fleet) lease: store::LeaseId,
    pub(in crate::fleet) leader: leadership::Leader,
    /// When the election was sent to the store, since the machine started.
    pub(in crate::fleet) elected_after: time::Duration,
    /// The leader of the term before, unless it has announced its end.
    pub(in crate::fleet) predecessor: Option<ids::MemberId>,
    /// Whether that leader had ruled out all before it.
    pub(in crate::fleet) settled: bool,
    /// Addresses of the other instances before the election, if they were known.
    pub(in crate::fleet) roster: Vec<net::SocketAddr>,
    /// Number of instances before the election.
    pub(in crate::fleet) instances: usize,
}

/// A term in progress.
struct Term {
    context: Context,
    scheduler: Scheduler,
    /// This instance, as recorded under the leader's key.
    leader: leadership::Leader,
    /// Chains without a write in flight.
    idle_chains: Vec<ledger::Chain>,
    /// Writes in flight, by chain number.
    pending_writes: IndexMap<usize, writes::PendingWrite>,
    /// When the last write was sent.
    last_write_sent_at: time::Instant,
    /// When the store last executed a write.
    last_write_executed_at: time::Instant,
    /// Callers that wait for a write.
    waiting_callers: Vec<writes::WaitingCaller>,
    /// The store did not execute the last write that ended.
    store_unavailable: bool,
    /// A lease with which the leader's key is to be written again.
    new_lease: Option<store::LeaseId>,
    /// The leader's current lease.
    lease: store::LeaseId,
    /// Proof that no other instance leads.
    proof: proof::Proof,
    workers: workers::Links,
    /// Instances that send heartbeats; this one is not included.
    members: IndexMap<ids::MemberId, members::Member>,
    /// Whether it has lost contact with most of them.
    isolation: scheduling::Isolation,
    /// Earliest time of the next placement pass.
    next_pass_at: time::Instant,
    /// Version of the configuration from which the scheduler has the customers'
    /// limits; `None` while it has none.
    customers_version: Option<u64>,
    shown_speeds: speeds::Shown,
    /// When the gauges were last updated.
    gauges_updated_at: time::Instant,
    /// The channel for results of calls.
    messages: mpsc::Sender<Message>,
    /// When the term began.
    begun: time::Instant,
    /// The term is being handed over: it ends when no write is in flight.
    closing: bool,
    /// How the term ends once it has been handed over.
    planned_end: Ended,
    /// How the term has ended.
    ended: Option<Ended>,
}

/// Answers peers' calls to the leader.
pub(super) fn start(context: &Context, handlers: &mut peer::Handlers) {
    let context = context.clone();
    handlers.on_call(calls::LEADER_SERVICE, move |_from, call: LeaderCall| {
        let context = context.clone();
        async move { Ok(call_local_leader(&context, call).await) }
    });
}

/// Calls the leader in this process.
pub(super) async fn call_local_leader(context: &Context, call: LeaderCall) -> LeaderAnswer {
    if let LeaderCall::Hello { leader, .. } = &call
        && *leader != context.own_member
    {
        return LeaderAnswer::OtherLife;
    }
    let (leading, beginning) = {
        let known = context.leadership.borrow();
        (known.leading, known.beginning)
    };
    match call {
        LeaderCall::Hello { .. } if leading => return members::answer_heartbeat(context, call),
        LeaderCall::Hello { .. } if beginning => return LeaderAnswer::Beginning,
        _ if !leading => return LeaderAnswer::NotLeader,
        _ => (),
    }
    let Ok(address) = context.kernel.find::<LeaderMessage>(SERVICE) else {
        return LeaderAnswer::NotLeader;
    };
    let job = call.job();
    let Ok(_memory) = context.submissions.try_acquire_many(call.memory_units()) else {
        return overloaded(job);
    };
    match address.call(|reply| LeaderMessage { call, reply }).await {
        Ok(answer) => answer,
        Err(kernel::Unavailable::Gone(_)) => LeaderAnswer::Unknown,
        Err(kernel::Unavailable::Full(_)) => overloaded(job),
        Err(kernel::Unavailable::Unknown(_)) => LeaderAnswer::NotLeader,
    }
}

fn overloaded(job: Option<fleet::JobId>) -> LeaderAnswer {
    let job = job.map_or_else(String::new, |job| job.to_string());
    crate::event!(
        events::fleet::CALL_REJECTED,
        job = job,
        cause = "the leader is overloaded"
    );
    LeaderAnswer::Overloaded
}

/// Leads until the term is over.
pub(super) async fn lead(context: &Context, won: Won, loading: election::Loading) -> Ended {
    let epoch = won.leader.epoch;
    let lease = won.lease;
    let (messages, mut received) = mpsc::channel(MAX_MESSAGES);
    // Before the records are read, which may take longer than a lease lasts: with
    // 94 jobs and a slow store eight winners in a row lost their lease.
    let renewal = tokio::spawn(lease::renew(context.clone(), lease, messages.clone()));
    context
        .leadership
        .send_modify(|known| known.beginning = true);
    // The cause of a failure is logged by the call to the store.
    let loaded = match loading.joined().await {
        Ok(loaded) => Ok(loaded),
        Err(_) => load::load_within_limit(context, epoch).await,
    };
    context
        .leadership
        .send_modify(|known| known.beginning = false);
    let scheduler = match loaded {
        Ok(loaded) => loaded.begin(context),
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
        leadership::record_leader(known, term.leader.clone(), context.clock.now());
        known.leading = true;
    });
    let counts = term.scheduler.counts(context.clock.now());
    crate::event!(
        events::fleet::TERM_BEGUN,
        epoch = epoch,
        open_jobs = counts.open_jobs,
        workers = counts.workers
    );
    let worker_watch = tokio::spawn(workers::follow(context.clone(), term.messages.clone()));
    let ended = term.run(&mut inbox, &mut received).await;
    worker_watch.abort();
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
        hand_over(context, &term).await;
    }
    ended
}

/// Lets another instance lead at once: announces the end of the term with the
/// heads, or, if the heads are not known or no instance has received the
/// announcement, revokes the lease, which removes the leader's key. If that fails
/// too, the lease expires by itself.
async fn hand_over(context: &Context, term: &Term) {
    if let Some(heads) = term.heads()
        && heartbeat::announce_end(context, &term.leader, heads).await
    {
        return;
    }
    let _ = context.store.revoke(term.lease).await;
}

impl Term {
    fn new(
        context: &Context,
        won: Won,
        scheduler: Scheduler,
        messages: mpsc::Sender<Message>,
    ) -> Self {
        let now = context.clock.now();
        let proof = proof::Proof::new(&won, context);
        let chain = |number| {
            let store = context.store.clone();
            let head = won.head.clone();
            ledger::Chain::new(store, number, head, won.heads_revision)
        };
        Self {
            context: context.clone(),
            scheduler,
            workers: workers::Links::new(context, won.leader.epoch, messages.clone()),
            leader: won.leader,
            idle_chains: (0..ledger::CHAINS).map(chain).collect(),
            pending_writes: IndexMap::new(),
            last_write_sent_at: now,
            last_write_executed_at: now,
            waiting_callers: Vec::new(),
            store_unavailable: false,
            new_lease: None,
            lease: won.lease,
            proof,
            members: IndexMap::new(),
            isolation: scheduling::Isolation::default(),
            next_pass_at: now,
            customers_version: None,
            shown_speeds: speeds::Shown::new(&context.kernel),
            gauges_updated_at: now,
            messages,
            begun: now,
            closing: false,
            planned_end: Ended::Leaving,
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
                self.redirect_unproven_calls();
                return ended;
            }
        }
    }

    fn now(&self) -> time::Instant {
        self.context.clock.now()
    }

    /// Passes the customers' limits to the scheduler, or withdraws them while the
    /// configuration is not proven to be in force.
    fn update_customers(&mut self) {
        let proven = config_watch::is_proven(&self.context);
        let table = self.context.queues.borrow().clone();
        let version = (proven && table.version > 0).then_some(table.version);
        if version == self.customers_version {
            return;
        }
        self.customers_version = version;
        match version {
            Some(_) => self.scheduler.set_customers(table.customers.as_ref()),
            None => self.scheduler.forget_customers(),
        }
        crate::event!(
            events::fleet::CUSTOMERS_KNOWN,
            version = version.unwrap_or(0),
            proven = proven
        );
    }

    /// Runs a placement pass if one is due, executes the scheduler's actions, and
    /// sends writes.
    fn advance(&mut self) {
        let now = self.now();
        if !self.apply_proof(now) {
            return;
        }
        self.update_customers();
        if now >= self.next_pass_at && !self.closing {
            self.scheduler.plan(now);
            let planned = self.now();
            let took = planned.saturating_duration_since(now);
            self.next_pass_at = planned + PLAN_PAUSE.max(took * PLAN_REST_FACTOR);
        }
        for action in self.scheduler.take_actions() {
            self.execute(action);
        }
        self.workers.make_due_calls(&mut self.scheduler, now);
        match self.closing {
            true if self.pending_writes.is_empty() => self.ended = Some(self.planned_end),
            true => (),
            false => self.write_if_due(now),
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start { worker, order } => self.workers.start(worker, order),
            Action::Stop {
                worker,
                task,
                attempt,
            } => self.workers.stop(worker, task, attempt),
            Action::QueryAdvice(query) => self.query_advice(query),
            Action::StepDown => self.ended = Some(Ended::Deposed),
            Action::Log(log_entry) => {
                decision_log::count(&self.context.metrics, &log_entry);
                decision_log::log(&log_entry);
            }
        }
    }

    fn on_tick(&mut self) {
        self.detect_pause();
        let now = self.now();
        let wall_ms = self.context.wall_ms();
        self.allow_for_predecessor(now);
        self.scheduler.tick(now, wall_ms);
        self.apply_heartbeats();
        self.drop_unresponsive_members(now);
        self.count_stamps();
        self.renew_proof_if_due();
        self.answer_waiting_callers();
        if now >= self.gauges_updated_at + GAUGES_PAUSE {
            self.gauges_updated_at = now;
            self.update_gauges(now);
        }
        if *self.context.leaving.borrow() && !self.closing {
            self.close(Ended::Leaving);
        }
    }

    /// Begins to hand over: no new calls are accepted and no new writes sent, and
    /// the term ends when the writes in flight have ended. Under load there is
    /// always a write in flight, so otherwise the term would last until the process
    /// ends, and the other instances would notice only then.
    fn close(&mut self, how: Ended) {
        self.closing = true;
        self.planned_end = how;
        self.context
            .leadership
            .send_modify(|known| known.leading = false);
        self.redirect_waiting_callers();
    }

    fn update_gauges(&self, now: time::Instant) {
        let counts = self.scheduler.counts(now);
        let metrics = &self.context.metrics;
        metrics.fleet_state_changed("open_jobs", counts.open_jobs);
        metrics.fleet_state_changed("queued_jobs", counts.queued_jobs);
        metrics.fleet_state_changed("waiting_steps", counts.waiting_steps);
        metrics.fleet_state_changed("turns", self.scheduler.turns());
        metrics.fleet_state_changed("pass_looks", counts.pass_scans);
        metrics.fleet_state_changed("runs", counts.runs);
        metrics.fleet_state_changed("usable_workers", counts.usable_workers);
        metrics.fleet_state_changed("workers", counts.workers);
        metrics.fleet_state_changed("members", self.members.len());
        metrics.fleet_state_changed("cancelled_ids", counts.cancelled_ids);
        let proof_age_ms = usize::try_from(self.proof_age().as_millis());
        let proof_age_ms = proof_age_ms.unwrap_or(usize::MAX);
        metrics.fleet_state_changed("leadership_proof_age_ms", proof_age_ms);
        self.show_speeds(counts.workers);
    }
}

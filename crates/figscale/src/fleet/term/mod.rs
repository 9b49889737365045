//! One term of leadership: the scheduler with everything that it talks to.
//!
//! The term owns the scheduler and is its only caller. Calls to workers, the
//! store, the advisory service and peers run as tasks of their own, whose
//! results come back as messages, so nothing here waits for anybody. After each
//! batch of messages the scheduler plans once, and its actions are carried out.

use std::time;

use figscale_core::fleet::Action;
use figscale_core::fleet::Scheduler;
use figscale_platform::store;
use figscale_types::ids;
use indexmap::IndexMap;
use tokio::sync::mpsc;

mod advice;
mod callers;
mod lease;
pub(super) mod load;
mod members;
mod messages;
mod writes;

pub(super) use members::Greetings;

use super::Context;
use super::calls;
use super::calls::LeaderAnswer;
use super::calls::LeaderCall;
use super::election;
use super::follow;
use super::leadership;
use super::ledger;
use super::membership;
use super::message::Message;
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
/// Time between updates of the gauges.
const COUNT_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Shortest time between two passes of placement; it batches what arrives
/// together and adds this much to a wait at most.
const PLAN_PAUSE: time::Duration = time::Duration::from_millis(4);
/// A pass that took long is followed by so many times its own time without one:
/// with little processor left, ends and reports are taken in meanwhile.
const PLAN_REST: u32 = 3;

/// How a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    /// Another leader came.
    Deposed,
    /// Most peers could not reach this instance.
    OutOfReach,
    /// A planned stop.
    Leaving,
    /// A clearly stronger instance can lead.
    Yielded,
    /// The records could not be read.
    Failed,
}

/// A call to the leader, with where the answer goes.
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
}

/// A term in progress.
struct Term {
    context: Context,
    scheduler: Scheduler,
    /// This instance, as its key names it.
    leader: leadership::Leader,
    /// Chains without a write on its way.
    idle: Vec<ledger::Ledger>,
    /// Writes on their way, by chain.
    writing: IndexMap<usize, writes::Writing>,
    /// When a write was last begun.
    last_write: time::Instant,
    /// When a write was last taken by the store.
    last_written: time::Instant,
    /// Callers that wait for a write.
    waiting: Vec<writes::Waiting>,
    /// The last write was not taken.
    store_away: bool,
    /// A lease under which the leader's key is to be written anew.
    new_lease: Option<store::LeaseId>,
    /// The lease that the leader's key lives by.
    lease: store::LeaseId,
    workers: workers::Links,
    /// Instances that greet, this one not among them.
    members: IndexMap<ids::MemberId, members::Member>,
    /// Most that have greeted at the same time.
    most_members: usize,
    /// Since when fewer than half of these greet.
    alone_since: Option<time::Instant>,
    /// When placement may run again.
    next_plan: time::Instant,
    /// Version of the configuration whose customers the scheduler knows.
    customers_version: Option<u64>,
    /// When the gauges were last updated.
    counted: time::Instant,
    /// Where results of calls come back.
    messages: mpsc::Sender<Message>,
    /// When the term began.
    begun: time::Instant,
    /// Handing over, and how the term ends when that is done.
    closing: bool,
    closes_as: Ended,
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
    if let LeaderCall::Hello { leader, .. } = &call
        && *leader != context.me
    {
        return LeaderAnswer::OtherLife;
    }
    let (leading, beginning) = {
        let known = context.leadership.borrow();
        (known.leading, known.beginning)
    };
    match call {
        LeaderCall::Hello { .. } if leading => return members::welcome(context, call),
        LeaderCall::Hello { .. } if beginning => return LeaderAnswer::Beginning,
        _ if !leading => return LeaderAnswer::NotLeader,
        _ => (),
    }
    let Ok(address) = context.kernel.find::<LeaderMessage>(SERVICE) else {
        return LeaderAnswer::NotLeader;
    };
    let job = call.job();
    match address.call(|reply| LeaderMessage { call, reply }).await {
        Ok(answer) => answer,
        Err(kernel::Unavailable::Gone(_)) => LeaderAnswer::Unknown,
        Err(kernel::Unavailable::Full(_)) => {
            let job = job.map_or_else(String::new, |job| job.to_string());
            crate::event!(
                events::fleet::CALL_REJECTED,
                job = job,
                cause = "the leader is overloaded"
            );
            LeaderAnswer::Overloaded
        }
        Err(kernel::Unavailable::Unknown(_)) => LeaderAnswer::NotLeader,
    }
}

/// Leads until the term is over.
pub(super) async fn lead(context: &Context, won: Won, loading: election::Loading) -> Ended {
    let epoch = won.leader.epoch;
    let lease = won.lease;
    let (messages, mut received) = mpsc::channel(MAX_MESSAGES);
    // First, since the records may take longer to read than a lease lasts: with
    // 94 jobs beside a slow store eight winners in a row lost theirs.
    let renewal = tokio::spawn(lease::renew(context.clone(), lease, messages.clone()));
    context
        .leadership
        .send_modify(|known| known.beginning = true);
    // The reason is logged where the store is called.
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
        leadership::adopt(known, term.leader.clone());
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
        give_way(context, &term).await;
    }
    ended
}

/// Lets the others lead at once; if they hear nothing, the lease ends by
/// itself.
async fn give_way(context: &Context, term: &Term) {
    if let Some(heads) = term.heads()
        && membership::tell_end(context, &term.leader, heads).await
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
        let chain = |number| {
            let store = context.store.clone();
            let head = won.head.clone();
            ledger::Ledger::new(store, number, head, won.heads_revision)
        };
        Self {
            context: context.clone(),
            scheduler,
            workers: workers::Links::new(context, won.leader.epoch, messages.clone()),
            leader: won.leader,
            idle: (0..ledger::CHAINS).map(chain).collect(),
            writing: IndexMap::new(),
            last_write: now,
            last_written: now,
            waiting: Vec::new(),
            store_away: false,
            new_lease: None,
            lease: won.lease,
            members: IndexMap::new(),
            most_members: 0,
            alone_since: None,
            next_plan: now,
            customers_version: None,
            counted: now,
            messages,
            begun: now,
            closing: false,
            closes_as: Ended::Leaving,
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

    /// Tells the scheduler what customers may have running; nothing while that is
    /// not proven to be in force.
    fn follow_customers(&mut self) {
        let proven = follow::is_proven(&self.context);
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

    /// Plans, carries out what was decided, and writes.
    fn advance(&mut self) {
        let now = self.now();
        self.follow_customers();
        if now >= self.next_plan && !self.closing {
            self.scheduler.plan(now);
            let planned = self.now();
            let took = planned.saturating_duration_since(now);
            self.next_plan = planned + PLAN_PAUSE.max(took * PLAN_REST);
        }
        for action in self.scheduler.take_actions() {
            self.carry_out(action);
        }
        self.workers.call_due(&mut self.scheduler, now);
        match self.closing {
            true if self.writing.is_empty() => self.ended = Some(self.closes_as),
            true => (),
            false => self.write_if_due(now),
        }
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
            Action::Tell(note) => {
                outcome::count(&self.context.metrics, &note);
                outcome::log(&note);
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.now();
        let wall_ms = self.context.wall_ms();
        self.scheduler.tick(now, wall_ms);
        self.take_in_greetings();
        self.drop_silent_members(now);
        if now >= self.counted + COUNT_PAUSE {
            self.counted = now;
            self.count(now);
        }
        if *self.context.leaving.borrow() && !self.closing {
            self.close(Ended::Leaving);
        }
    }

    /// Begins to hand over: nothing new is taken or written, and the term ends
    /// with the writes that are on their way. Under load there is always one, so
    /// without this the term would go on until the process ends, and the others
    /// would find out only then.
    fn close(&mut self, how: Ended) {
        self.closing = true;
        self.closes_as = how;
        self.context
            .leadership
            .send_modify(|known| known.leading = false);
        self.send_on_waiting();
    }

    fn count(&self, now: time::Instant) {
        let counts = self.scheduler.counts(now);
        let metrics = &self.context.metrics;
        metrics.fleet_knows("open_jobs", counts.open_jobs);
        metrics.fleet_knows("queued_jobs", counts.queued_jobs);
        metrics.fleet_knows("waiting_steps", counts.waiting_steps);
        metrics.fleet_knows("pass_looks", counts.pass_looks);
        metrics.fleet_knows("runs", counts.runs);
        metrics.fleet_knows("usable_workers", counts.usable_workers);
        metrics.fleet_knows("workers", counts.workers);
        metrics.fleet_knows("members", self.members.len());
    }
}

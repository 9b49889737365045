//! The service on the control thread: homes, placer, and what goes between.

use std::time;

use figscale_core::job::home;
use figscale_core::job::message;
use figscale_core::job::placer;
use figscale_types::catalogue;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::jobs;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::mpsc;

use super::Message;
use super::PeerQuestion;
use super::calls;
use super::submit;
use super::wire;
use crate::events;
use crate::kernel;
use crate::state;

/// Time between looks at what became due.
const TICK: time::Duration = time::Duration::from_millis(25);
/// Time between reports of what owners use here to the other placers.
const TELL_USAGE: time::Duration = time::Duration::from_secs(1);
/// Messages dealt with before the machines are polled.
const BATCH: usize = 256;
/// Prefix of worker shards.
const WORKER_PREFIX: &str = "worker/";
/// Prefix of job shards.
const JOB_PREFIX: &str = "job/";

/// Who waits for a home's answer.
enum Asker {
    Local(kernel::Reply<super::JobResult>),
    Peer(kernel::Reply<wire::Answer>),
}

impl Asker {
    fn answer(self, result: super::JobResult) {
        match self {
            Self::Local(reply) => reply.send(result),
            Self::Peer(reply) => reply.send(wire::Answer::Job(result)),
        }
    }
}

/// An asker and the home that it waits for.
struct Waiting {
    home: message::HomeKey,
    asker: Asker,
}

/// A shard that is being given up.
struct Draining {
    shard: ids::ShardId,
    reply: kernel::Reply<kernel::Drained>,
}

/// The homes and the placer of this process.
struct Service {
    context: state::Context,
    me: ids::MemberKey,
    calls: calls::Calls,
    home_config: home::Config,
    placer: placer::Placer,
    homes: IndexMap<ids::ShardId, home::Home>,
    askers: IndexMap<home::Ticket, Waiting>,
    next_ticket: u64,
    /// When peers were last told what owners use here.
    usage_told_at: Option<time::Instant>,
    /// Tasks found running twice that were logged.
    duplicates_told: u64,
    /// Peers as of the last claims.
    peers: IndexSet<ids::MemberId>,
    draining: Vec<Draining>,
}

/// Runs the service until the process ends.
pub(super) async fn run(context: state::Context, mut inbox: kernel::Inbox<Message>) {
    let (sender, mut done) = mpsc::unbounded_channel();
    let mut claims = context.shared.claims.subscribe();
    let mut catalogue = context.shared.catalogue.subscribe();
    let mut service = Service::new(&context, sender);
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    service.on_claims();
    service.on_catalogue();
    loop {
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => service.on_message(message),
                None => return,
            },
            result = done.recv() => match result {
                Some(result) => service.on_done(result),
                None => return,
            },
            changed = claims.changed() => match changed {
                Ok(()) => service.on_claims(),
                Err(_) => return,
            },
            changed = catalogue.changed() => match changed {
                Ok(()) => service.on_catalogue(),
                Err(_) => return,
            },
            _ = tick.tick() => {}
        }
        for _ in 0..BATCH {
            if let Ok(message) = inbox.try_recv() {
                service.on_message(message);
            } else if let Ok(result) = done.try_recv() {
                service.on_done(result);
            } else {
                break;
            }
        }
        service.poll();
    }
}

impl Service {
    fn new(context: &state::Context, done: mpsc::UnboundedSender<calls::Done>) -> Self {
        let settings = &context.settings.jobs;
        let millis = time::Duration::from_millis;
        let placer_config = placer::Config {
            lease: millis(settings.lease_ms),
            renew: millis(settings.renew_ms),
            window: millis(settings.window_ms),
            margin: millis(settings.margin_ms),
            ..placer::Config::default()
        };
        let home_config = home::Config {
            write_every: millis(settings.write_every_ms),
            keep_ended_ms: settings.keep_ended_ms,
            vanish: 3 * placer_config.lapse_time(),
            ..home::Config::default()
        };
        Self {
            me: context.me(),
            calls: calls::Calls::new(context, placer_config.window, done),
            context: context.clone(),
            home_config,
            placer: placer::Placer::new(placer_config),
            homes: IndexMap::new(),
            askers: IndexMap::new(),
            next_ticket: 0,
            usage_told_at: None,
            duplicates_told: 0,
            peers: IndexSet::new(),
            draining: Vec::new(),
        }
    }

    fn now(&self) -> home::Now {
        let wall = self.context.clock.wall();
        let since = wall.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        home::Now {
            at: self.context.clock.now(),
            unix_ms: clock::millis(since),
        }
    }

    fn valid_until(&self) -> time::Instant {
        self.context.shared.authority.valid_until()
    }

    fn on_catalogue(&mut self) {
        let accepted = self.context.shared.catalogue_now();
        self.placer.set_catalogue(&accepted.catalogue);
        for home in self.homes.values_mut() {
            home.set_weights(owner_weights(&accepted.catalogue));
        }
    }

    /// Takes over which shards are held here, and by whom the others are.
    fn on_claims(&mut self) {
        let now = self.now();
        let view = self.context.shared.claims_now();
        let mut held = IndexMap::new();
        for (id, shard) in &view.held {
            if id.as_str().starts_with(WORKER_PREFIX) {
                let workers = view.by_shard.get(id).cloned().unwrap_or_default();
                let shard = placer::HeldShard {
                    epoch: shard.epoch,
                    last_foreign_dispatch: shard.last_foreign_dispatch,
                    workers,
                };
                held.insert(id.clone(), shard);
            }
        }
        self.placer.set_shards(now.at, &held);
        self.forget_peers(&view);
        self.take_homes(&view);
        let holders = holders(&view);
        for home in self.homes.values_mut() {
            home.set_shards(now, &self.me, &holders);
        }
        for (id, shard) in &view.claims.shards {
            if id.as_str().starts_with(JOB_PREFIX) {
                self.placer.note_home(&message::HomeKey {
                    shard: id.clone(),
                    epoch: shard.epoch,
                });
            }
        }
    }

    /// What owners used at a member that is gone is no more counted.
    fn forget_peers(&mut self, view: &state::ClaimsView) {
        let members: IndexSet<_> = view.claims.members.keys().cloned().collect();
        for gone in self.peers.difference(&members) {
            self.placer.remove_peer(gone);
        }
        self.peers = members;
    }

    /// Tells the other placers what owners use here, for their quotas.
    fn tell_usage(&mut self, now: home::Now) {
        let due = |told| now.at >= told + TELL_USAGE;
        if !self.usage_told_at.is_none_or(due) {
            return;
        }
        self.usage_told_at = Some(now.at);
        let view = self.context.shared.claims_now();
        let others = view.claims.members.iter();
        let others = others.filter(|(id, _)| **id != self.me.id);
        let addresses = others.map(|(_, member)| member.peer_address).collect();
        let usage = self.placer.usage().into_iter().collect();
        self.calls.tell_usage(addresses, usage);
    }

    fn take_homes(&mut self, view: &state::ClaimsView) {
        let me = &self.me;
        self.homes.retain(|id, home| {
            let epoch = home.key().epoch;
            let used = view.held.get(id).is_some_and(|held| held.epoch == epoch);
            // Out of use but not another's: authority is away for a moment, or
            // it is about to be drained and has a last write to make.
            let known = view.claims.shards.get(id);
            let mine = known.is_some_and(|s| s.holder.as_ref() == Some(me) && s.epoch == epoch);
            home.pause(!used);
            let kept = used || mine;
            if !kept {
                crate::event!(events::jobs::JOB_HOME_LOST, shard = id);
            }
            kept
        });
        self.answer_orphans();
        for (id, held) in &view.held {
            if !id.as_str().starts_with(JOB_PREFIX) || self.homes.contains_key(id) {
                continue;
            }
            crate::event!(events::jobs::JOB_HOME_TAKEN, shard = id, epoch = held.epoch);
            let key = message::HomeKey {
                shard: id.clone(),
                epoch: held.epoch,
            };
            let mut home = home::Home::new(self.home_config, key);
            let accepted = self.context.shared.catalogue_now();
            home.set_weights(owner_weights(&accepted.catalogue));
            self.homes.insert(id.clone(), home);
        }
    }

    /// Whoever waits for a home that is no more here is told at once.
    fn answer_orphans(&mut self) {
        let waiting = std::mem::take(&mut self.askers);
        for (ticket, waiting) in waiting {
            let home = self.homes.get(&waiting.home.shard);
            if home.is_some_and(|home| *home.key() == waiting.home) {
                self.askers.insert(ticket, waiting);
                continue;
            }
            let verdict = figscale_types::verdict::Verdict::MayHaveRun;
            waiting.asker.answer(Err(calls::unreachable_home(verdict)));
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Submit(id, spec, reply) => self.submit(id, spec, reply),
            Message::Status(id, reply) => {
                let question = wire::Question::Status(id.clone());
                self.route(&id, question, reply);
            }
            Message::Cancel(id, reply) => {
                let question = wire::Question::Cancel(id.clone());
                self.route(&id, question, reply);
            }
            Message::List(owner, reply) => {
                let view = self.context.shared.claims_now();
                let homes = other_homes(&view, &self.me);
                let own = self.list(owner.as_ref());
                self.calls.list(own, homes, owner, reply);
            }
            Message::Peer(asked) => self.on_peer(asked),
            Message::Drain(shard, reply) => self.drain(shard, reply),
            Message::Report(reply) => {
                self.report();
                reply.send(());
            }
            Message::Dump(reply) => reply.send(self.dump()),
        }
    }

    fn submit(
        &mut self,
        id: ids::JobId,
        spec: jobs::JobSpec,
        reply: kernel::Reply<super::JobResult>,
    ) {
        match submit::check(&self.context.shared, &spec) {
            Ok(terms) => {
                let question = wire::Question::Submit(id.clone(), spec, terms);
                self.route(&id, question, reply);
            }
            Err(error) => reply.send(Err(error)),
        }
    }

    /// Asks the home of a job, here or at a peer.
    fn route(
        &mut self,
        id: &ids::JobId,
        question: wire::Question,
        reply: kernel::Reply<super::JobResult>,
    ) {
        let not_here = calls::unreachable_home(figscale_types::verdict::Verdict::NotRun);
        let Some(shard) = jobs::shard_of(id) else {
            return reply.send(Err(not_here));
        };
        if self.homes.contains_key(&shard) {
            return self.ask_home(&shard, question, Asker::Local(reply));
        }
        let view = self.context.shared.claims_now();
        match view.holder(&shard) {
            Some((key, member)) if *key != self.me => {
                self.calls.forward(member.peer_address, question, reply);
            }
            _ => reply.send(Err(not_here)),
        }
    }

    fn ask_home(&mut self, shard: &ids::ShardId, question: wire::Question, asker: Asker) {
        let now = self.now();
        let Some(home) = self.homes.get_mut(shard) else {
            let verdict = figscale_types::verdict::Verdict::NotRun;
            return asker.answer(Err(calls::unreachable_home(verdict)));
        };
        self.next_ticket += 1;
        let ticket = home::Ticket(self.next_ticket);
        match question {
            wire::Question::Submit(id, spec, terms) => {
                let waiting = Waiting {
                    home: home.key().clone(),
                    asker,
                };
                self.askers.insert(ticket, waiting);
                home.submit(now, ticket, home::Submission { id, spec, terms });
            }
            wire::Question::Cancel(id) => {
                let waiting = Waiting {
                    home: home.key().clone(),
                    asker,
                };
                self.askers.insert(ticket, waiting);
                home.cancel(now, ticket, &id);
            }
            wire::Question::Status(id) => asker.answer(home.status(&id)),
            wire::Question::Core(_) | wire::Question::List(_) | wire::Question::Usage(_) => {}
        }
    }

    fn on_peer(&mut self, asked: PeerQuestion) {
        let PeerQuestion {
            from,
            question,
            reply,
        } = asked;
        let job = match &question {
            wire::Question::Core(core) => {
                let answer = self.on_core(&from, core.clone());
                return reply.send(wire::Answer::Core(answer));
            }
            wire::Question::List(owner) => {
                return reply.send(wire::Answer::List(self.list(owner.as_ref())));
            }
            wire::Question::Usage(usage) => {
                let usage = usage.iter().cloned().collect();
                self.placer.set_peer_usage(from.id, usage);
                return reply.send(wire::Answer::Noted);
            }
            wire::Question::Submit(id, ..)
            | wire::Question::Status(id)
            | wire::Question::Cancel(id) => id,
        };
        // An unknown shard is answered like one that is held elsewhere.
        let Some(shard) = jobs::shard_of(job) else {
            return;
        };
        self.ask_home(&shard, question, Asker::Peer(reply));
    }

    fn on_core(&mut self, from: &ids::MemberKey, question: message::Question) -> message::Answer {
        let now = self.now();
        if let message::Question::Tell(shard, events) = question {
            let Some(home) = self.homes.get_mut(&shard) else {
                return message::Answer::NotHere;
            };
            home.on_tell(now, from, &events);
            return message::Answer::Noted;
        }
        self.placer.answer(now.at, self.valid_until(), question)
    }

    fn list(&self, owner: Option<&ids::OwnerName>) -> Vec<(u64, jobs::JobStatus)> {
        self.homes
            .values()
            .flat_map(|home| home.list(owner))
            .collect()
    }

    fn on_done(&mut self, done: calls::Done) {
        let now = self.now();
        match done {
            calls::Done::Start(target, attempt, outcome) => {
                self.placer.on_start(now.at, &target, &attempt, outcome);
            }
            calls::Done::Report(done) => match &done.report {
                Some(report) => {
                    let forgotten = &done.forgotten;
                    self.placer
                        .on_report(now.at, &done.target, done.asked_at, forgotten, report);
                }
                None => self.placer.on_no_report(&done.target, done.asked_at),
            },
            calls::Done::Call(done) => {
                let home = self.homes.get_mut(&done.home.shard);
                if let Some(home) = home.filter(|home| *home.key() == done.home) {
                    home.on_call(now, &done.placer, done.asked_at, done.question, done.result);
                }
            }
            calls::Done::Told(events, true) => self.placer.on_told(&events),
            calls::Done::Told(_, false) => {}
            calls::Done::Read(key, outcome) => {
                if let Some(home) = self.home_of(&key) {
                    home.on_read(now, outcome);
                }
            }
            calls::Done::Write(key, outcome) => {
                if let Some(home) = self.home_of(&key) {
                    home.on_write(now, outcome);
                }
            }
        }
    }

    fn home_of(&mut self, key: &message::HomeKey) -> Option<&mut home::Home> {
        let home = self.homes.get_mut(&key.shard)?;
        (home.key() == key).then_some(home)
    }

    fn poll(&mut self) {
        let now = self.now();
        let mut actions = Vec::new();
        for home in self.homes.values_mut() {
            let key = home.key().clone();
            actions.extend(
                home.poll(now)
                    .into_iter()
                    .map(|action| (key.clone(), action)),
            );
        }
        for (key, action) in actions {
            self.carry_out_home(key, action);
        }
        let valid_until = self.valid_until();
        for action in self.placer.poll(now.at, valid_until) {
            self.carry_out_placer(now, action);
        }
        self.tell_duplicates();
        self.finish_drains();
        self.tell_usage(now);
    }

    /// Logs tasks that were found running although they have room elsewhere.
    fn tell_duplicates(&mut self) {
        let found = self.placer.duplicates();
        if found > self.duplicates_told {
            crate::event!(
                events::jobs::TASK_DUPLICATE,
                tasks = found - self.duplicates_told
            );
            self.duplicates_told = found;
        }
    }

    fn carry_out_home(&mut self, key: message::HomeKey, action: home::Action) {
        match action {
            home::Action::Read => self.calls.read(key),
            home::Action::Write(call) => self.calls.write(key, call),
            home::Action::Answer(ticket, outcome) => {
                if let Some(waiting) = self.askers.swap_remove(&ticket) {
                    waiting.asker.answer(*outcome);
                }
            }
            home::Action::Call(placer, question) if placer == self.me => {
                let asked_at = self.context.clock.now();
                let me = self.me.clone();
                let answer = self.on_core(&me, question.clone());
                self.calls.done(calls::Done::Call(calls::CallDone {
                    home: key,
                    placer,
                    asked_at,
                    question,
                    result: Ok(answer),
                }));
            }
            home::Action::Call(placer, question) => {
                let view = self.context.shared.claims_now();
                let member = view.claims.members.get(&placer.id);
                let member = member.filter(|member| member.incarnation == placer.incarnation);
                let address = member.map(|member| member.peer_address);
                self.calls.ask_placer(key, placer, address, question);
            }
        }
    }

    fn carry_out_placer(&mut self, now: home::Now, action: placer::Action) {
        match action {
            placer::Action::Start(call) => {
                self.context.metrics.task_start_sent();
                self.calls.start(call);
            }
            placer::Action::Renew(call) => self.calls.renew(now.at, call),
            placer::Action::Act(call) => self.calls.act(now.at, call),
            placer::Action::Tell(shard, events) => self.tell(now, shard, events),
        }
    }

    fn tell(&mut self, now: home::Now, shard: ids::ShardId, events: Vec<message::TaskEvent>) {
        if let Some(home) = self.homes.get_mut(&shard) {
            home.on_tell(now, &self.me, &events);
            return self.calls.done(calls::Done::Told(events, true));
        }
        let view = self.context.shared.claims_now();
        if let Some((_, member)) = view.holder(&shard) {
            self.calls.tell_home(member.peer_address, shard, events);
        }
    }

    fn drain(&mut self, shard: ids::ShardId, reply: kernel::Reply<kernel::Drained>) {
        if shard.as_str().starts_with(WORKER_PREFIX) {
            self.placer.drain(&shard);
        } else if let Some(home) = self.homes.get_mut(&shard) {
            home.drain();
        }
        self.draining.push(Draining { shard, reply });
    }

    fn finish_drains(&mut self) {
        let draining = std::mem::take(&mut self.draining);
        for drain in draining {
            let drained = match self.homes.get(&drain.shard) {
                Some(home) => home.is_drained(),
                None => self.placer.is_drained(&drain.shard),
            };
            match drained {
                true => drain.reply.send(kernel::Drained::Clean),
                false => self.draining.push(drain),
            }
        }
    }

    fn report(&self) {
        let queued = self.homes.values().map(|home| home.len().1).sum();
        let metrics = &self.context.metrics;
        metrics.tasks_changed(self.placer.active(), queued);
    }

    fn dump(&self) -> serde_json::Value {
        let homes: serde_json::Map<_, _> = self
            .homes
            .iter()
            .map(|(id, home)| {
                let (jobs, queued) = home.len();
                let line = serde_json::json!({
                    "epoch": home.key().epoch,
                    "jobs": jobs,
                    "queued": queued,
                    "writes": home.writes(),
                    "recovered": home.is_recovered(),
                });
                (id.to_string(), line)
            })
            .collect();
        let workers: serde_json::Map<_, _> = self
            .placer
            .cluster()
            .workers()
            .map(|worker| {
                let line = serde_json::json!({
                    "capacity": worker.capacity(),
                    "counted": worker.counted(),
                    "takes_work": worker.takes_work(),
                });
                (worker.id().to_string(), line)
            })
            .collect();
        serde_json::json!({
            "homes": homes,
            "workers": workers,
            "active_tasks": self.placer.active(),
            "duplicates": self.placer.duplicates(),
        })
    }
}

/// The weights of owners among each other.
fn owner_weights(catalogue: &catalogue::Catalogue) -> IndexMap<ids::OwnerName, u32> {
    let owners = catalogue.owners.iter();
    owners
        .map(|(name, owner)| (name.clone(), owner.weight))
        .collect()
}

/// The worker shards with their holders.
fn holders(view: &state::ClaimsView) -> IndexMap<ids::ShardId, home::ShardHolder> {
    view.claims
        .shards
        .iter()
        .filter(|(id, _)| id.as_str().starts_with(WORKER_PREFIX))
        .map(|(id, shard)| {
            let holder = home::ShardHolder {
                holder: shard.holder.clone(),
                epoch: shard.epoch,
            };
            (id.clone(), holder)
        })
        .collect()
}

/// Where the other homes of jobs are.
fn other_homes(view: &state::ClaimsView, me: &ids::MemberKey) -> Vec<std::net::SocketAddr> {
    let homes: IndexSet<_> = view
        .claims
        .shards
        .keys()
        .filter(|id| id.as_str().starts_with(JOB_PREFIX))
        .filter_map(|id| view.holder(id))
        .filter(|(key, _)| *key != me)
        .map(|(_, member)| member.peer_address)
        .collect();
    homes.into_iter().collect()
}

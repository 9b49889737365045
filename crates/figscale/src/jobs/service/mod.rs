//! The service on the control thread: homes, placer, and what goes between.

use std::time;

use figscale_core::job::home;
use figscale_core::job::message;
use figscale_core::job::placer;
use figscale_types::clock;
use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::mpsc;

mod asks;
mod dump;
mod view;

use super::Message;
use super::calls;
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
}

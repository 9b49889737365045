//! The event loop of the jobs service, which runs on the control thread.
//!
//! It passes messages, results of calls and changes of claims and catalogue to
//! the homes and the placer, polls them, and executes the actions they return.

use std::time;

use figscale_core::job::home;
use figscale_core::job::message;
use figscale_core::job::placer;
use figscale_types::clock;
use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::mpsc;

mod dump;
mod requests;
mod view;

use super::Message;
use super::calls;
use super::wire;
use crate::events;
use crate::kernel;
use crate::state;

/// Interval at which homes and placer are polled for due work.
const TICK: time::Duration = time::Duration::from_millis(25);
/// Interval of usage reports to the other placers.
const USAGE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Most messages handled in one go before homes and placer are polled.
const BATCH: usize = 256;
/// Prefix of worker shards.
const WORKER_PREFIX: &str = "worker/";
/// Prefix of job shards.
const JOB_PREFIX: &str = "job/";

/// A caller that waits for the answer of a home.
enum Caller {
    Local(kernel::Reply<super::JobResult>),
    Peer(kernel::Reply<wire::Answer>),
}

impl Caller {
    fn answer(self, result: super::JobResult) {
        match self {
            Self::Local(reply) => reply.send(result),
            Self::Peer(reply) => reply.send(wire::Answer::Job(result)),
        }
    }
}

/// A caller and the home that it waits for.
struct PendingCall {
    home: message::HomeKey,
    caller: Caller,
}

/// A shard that is being drained.
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
    callers: IndexMap<home::ReplyTo, PendingCall>,
    next_ticket: u64,
    /// When usage was last sent to peers.
    usage_sent_at: Option<time::Instant>,
    /// Number of duplicate tasks logged so far.
    duplicates_logged: u64,
    /// Members of the cell in the last claims.
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
                Some(result) => service.on_call_result(result),
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
                service.on_call_result(result);
            } else {
                break;
            }
        }
        service.poll();
    }
}

impl Service {
    fn new(context: &state::Context, done: mpsc::UnboundedSender<calls::CallResult>) -> Self {
        let settings = &context.settings.jobs;
        let millis = time::Duration::from_millis;
        let placer_config = placer::Config {
            lease: millis(settings.lease_ms),
            renew: millis(settings.renew_ms),
            dispatch_window: millis(settings.window_ms),
            margin: millis(settings.margin_ms),
            ..placer::Config::default()
        };
        let home_config = home::Config {
            write_interval: millis(settings.write_every_ms),
            keep_ended_ms: settings.keep_ended_ms,
            removed_shard_lapse: 3 * placer_config.lapse_time(),
            ..home::Config::default()
        };
        Self {
            me: context.me(),
            calls: calls::Calls::new(context, placer_config.dispatch_window, done),
            context: context.clone(),
            home_config,
            placer: placer::Placer::new(placer_config),
            homes: IndexMap::new(),
            callers: IndexMap::new(),
            next_ticket: 0,
            usage_sent_at: None,
            duplicates_logged: 0,
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
            self.execute_home_action(key, action);
        }
        let valid_until = self.valid_until();
        for action in self.placer.poll(now.at, valid_until) {
            self.execute_placer_action(now, action);
        }
        self.log_duplicates();
        self.finish_drains();
        self.send_usage(now);
    }

    /// Logs tasks that were found running although their resources are reserved
    /// on another worker, or a later attempt is known.
    fn log_duplicates(&mut self) {
        let found = self.placer.duplicates();
        if found > self.duplicates_logged {
            crate::event!(
                events::jobs::TASK_DUPLICATE,
                tasks = found - self.duplicates_logged
            );
            self.duplicates_logged = found;
        }
    }

    fn execute_home_action(&mut self, key: message::HomeKey, action: home::Action) {
        match action {
            home::Action::Read => self.calls.read(key),
            home::Action::Write(call) => self.calls.write(key, call),
            home::Action::Answer(ticket, outcome) => {
                if let Some(pending) = self.callers.swap_remove(&ticket) {
                    pending.caller.answer(*outcome);
                }
            }
            home::Action::Call(placer, question) if placer == self.me => {
                let sent_at = self.context.clock.now();
                let me = self.me.clone();
                let answer = self.on_core(&me, question.clone());
                self.calls
                    .send_result(calls::CallResult::Call(calls::PlacerCallResult {
                        home: key,
                        placer,
                        sent_at,
                        question,
                        result: Ok(answer),
                    }));
            }
            home::Action::Call(placer, question) => {
                let view = self.context.shared.claims_now();
                let member = view.claims.members.get(&placer.id);
                let member = member.filter(|member| member.incarnation == placer.incarnation);
                let address = member.map(|member| member.peer_address);
                self.calls.call_placer(key, placer, address, question);
            }
        }
    }

    fn execute_placer_action(&mut self, now: home::Now, action: placer::Action) {
        match action {
            placer::Action::Start(call) => {
                self.context.metrics.task_start_sent();
                self.calls.start(call);
            }
            placer::Action::Renew(call) => self.calls.renew(now.at, call),
            placer::Action::Act(call) => self.calls.act(now.at, call),
            placer::Action::NotifyHome(shard, events) => self.deliver_events(now, shard, events),
        }
    }

    fn deliver_events(
        &mut self,
        now: home::Now,
        shard: ids::ShardId,
        events: Vec<message::TaskEvent>,
    ) {
        if let Some(home) = self.homes.get_mut(&shard) {
            home.on_updates(now, &self.me, &events);
            return self
                .calls
                .send_result(calls::CallResult::EventsSent(events, true));
        }
        let view = self.context.shared.claims_now();
        if let Some((_, member)) = view.holder(&shard) {
            self.calls.send_events(member.peer_address, shard, events);
        }
    }
}

//! The event loop that drives the claims state machine.

use std::time;

use figscale_core::claims as core;
use tokio::sync::mpsc;

use super::Message;
use super::calls;
use super::dump;
use super::publish;
use crate::events::claims as events;
use crate::kernel;
use crate::state;

/// Interval of the ticks of the state machine.
const TICK_MS: u64 = 100;
/// Inputs queued for the loop; beyond this number their senders wait.
const INPUTS_LEN: usize = 1_024;

pub(super) async fn run(context: state::Context, mut inbox: kernel::Inbox<Message>) {
    let (inputs, mut received) = mpsc::channel(INPUTS_LEN);
    let calls = calls::Calls::new(context.clone(), inputs);
    calls.watch_document();
    calls.poll_instances();
    let mut driver = Driver::new(context, calls);
    let mut ticks = tokio::time::interval(time::Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => driver.tick(),
            Some(input) = received.recv() => driver.input(input),
            Some(message) = inbox.recv() => driver.message(message),
        }
    }
}

struct Driver {
    context: state::Context,
    calls: calls::Calls,
    machine: core::Machine,
    publisher: publish::Publisher,
    leaving: Vec<kernel::Reply<()>>,
    ticked_at: (time::Instant, time::SystemTime),
    margin: time::Duration,
}

impl Driver {
    fn new(context: state::Context, calls: calls::Calls) -> Self {
        let settings = &context.settings;
        let millis = time::Duration::from_millis;
        let margin = millis(settings.claims.margin_ms);
        let config = core::Config::new(
            millis(settings.claims.lease_ms),
            millis(settings.claims.heartbeat_ms),
            margin,
        );
        let site = core::Site {
            peer_address: settings.peer_address,
            failure_domain: settings.failure_domain.clone(),
        };
        let me = context.me();
        let now = context.clock.now();
        let ticked_at = (now, context.clock.wall());
        let seed = me.incarnation.0;
        Self {
            machine: core::Machine::new(config, me, site, seed, now),
            publisher: publish::Publisher::new(context.clone()),
            context,
            calls,
            leaving: Vec::new(),
            ticked_at,
            margin,
        }
    }

    fn tick(&mut self) {
        let (now, wall) = (self.context.clock.now(), self.context.clock.wall());
        let (last, last_wall) = self.ticked_at;
        self.ticked_at = (now, wall);
        let passed = now.saturating_duration_since(last);
        let wall_passed = wall.duration_since(last_wall).unwrap_or_default();
        if wall_passed.saturating_sub(passed) > self.margin / 2 {
            let ahead_ms = wall_passed.saturating_sub(passed).as_millis();
            crate::event!(events::CLOCK_JUMPED, ahead_ms = ahead_ms);
            self.input(core::Input::ClockJumped);
        }
        if passed > self.margin {
            let paused_ms = passed.as_millis();
            crate::event!(events::PROCESS_PAUSED, paused_ms = paused_ms);
        }
        self.input(core::Input::Tick);
    }

    fn message(&mut self, message: Message) {
        match message {
            Message::Peer {
                from,
                question,
                reply,
            } => {
                let now = self.context.clock.now();
                reply.send(self.machine.answer(now, &from, &question));
            }
            Message::Leave(reply) => {
                self.leaving.push(reply);
                self.input(core::Input::Leave);
            }
            Message::Dump(reply) => {
                let now = self.context.clock.now();
                reply.send(dump::dump(&self.machine, now));
            }
        }
    }

    fn input(&mut self, input: core::Input) {
        if let core::Input::Instances(list) = &input {
            self.publisher.instances(list.clone());
        }
        let now = self.context.clock.now();
        let actions = self.machine.handle(now, input);
        // Publish the view first, so that a shard is no longer used when its
        // drain begins.
        self.publisher.publish(&self.machine, now);
        for action in actions {
            self.calls.execute(action);
        }
        if self.machine.has_left() {
            for reply in self.leaving.drain(..) {
                reply.send(());
            }
        }
    }
}

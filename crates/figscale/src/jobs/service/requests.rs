//! Handles requests of callers and peers, and the results of calls.

use figscale_core::job::home;
use figscale_core::job::message;
use figscale_types::ids;
use figscale_types::jobs;

use super::Caller;
use super::PendingCall;
use super::Service;
use super::view;
use crate::jobs::Message;
use crate::jobs::PeerQuestion;
use crate::jobs::calls;
use crate::jobs::submit;
use crate::jobs::wire;
use crate::kernel;

impl Service {
    pub(super) fn on_message(&mut self, message: Message) {
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
                let homes = view::other_homes(&view, &self.me);
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

    pub(super) fn submit(
        &mut self,
        id: ids::JobId,
        spec: jobs::JobSpec,
        reply: kernel::Reply<crate::jobs::JobResult>,
    ) {
        match submit::check(&self.context.shared, &spec) {
            Ok(terms) => {
                let question = wire::Question::Submit(id.clone(), spec, terms);
                self.route(&id, question, reply);
            }
            Err(error) => reply.send(Err(error)),
        }
    }

    /// Sends a request to the home of a job, here or at a peer.
    pub(super) fn route(
        &mut self,
        id: &ids::JobId,
        question: wire::Question,
        reply: kernel::Reply<crate::jobs::JobResult>,
    ) {
        let unreachable = calls::unreachable_home(figscale_types::verdict::Verdict::NotRun);
        let Some(shard) = jobs::shard_of(id) else {
            return reply.send(Err(unreachable));
        };
        if self.homes.contains_key(&shard) {
            return self.call_home(&shard, question, Caller::Local(reply));
        }
        let view = self.context.shared.claims_now();
        match view.holder(&shard) {
            Some((key, member)) if *key != self.me => {
                self.calls.forward(member.peer_address, question, reply);
            }
            _ => reply.send(Err(unreachable)),
        }
    }

    pub(super) fn call_home(
        &mut self,
        shard: &ids::ShardId,
        question: wire::Question,
        caller: Caller,
    ) {
        let now = self.now();
        let Some(home) = self.homes.get_mut(shard) else {
            let verdict = figscale_types::verdict::Verdict::NotRun;
            return caller.answer(Err(calls::unreachable_home(verdict)));
        };
        self.next_ticket += 1;
        let ticket = home::ReplyTo(self.next_ticket);
        match question {
            wire::Question::Submit(id, spec, terms) => {
                let pending = PendingCall {
                    home: home.key().clone(),
                    caller,
                };
                self.callers.insert(ticket, pending);
                home.submit(now, ticket, home::Submission { id, spec, terms });
            }
            wire::Question::Cancel(id) => {
                let pending = PendingCall {
                    home: home.key().clone(),
                    caller,
                };
                self.callers.insert(ticket, pending);
                home.cancel(now, ticket, &id);
            }
            wire::Question::Status(id) => caller.answer(home.status(&id)),
            wire::Question::Core(_) | wire::Question::List(_) | wire::Question::Usage(_) => {}
        }
    }

    pub(super) fn on_peer(&mut self, asked: PeerQuestion) {
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
        // An id without a shard gets no answer: the reply is dropped.
        let Some(shard) = jobs::shard_of(job) else {
            return;
        };
        self.call_home(&shard, question, Caller::Peer(reply));
    }

    pub(super) fn on_core(
        &mut self,
        from: &ids::MemberKey,
        question: message::Question,
    ) -> message::Answer {
        let now = self.now();
        if let message::Question::Tell(shard, events) = question {
            let Some(home) = self.homes.get_mut(&shard) else {
                return message::Answer::NotHere;
            };
            home.on_updates(now, from, &events);
            return message::Answer::Noted;
        }
        self.placer.answer(now.at, self.valid_until(), question)
    }

    pub(super) fn list(&self, owner: Option<&ids::OwnerName>) -> Vec<(u64, jobs::JobStatus)> {
        self.homes
            .values()
            .flat_map(|home| home.list(owner))
            .collect()
    }

    pub(super) fn on_call_result(&mut self, done: calls::CallResult) {
        let now = self.now();
        match done {
            calls::CallResult::Start(target, attempt, outcome) => {
                self.placer.on_start(now.at, &target, &attempt, outcome);
            }
            calls::CallResult::Report(done) => match &done.report {
                Some(report) => {
                    let forgotten = &done.forgotten;
                    self.placer
                        .on_report(now.at, &done.target, done.sent_at, forgotten, report);
                }
                None => self.placer.on_no_report(&done.target, done.sent_at),
            },
            calls::CallResult::Call(done) => {
                let home = self.homes.get_mut(&done.home.shard);
                if let Some(home) = home.filter(|home| *home.key() == done.home) {
                    home.on_call(now, &done.placer, done.sent_at, done.question, done.result);
                }
            }
            calls::CallResult::EventsSent(events, true) => {
                self.placer.on_updates_confirmed(&events)
            }
            calls::CallResult::EventsSent(_, false) => {}
            calls::CallResult::Read(key, outcome) => {
                if let Some(home) = self.home_of(&key) {
                    home.on_read(now, outcome);
                }
            }
            calls::CallResult::Write(key, outcome) => {
                if let Some(home) = self.home_of(&key) {
                    home.on_write(now, outcome);
                }
            }
        }
    }
}

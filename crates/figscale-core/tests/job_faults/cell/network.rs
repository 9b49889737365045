//! Calls in flight: sending, delivery, the answers of the other side, and their
//! delivery to the caller.

use figscale_core::job::home;
use figscale_core::job::message;
use figscale_core::job::placer;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use figscale_types::worker as protocol;

use super::Call;
use super::Cell;
use super::Delivery;
use super::Pending;
use super::RPC_TIMEOUT;
use super::Reply;
use super::STEP;
use super::Submitted;

impl Cell {
    pub(super) fn poll_entry(&mut self, index: usize) {
        let now = self.home_now();
        let entry = &mut self.entries[index];
        if !entry.alive || entry.frozen_until.is_some() {
            return;
        }
        let caller = entry.key.clone();
        let valid_until = entry.valid_until;
        let mut wanted = Vec::new();
        let mut answers = Vec::new();
        for home in entry.homes.values_mut() {
            let key = home.key().clone();
            for action in home.poll(now) {
                match action {
                    home::Action::Read => wanted.push(Call::Read(key.clone())),
                    home::Action::Write(call) => wanted.push(Call::Write(key.clone(), call)),
                    home::Action::Call(to, question) => {
                        if let message::Question::Place(_, _, orders) = &question {
                            self.orders += orders.len();
                        }
                        wanted.push(Call::Peer {
                            home: key.clone(),
                            to,
                            asked_at: now.at,
                            question,
                        });
                    }
                    home::Action::Answer(reply_to, outcome) => answers.push((reply_to, outcome)),
                }
            }
        }
        for action in entry.placer.poll(now.at, valid_until) {
            wanted.push(match action {
                placer::Action::Start(call) => Call::Start(call),
                placer::Action::Renew(call) => Call::Renew(now.at, call),
                placer::Action::Act(call) => Call::Act(now.at, call),
                placer::Action::NotifyHome(shard, events) => {
                    let to = self.shards[&shard].holder;
                    Call::NotifyHome(to, events, shard)
                }
            });
        }
        for (reply_to, outcome) in answers {
            self.record_outcome(reply_to, &outcome);
        }
        for call in wanted {
            self.send(caller.clone(), call);
        }
    }

    pub(super) fn record_outcome(&mut self, reply_to: home::ReplyTo, outcome: &home::Outcome) {
        let Some(id) = self.reply_tos.get(&reply_to) else {
            return;
        };
        use figscale_types::operator::ErrorKind;
        let state = match outcome {
            Ok(_) => Submitted::Accepted,
            Err(error) if error.kind == ErrorKind::Unknown => Submitted::Unknown,
            Err(_) => Submitted::Refused,
        };
        self.submitted.insert(id.clone(), state);
    }

    /// Sends a call over the network, which may lose or delay it or its answer.
    pub(super) fn send(&mut self, caller: ids::MemberKey, call: Call) {
        self.next_call += 1;
        let id = self.next_call;
        let pending = Pending {
            caller: caller.clone(),
            call: call.clone(),
        };
        self.pending.insert(id, pending);
        let timeout = self.now + RPC_TIMEOUT;
        self.deliveries.push((timeout, Delivery::Timeout(id)));
        if !self.chance(self.faults.lose_message) {
            // Some messages may take longer than the timeout.
            let slow = self.chance(self.faults.lose_message);
            let at = self.now + self.millis(0, if slow { 3_000 } else { 30 });
            self.requests.insert(id, Pending { caller, call });
            self.deliveries.push((at, Delivery::Request(id)));
        }
    }

    pub(super) fn deliver(&mut self) {
        loop {
            let now = self.now;
            let due: Vec<_> = self
                .deliveries
                .extract_if(.., |(at, _)| *at <= now)
                .collect();
            if due.is_empty() {
                return;
            }
            for (_, delivery) in due {
                self.deliver_one(delivery);
            }
        }
    }

    pub(super) fn retry_next_step(&mut self, delivery: Delivery) {
        self.deliveries.push((self.now + STEP, delivery));
    }

    pub(super) fn deliver_one(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::View(index) => {
                if self.entries[index].frozen_until.is_some() {
                    return self.retry_next_step(delivery);
                }
                if self.entries[index].alive {
                    self.update_view(index);
                }
            }
            Delivery::Request(id) => self.deliver_request(id),
            Delivery::Reply(id, reply) => self.deliver_reply(id, Some(reply)),
            Delivery::Timeout(id) => self.deliver_reply(id, None),
        }
    }

    pub(super) fn deliver_request(&mut self, id: u64) {
        let Some(request) = self.requests.swap_remove(&id) else {
            return;
        };
        let frozen = match &request.call {
            Call::Start(call) => self.is_worker_frozen(&call.target),
            Call::Renew(_, call) => self.is_worker_frozen(&call.target),
            Call::Act(_, call) => self.is_worker_frozen(&call.target),
            Call::Peer { to, .. } => self.is_entry_frozen(to),
            Call::NotifyHome(to, ..) => self.entries[*to].frozen_until.is_some(),
            Call::Read(_) | Call::Write(..) => false,
        };
        if frozen {
            self.requests.insert(id, request);
            return self.retry_next_step(Delivery::Request(id));
        }
        let Some(reply) = self.answer(&request) else {
            return;
        };
        let lost = match request.call {
            Call::Read(_) | Call::Write(..) => self.chance(self.faults.lose_store_answer),
            _ => self.chance(self.faults.lose_message),
        };
        if !lost {
            let at = self.now + self.millis(0, 30);
            self.deliveries.push((at, Delivery::Reply(id, reply)));
        }
    }

    pub(super) fn worker_index(&self, target: &placer::Target) -> usize {
        let port = target.address.port();
        usize::from(port)
    }

    pub(super) fn is_worker_frozen(&self, target: &placer::Target) -> bool {
        self.workers[self.worker_index(target)]
            .frozen_until
            .is_some()
    }

    pub(super) fn is_entry_frozen(&self, key: &ids::MemberKey) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.key == *key && entry.frozen_until.is_some())
    }

    pub(super) fn answer(&mut self, request: &Pending) -> Option<Reply> {
        match &request.call {
            Call::Start(call) => {
                let index = self.worker_index(&call.target);
                if self.workers[index].cut_until.is_some() {
                    return None;
                }
                let answer = self.workers[index].start(self.now, &call.start);
                if answer == protocol::StartAnswer::Started {
                    self.check_start(index, &call.start);
                }
                Some(Reply::Start(answer))
            }
            Call::Renew(_, call) => {
                let index = self.worker_index(&call.target);
                let worker = &mut self.workers[index];
                if worker.cut_until.is_some() {
                    return None;
                }
                Some(Reply::Report(worker.renew(self.now, &call.renew)))
            }
            Call::Act(_, call) => {
                let index = self.worker_index(&call.target);
                let worker = &mut self.workers[index];
                if worker.cut_until.is_some() {
                    return None;
                }
                Some(Reply::Report(worker.act(self.now, &call.act)))
            }
            Call::Peer { to, question, .. } => {
                let now = self.now;
                let entry = self.entries.iter_mut().find(|entry| entry.key == *to)?;
                if !entry.alive {
                    return None;
                }
                let valid_until = entry.valid_until;
                let answer = entry.placer.answer(now, valid_until, question.clone());
                Some(Reply::Peer(answer))
            }
            Call::NotifyHome(to, events, shard) => {
                let now = self.home_now();
                let entry = &mut self.entries[*to];
                if !entry.alive {
                    return None;
                }
                let home = entry.homes.get_mut(shard)?;
                home.on_updates(now, &request.caller, events);
                Some(Reply::Peer(message::Answer::Noted))
            }
            Call::Read(home) => self.answer_read(home),
            Call::Write(home, call) => self.answer_write(home, call),
        }
    }

    pub(super) fn answer_read(&mut self, home: &message::HomeKey) -> Option<Reply> {
        if self.store_down_until.is_some() {
            return Some(Reply::Read(home::ReadOutcome::NoAnswer));
        }
        let found = self.documents.get(&home.shard).cloned();
        let (revision, document) = found.unwrap_or_default();
        Some(Reply::Read(home::ReadOutcome::Read(revision, document)))
    }

    pub(super) fn answer_write(
        &mut self,
        home: &message::HomeKey,
        call: &home::WriteCall,
    ) -> Option<Reply> {
        if self.store_down_until.is_some() {
            let failed = home::WriteOutcome::Failed(Verdict::NotRun);
            return Some(Reply::Write(failed));
        }
        let present = self
            .documents
            .get(&home.shard)
            .map(|(revision, _)| *revision);
        if present.unwrap_or_default() != call.expected {
            return Some(Reply::Write(home::WriteOutcome::Conflict));
        }
        self.revision += 1;
        self.writes += 1;
        let revision = ids::Revision(self.revision);
        let value = (revision, call.document.clone());
        self.documents.insert(home.shard.clone(), value);
        Some(Reply::Write(home::WriteOutcome::Written(revision)))
    }

    pub(super) fn deliver_reply(&mut self, id: u64, reply: Option<Reply>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let caller = self.entries.iter().position(|e| e.key == pending.caller);
        let Some(index) = caller.filter(|index| self.entries[*index].alive) else {
            self.pending.swap_remove(&id);
            return;
        };
        if self.entries[index].frozen_until.is_some() {
            let delivery = match reply {
                Some(reply) => Delivery::Reply(id, reply),
                None => Delivery::Timeout(id),
            };
            return self.retry_next_step(delivery);
        }
        let Some(pending) = self.pending.swap_remove(&id) else {
            return;
        };
        self.handle_reply(index, pending.call, reply);
    }

    pub(super) fn handle_reply(&mut self, index: usize, call: Call, reply: Option<Reply>) {
        let now = self.home_now();
        let entry = &mut self.entries[index];
        match (call, reply) {
            (Call::Start(call), reply) => {
                let outcome = match reply {
                    Some(Reply::Start(answer)) => placer::StartOutcome::Answered(answer),
                    _ => placer::StartOutcome::Unknown,
                };
                let attempt = message::Attempt {
                    task: call.start.task,
                    number: call.start.attempt,
                };
                entry
                    .placer
                    .on_start(now.at, &call.target, &attempt, outcome);
            }
            (Call::Renew(asked_at, call), Some(Reply::Report(report))) => {
                let forget = &call.renew.forget;
                entry
                    .placer
                    .on_report(now.at, &call.target, asked_at, forget, &report);
            }
            (Call::Renew(asked_at, call), _) => entry.placer.on_no_report(&call.target, asked_at),
            (Call::Act(asked_at, call), Some(Reply::Report(report))) => {
                entry
                    .placer
                    .on_report(now.at, &call.target, asked_at, &[], &report);
            }
            (Call::Act(..), _) => {}
            (
                Call::Peer {
                    home,
                    to,
                    asked_at,
                    question,
                },
                reply,
            ) => {
                let result = match reply {
                    Some(Reply::Peer(answer)) => Ok(answer),
                    _ => Err(Verdict::MayHaveRun),
                };
                if let Some(known) = entry.homes.get_mut(&home.shard)
                    && *known.key() == home
                {
                    known.on_call(now, &to, asked_at, question, result);
                }
            }
            (Call::NotifyHome(_, events, _), Some(_)) => entry.placer.on_updates_confirmed(&events),
            (Call::NotifyHome(..), None) => {}
            (Call::Read(home), reply) => {
                let outcome = match reply {
                    Some(Reply::Read(outcome)) => outcome,
                    _ => home::ReadOutcome::NoAnswer,
                };
                if let Some(known) = entry.homes.get_mut(&home.shard)
                    && *known.key() == home
                {
                    known.on_read(now, outcome);
                }
            }
            (Call::Write(home, _), reply) => {
                let outcome = match reply {
                    Some(Reply::Write(outcome)) => outcome,
                    _ => home::WriteOutcome::Failed(Verdict::MayHaveRun),
                };
                if let Some(known) = entry.homes.get_mut(&home.shard)
                    && *known.key() == home
                {
                    known.on_write(now, outcome);
                }
            }
        }
    }
}

//! Course of a request: choice of the holder, wait, run and retries.

use std::time;

use figscale_core::request::dispatcher;
use figscale_core::request::queue;
use rand::RngExt as _;

use crate::setting;
use crate::simulation;

impl simulation::Simulation {
    pub(crate) fn choose(&mut self, number: usize) {
        let entry = self.requests[number].entry;
        if self.policy == setting::Policy::Fixed {
            self.entries[entry].queue.push_back(number);
            return self.serve_queue(entry);
        }
        let urgency = setting::CLASSES[self.requests[number].class].urgency;
        let request = &self.requests[number];
        let me = simulation::key(entry, 1);
        let here = !request.excluded.contains(&me);
        let state = &mut self.entries[entry];
        let own = state.dispatcher.counts_of(&simulation::service(), self.now);
        if here
            && state
                .dispatcher
                .would_grant(&simulation::service(), urgency, self.now)
        {
            return self.submit(number, entry, false);
        }
        let chosen = (state.usage_table).choose(
            &simulation::service(),
            urgency,
            &request.excluded,
            self.now,
            &mut self.rng,
        );
        match chosen {
            Some(choice) if !here || choice.room > own.room(urgency, 0) => {
                state
                    .usage_table
                    .record_sent(&simulation::service(), &choice.member);
                self.outcome.forwarded += 1;
                self.after(
                    setting::HOP_LATENCY,
                    simulation::Event::Forwarded(number, simulation::number_of(&choice.member)),
                );
            }
            _ if here && own.slots > 0 => self.submit(number, entry, false),
            _ => self.outcome.refused[request.class] += 1,
        }
    }

    pub(crate) fn submit(&mut self, number: usize, holder: usize, forwarded: bool) {
        if !self.entries[holder].alive {
            // The connection breaks; only the head of the request was sent.
            let request = &mut self.requests[number];
            request.excluded.push(simulation::key(holder, 1));
            return self.choose(number);
        }
        let ticket = queue::Ticket(self.count);
        self.count += 1;
        let request = &mut self.requests[number];
        let class = &setting::CLASSES[request.class];
        let submission = dispatcher::Submission {
            ticket,
            entry: class.name.parse().expect("a name"),
            service: simulation::service(),
            owner: "owner".parse().expect("a name"),
            weight: 1,
            urgency: class.urgency,
            deadline: request.deadline,
            idempotent: true,
            avoid: request.avoid.clone(),
            max_queue_len: 2_000,
            max_run: time::Duration::from_secs(30),
        };
        request.at = Some(holder);
        let submitted = self.entries[holder].dispatcher.submit(submission, self.now);
        match submitted {
            dispatcher::Submitted::Granted(grant) => self.start(number, holder, &grant),
            dispatcher::Submitted::Queued => {
                let moves = self.requests[number].moves;
                self.entries[holder].tickets.insert(ticket, number);
                if self.policy == setting::Policy::Shared {
                    self.after(
                        setting::RECHECK_INTERVAL,
                        simulation::Event::Recheck(number, moves),
                    );
                }
            }
            dispatcher::Submitted::Refused(_) if forwarded => {
                self.after(
                    setting::HOP_LATENCY,
                    simulation::Event::Refused(number, holder),
                );
            }
            dispatcher::Submitted::Refused(_) => self.refused(number, holder),
        }
    }

    pub(crate) fn refused(&mut self, number: usize, holder: usize) {
        let entry = self.requests[number].entry;
        self.entries[entry]
            .usage_table
            .record_refusal(&simulation::service(), &simulation::key(holder, 1));
        let request = &mut self.requests[number];
        request.excluded.push(simulation::key(holder, 1));
        request.refusals += 1;
        if request.refusals >= 3 {
            self.outcome.refused[request.class] += 1;
            return;
        }
        self.choose(number);
    }

    /// Moves a waiting request to a holder with a free slot, if there is one.
    pub(crate) fn recheck(&mut self, number: usize, moves: u32) {
        let request = &self.requests[number];
        let (Some(holder), true) = (request.at, request.moves == moves) else {
            return;
        };
        let entry = request.entry;
        let excluded = request.excluded.clone();
        let now = self.now;
        let urgency = setting::CLASSES[request.class].urgency;
        let state = &mut self.entries[entry];
        let own = holder != entry
            && state
                .dispatcher
                .would_grant(&simulation::service(), urgency, now);
        let chosen = state.usage_table.choose(
            &simulation::service(),
            urgency,
            &excluded,
            now,
            &mut self.rng,
        );
        let better = chosen.filter(|c| c.room > 0.0 && simulation::number_of(&c.member) != holder);
        if !own && better.is_none() {
            return self.after(
                setting::RECHECK_INTERVAL,
                simulation::Event::Recheck(number, moves),
            );
        }
        let ticket = self.entries[holder]
            .tickets
            .iter()
            .find(|(_, n)| **n == number);
        let Some(ticket) = ticket.map(|(ticket, _)| *ticket) else {
            return;
        };
        self.entries[holder].tickets.swap_remove(&ticket);
        self.entries[holder].dispatcher.cancel(ticket);
        self.requests[number].moves += 1;
        match better {
            _ if own => self.submit(number, entry, false),
            Some(choice) => {
                self.entries[entry]
                    .usage_table
                    .record_sent(&simulation::service(), &choice.member);
                self.after(
                    setting::HOP_LATENCY,
                    simulation::Event::Forwarded(number, simulation::number_of(&choice.member)),
                );
            }
            None => {}
        }
    }

    pub(crate) fn start(&mut self, number: usize, holder: usize, grant: &dispatcher::Grant) {
        let runner: usize = grant.runner.as_str()[7..].parse().expect("a number");
        self.requests[number].moves += 1;
        self.requests[number].at = None;
        self.begin(number, holder, grant.slot.0, runner);
    }

    pub(crate) fn begin(&mut self, number: usize, holder: usize, slot: u64, runner: usize) {
        let slow = self.fault == setting::Fault::SlowRunner && runner == 0;
        let request = &mut self.requests[number];
        request.attempts += 1;
        if request.attempts == 1 {
            let wait = self.now - request.arrived;
            self.outcome.waits_us[request.class].push(wait.as_micros() as u64);
        }
        let run = match slow {
            true => request.run * 10,
            false => request.run,
        };
        let failing = self.fault == setting::Fault::FailingRunner && runner == 0;
        let run = match failing {
            true => time::Duration::from_millis(1),
            false => run,
        };
        self.at_runner[runner] += 1;
        let most = self.outcome.max_at_runner.max(self.at_runner[runner]);
        self.outcome.max_at_runner = most;
        self.running.insert((holder, slot), (number, runner, run));
        self.after(run, simulation::Event::Done(holder, slot, runner));
    }

    pub(crate) fn done(&mut self, holder: usize, slot: u64) {
        let Some((number, runner, ran)) = self.running.swap_remove(&(holder, slot)) else {
            return;
        };
        self.at_runner[runner] -= 1;
        if !self.entries[holder].alive {
            return;
        }
        let failing = self.fault == setting::Fault::FailingRunner && runner == 0;
        if self.policy == setting::Policy::Fixed {
            self.entries[holder].used[runner] -= 1;
            if failing {
                self.outcome.failed[self.requests[number].class] += 1;
            }
            return self.serve_queue(holder);
        }
        let end = match failing {
            true => dispatcher::End::Lost,
            false => dispatcher::End::Answered { ran, good: true },
        };
        let id = dispatcher::SlotId(slot);
        self.entries[holder].dispatcher.finish(id, end, self.now);
        if failing {
            let request = &mut self.requests[number];
            request.avoid = Some(simulation::runner_id(runner));
            if request.attempts < 3 {
                self.choose(number);
            } else {
                self.outcome.failed[request.class] += 1;
            }
        }
        self.poll(holder);
    }

    pub(crate) fn poll(&mut self, holder: usize) {
        for event in self.entries[holder].dispatcher.poll(self.now) {
            match event {
                dispatcher::Event::Granted(ticket, grant) => {
                    if let Some(number) = self.entries[holder].tickets.swap_remove(&ticket) {
                        self.start(number, holder, &grant);
                    }
                }
                dispatcher::Event::Refused(ticket, _) => {
                    if let Some(number) = self.entries[holder].tickets.swap_remove(&ticket) {
                        self.outcome.refused[self.requests[number].class] += 1;
                    }
                }
            }
        }
    }

    pub(crate) fn serve_queue(&mut self, entry: usize) {
        let free: Vec<_> = (0..setting::RUNNERS)
            .filter(|runner| self.entries[entry].used[*runner] == 0)
            .collect();
        if free.is_empty() {
            return;
        }
        while let Some(number) = self.entries[entry].queue.pop_front() {
            if self.requests[number].deadline < self.now {
                self.outcome.refused[self.requests[number].class] += 1;
                continue;
            }
            let runner = free[self.rng.random_range(0..free.len())];
            self.entries[entry].used[runner] = 1;
            self.count += 1;
            let slot = self.count;
            return self.begin(number, entry, slot, runner);
        }
    }
}

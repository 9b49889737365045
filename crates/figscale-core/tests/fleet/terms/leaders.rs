//! Simulated leaders: elections, calls to workers, writes and their responses.

use figscale_core::fleet::Action;
use figscale_core::fleet::Config;
use figscale_core::fleet::LogEntry;
use figscale_core::fleet::Record;
use figscale_core::fleet::RecordKey;
use figscale_core::fleet::Scheduler;
use figscale_types::fleet;
use figscale_types::fleet::WorkerId;
use indexmap::IndexMap;

use super::CallResult;
use super::Event;
use super::LISTING_INTERVAL_MS;
use super::Leader;
use super::Link;
use super::MAX_WRITES;
use super::NO_RESPONSE_PAUSE_MS;
use super::Simulation;
use super::UNACKNOWLEDGED_PAUSE_MS;
use super::WALL_MS;
use super::Worker;
use super::WriteResult;
use super::customers;
use super::preemption;
use crate::helpers;

impl Simulation {
    pub(super) fn elect(&mut self) {
        let led = self.leaders.iter().any(|leader| leader.alive);
        let stays = self.calm || self.now_ms >= self.last_election_ms;
        if self.now_ms < self.outage_until_ms {
            return;
        }
        if led && (stays || self.now_ms < self.next_election_ms) {
            return;
        }
        self.next_election_ms = self.now_ms + 300 + self.random(7_000);
        let former_goes_on = self.former_leader_goes_on();
        if !former_goes_on
            && self.one_in(2)
            && let Some(last) = self.leaders.last_mut()
        {
            last.alive = false;
        }
        self.epoch = fleet::Epoch(self.epoch.0 + 1);
        let config = Config {
            epoch: self.epoch,
            preemption: self.faults.preemption.then_some(preemption::COSTS),
            ..Config::default()
        };
        let mut scheduler = Scheduler::new(config);
        let wall_lag_ms = self.random(self.faults.max_clock_lag_ms + 1);
        let wall_ms = WALL_MS + self.now_ms - wall_lag_ms;
        let process = self.new_process();
        let now = self.begun + helpers::ms(process.clock_ms(self.now_ms));
        let mut recorded = Vec::new();
        for (key, bytes) in &self.store {
            if let RecordKey::Job(id) = key {
                scheduler.load_job(*id, bytes, 1, now, wall_ms).unwrap();
            }
        }
        for (key, bytes) in &self.store {
            match key {
                RecordKey::Progress(id) => scheduler.load_progress(*id, bytes).unwrap(),
                RecordKey::Workers => recorded = Scheduler::recorded_workers(bytes).unwrap(),
                RecordKey::Speeds => scheduler.load_speeds(bytes).unwrap(),
                RecordKey::CancelledIds(batch) => {
                    scheduler.load_cancelled_ids(*batch, bytes).unwrap();
                }
                RecordKey::Job(_) => (),
            }
        }
        let begins_ms = self.now_ms + self.random(600);
        let max_delay_ms = match self.random(4) {
            0 => self.random(2_000),
            _ => 0,
        };
        self.leaders.push(Leader {
            scheduler,
            epoch: self.epoch,
            alive: true,
            begins_ms,
            recorded: Some(recorded),
            links: IndexMap::new(),
            writes: IndexMap::new(),
            wrote_ms: 0,
            closing: false,
            listed_ms: 0,
            max_delay_ms,
            wall_lag_ms,
            limits_known_ms: None,
            cut_off: IndexMap::new(),
            begun: self.recorded_begun.clone(),
            absent: IndexMap::new(),
            process,
        });
        if former_goes_on {
            self.isolate_worker_with_former_leader();
        }
        self.cut_off_unreachable();
        self.check_begun(self.leaders.len() - 1);
    }

    pub(super) fn submit(&mut self) {
        if !self.one_in(12) {
            return;
        }
        let known = self.jobs.len() as u64;
        let again = known > 0 && self.one_in(4);
        let (number, description) = match again {
            true => {
                let number = self.random(known) as usize;
                self.jobs[number].clone()
            }
            false => {
                let description = self.random_job();
                self.jobs.push((known + 1, description.clone()));
                (known + 1, description)
            }
        };
        let mut alive: Vec<usize> = (0..self.leaders.len()).collect();
        alive.retain(|leader| self.leads(*leader) && self.leaders[*leader].recorded.is_none());
        if alive.is_empty() {
            return;
        }
        let leader = alive[self.random(alive.len() as u64) as usize];
        let (now, wall_ms) = (self.now(leader), self.wall_ms(leader));
        let queue = self.queue_of(number);
        let scheduler = &mut self.leaders[leader].scheduler;
        let id = helpers::job_id(number);
        let customer = self.faults.customers.then(|| customers::customer_of(id));
        scheduler.submit_for(customer, id, &queue, description, now, wall_ms);
    }

    pub(super) fn random_job(&mut self) -> fleet::JobDescription {
        if self.faults.mixed {
            return self.mixed_job();
        }
        if self.faults.preemption {
            return self.preemption_job();
        }
        let count = 1 + self.random(4) as u32;
        let first = fleet::StepDescription {
            gang: self.one_in(6),
            estimate_ms: 100 + self.random(1_500),
            ..helpers::step(count, 1)
        };
        let mut steps = vec![first];
        if self.one_in(3) {
            steps.push(fleet::StepDescription {
                after: vec![0],
                ..helpers::step(1, 1)
            });
        }
        let mut job = helpers::job(steps);
        if self.faults.occurrences && self.one_in(3) {
            job.occurrences = 3;
            job.first_due_ms = WALL_MS + self.now_ms + self.random(1_000);
            job.interval_ms = 500 + self.random(2_000);
        }
        job
    }

    /// One iteration of a leader's loop.
    pub(super) fn run_leader(&mut self, number: usize) {
        let (now, wall_ms) = (self.now(number), self.wall_ms(number));
        let leader = &mut self.leaders[number];
        if let Some(recorded) = leader.recorded.take() {
            leader.scheduler.begin_recovery(recorded, now);
            leader.scheduler.member_joined(&"entry-1".parse().unwrap());
            self.join_members(number);
        }
        self.change_members(number);
        self.apply_proof(number);
        let leader = &mut self.leaders[number];
        leader.scheduler.tick(now, wall_ms);
        if !leader.closing {
            leader.scheduler.plan(now);
        }
        let actions = leader.scheduler.take_actions();
        for action in actions {
            match action {
                Action::Start { worker, order } => {
                    self.check_order(number, order.task);
                    self.check_cancelled_early(number, order.task);
                    let delay = self.delay();
                    self.send(delay, Event::StartArrives(number, worker, order));
                }
                Action::Stop {
                    worker,
                    task,
                    attempt,
                } => {
                    let delay = self.delay();
                    self.send(delay, Event::StopArrives(number, worker, task, attempt));
                }
                Action::StepDown => self.leaders[number].alive = false,
                Action::Log(LogEntry::TaskCrashesWorkers { task, losses }) => {
                    self.check_permanent_failure(task, losses);
                }
                Action::QueryAdvice(query) => self.query_advice(number, query),
                Action::Log(LogEntry::RunsPreempted { .. }) => self.preemptions += 1,
                Action::Log(_) => (),
            }
        }
        self.check_consistency(number);
        self.check_begun(number);
        self.check_told(number);
        self.acknowledge_early_cancels(number);
        self.send_listing(number);
        self.call(number);
        self.write(number);
        self.send_proof_call(number);
    }

    pub(super) fn send_listing(&mut self, number: usize) {
        if self.now_ms < self.leaders[number].listed_ms {
            return;
        }
        self.leaders[number].listed_ms = self.now_ms + LISTING_INTERVAL_MS;
        let now_ms = self.now_ms;
        let listed = |worker: &&Worker| worker.listed && now_ms >= worker.unlisted_until_ms;
        let listed = self.workers.values().filter(listed);
        let entries = listed.map(|worker| worker.entry.clone()).collect();
        let delay = self.random(100) + self.random(self.leaders[number].max_delay_ms + 1);
        self.send(delay, Event::Listed(number, entries));
    }

    pub(super) fn call(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let leader = &mut self.leaders[number];
        let mut due = Vec::new();
        for (id, link) in &leader.links {
            let ready = link.unacknowledged && !leader.scheduler.has_unacknowledged(id);
            if !link.calling && (ready || now_ms >= link.at_ms) {
                due.push(id.clone());
            }
        }
        let mut calls = Vec::new();
        for id in due {
            match leader.scheduler.report_due(&id) {
                Some(report) => {
                    leader.links[&id].calling = true;
                    calls.push((id, report));
                }
                None => {
                    leader.links.shift_remove(&id);
                }
            }
        }
        for (id, report) in calls {
            self.check_acknowledgement(number, &id, report.acknowledged);
            let delay = self.delay();
            let event = Event::ReportArrives(number, id.clone(), report, self.now_ms);
            self.send(delay, event);
            if self.one_in(20) {
                // A second call beside one that seems lost.
                let delay = self.delay();
                self.send(
                    150 + delay,
                    Event::ReportArrives(number, id, report, self.now_ms + 150),
                );
            }
        }
    }

    pub(super) fn write(&mut self, number: usize) {
        let pause_ms = 20 + self.random(100);
        let leader = &mut self.leaders[number];
        let full = leader.writes.len() >= MAX_WRITES;
        if leader.closing
            || full
            || self.now_ms < leader.wrote_ms + pause_ms
            || !leader.scheduler.has_records()
        {
            return;
        }
        leader.wrote_ms = self.now_ms;
        let records = leader.scheduler.take_records(6);
        if records.records.is_empty() {
            leader.scheduler.records_written(&records, 1);
            return;
        }
        self.sent += 1;
        let id = self.sent;
        let written = records.records.clone();
        self.leaders[number].writes.insert(id, records);
        let longest_ms = match self.now_ms < self.slow_store_ms {
            true => 2_000,
            false => 200,
        };
        let delay = self.delay() + self.random(longest_ms);
        let delay = self.delay_over_outage(delay);
        let delay = self.delay_over_isolation(number, delay);
        match !self.calm && self.one_in(15) {
            true => self.send(
                delay,
                Event::WriteAnswered(number, id, WriteResult::NotWritten),
            ),
            false => {
                let begun = self.leaders[number].begun.clone();
                self.send(delay, Event::WriteArrives(number, id, written, begun));
            }
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::ReportArrives(leader, id, due, sent_ms) => {
                self.report(leader, &id, due, sent_ms);
            }
            Event::ReportAnswered(leader, id, call_result) => {
                self.answer(leader, &id, &call_result)
            }
            Event::StartArrives(leader, id, order) => self.start(leader, &id, &order),
            Event::StartAnswered(leader, id, task, attempt, outcome) => {
                let now = self.now(leader);
                let leader = &mut self.leaders[leader];
                if leader.alive {
                    leader.begun.start_answered(&id, task, outcome);
                    let scheduler = &mut leader.scheduler;
                    scheduler.start_answered(&id, task, attempt, outcome, now);
                }
            }
            Event::StopAnswered(leader, id, task, attempt, clock_ms) => {
                let leader = &mut self.leaders[leader];
                if leader.alive {
                    let scheduler = &mut leader.scheduler;
                    scheduler.stop_answered(&id, task, attempt, clock_ms);
                }
            }
            Event::StopArrives(leader, id, task, attempt) => self.stop(leader, &id, task, attempt),
            Event::WriteArrives(leader, id, records, begun) => {
                let written = match self.leaders[leader].epoch == self.epoch {
                    true => {
                        self.apply_records(&records);
                        self.recorded_begun.apply_records(&records, &begun);
                        WriteResult::Done
                    }
                    false => WriteResult::Deposed,
                };
                let delay = self.delay_to(leader);
                let delay = self.delay_over_outage(delay);
                let delay = self.delay_over_isolation(leader, delay);
                self.send(delay, Event::WriteAnswered(leader, id, written));
            }
            Event::WriteAnswered(leader, id, written) => {
                let leader = &mut self.leaders[leader];
                let Some(records) = leader.writes.shift_remove(&id).filter(|_| leader.alive) else {
                    return;
                };
                match written {
                    WriteResult::Done => drop(leader.scheduler.records_written(&records, 1)),
                    WriteResult::NotWritten => leader.scheduler.records_not_written(&records),
                    WriteResult::Deposed => leader.alive = false,
                }
            }
            Event::Listed(leader, entries) => self.listed(leader, entries),
            Event::AdviceAnswered(leader, query, good) => {
                let now = self.now(leader);
                let leader = &mut self.leaders[leader];
                if leader.alive {
                    leader.scheduler.advice_answered(&query, good, now);
                }
            }
            Event::ProofCallArrives(leader, sent_ms) => self.prove(leader, sent_ms),
            Event::ProofAnswered(leader, sent_ms, by_store) => {
                self.record_proof(leader, sent_ms, by_store);
            }
        }
    }

    pub(super) fn apply_records(&mut self, records: &[Record]) {
        for record in records {
            match &record.bytes {
                Some(bytes) => {
                    self.store.insert(record.key, bytes.clone());
                }
                None => {
                    self.store.shift_remove(&record.key);
                }
            }
        }
    }

    pub(super) fn listed(&mut self, number: usize, entries: Vec<fleet::WorkerEntry>) {
        let (now, now_ms) = (self.now(number), self.now_ms);
        let leader = &mut self.leaders[number];
        if !leader.alive {
            return;
        }
        for id in leader.scheduler.listed_workers() {
            if !entries.iter().any(|entry| entry.id == id) {
                leader.scheduler.worker_unlisted(&id, now);
            }
        }
        let ids: Vec<WorkerId> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            if leader.scheduler.is_listed_as(&entry) {
                continue;
            }
            let link = Link {
                calling: false,
                at_ms: now_ms,
                unacknowledged: false,
            };
            leader.links.entry(entry.id.clone()).or_insert(link);
            let (id, leaves_in) = (entry.id.clone(), entry.leaves_in);
            leader.scheduler.worker_listed(entry, now);
            if let Some(leaves_in) = leaves_in {
                leader.scheduler.worker_leaves(&id, now + leaves_in);
            }
        }
        leader.scheduler.entries_read(&ids, now);
    }

    pub(super) fn answer(&mut self, number: usize, id: &WorkerId, call_result: &CallResult) {
        let (now, now_ms) = (self.now(number), self.now_ms);
        let leader = &mut self.leaders[number];
        if !leader.alive {
            return;
        }
        match call_result {
            CallResult::Report(report) => {
                if leader.scheduler.knows_worker(id) {
                    leader.begun.reported(report, self.workers[id].up);
                }
                leader.scheduler.worker_reported(id, report, now);
            }
            CallResult::StaleEpoch => leader.alive = false,
            CallResult::OtherIncarnation => leader.scheduler.worker_replaced(id, now),
            CallResult::Nothing => leader.scheduler.worker_call_failed(id, now),
        }
        let unacknowledged = leader.scheduler.has_unacknowledged(id);
        let pause_ms = match call_result {
            CallResult::Report(_) if unacknowledged => UNACKNOWLEDGED_PAUSE_MS,
            CallResult::Report(_) => 50,
            _ => NO_RESPONSE_PAUSE_MS,
        };
        if let Some(link) = leader.links.get_mut(id) {
            *link = Link {
                calling: false,
                at_ms: now_ms + pause_ms,
                unacknowledged: unacknowledged && matches!(call_result, CallResult::Report(_)),
            };
        }
    }
}

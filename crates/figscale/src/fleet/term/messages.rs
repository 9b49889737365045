//! Handles the results of the term's calls to the store, the workers and peers.

use std::time;

use figscale_platform::CallError;
use figscale_platform::workers as platform_workers;
use figscale_types::fleet;

use super::Ended;
use super::Message;
use super::Term;
use crate::events;

impl Term {
    pub(super) fn on_message(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Listing { entries, begun } => self.on_listing(entries, begun, now),
            Message::Reported(id, report) => self.on_report(&id, report, now),
            Message::StartAnswered {
                worker,
                task,
                attempt,
                outcome,
            } => {
                self.scheduler
                    .start_answered(&worker, task, attempt, outcome, now);
            }
            Message::StopAnswered {
                worker,
                task,
                attempt,
                clock_ms,
            } => {
                self.scheduler
                    .stop_answered(&worker, task, attempt, clock_ms);
            }
            Message::Overdue(id) => self.scheduler.worker_call_failed(&id, now),
            Message::AnswerLost => self.workers.record_lost_answer(now),
            Message::Advised(query, good) => {
                self.scheduler.advice_answered(&query, good, now);
            }
            Message::MemberGone(member) => self.drop_member(&member),
            Message::Written(result, ledger) => self.on_written(result, ledger),
            Message::HeadRead(epoch) => self.on_head_read(epoch),
            Message::ProofRead(epoch, sent_at) => self.on_proof_read(epoch, sent_at),
            Message::LeaseEnded => {
                self.proof.doubt();
                crate::event!(events::fleet::LEASE_RENEWED_LATE, epoch = self.leader.epoch);
            }
            Message::LeaseGranted(lease) => {
                self.lease = lease;
                self.new_lease = Some(lease);
            }
        }
    }

    fn on_listing(
        &mut self,
        entries: Vec<fleet::WorkerEntry>,
        begun: time::Instant,
        now: time::Instant,
    ) {
        let listed: indexmap::IndexSet<fleet::WorkerId> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        for id in self.scheduler.listed_workers() {
            if !listed.contains(&id) {
                crate::event!(events::fleet::WORKER_UNLISTED, worker = id);
                self.scheduler.worker_unlisted(&id, now);
            }
        }
        let queues = self.context.queues.borrow().clone();
        for entry in entries {
            // An entry whose service no queue of the configuration names may belong
            // to another user of the platform. Before the first configuration is
            // read all workers are called, since their leases are running.
            let known = self.scheduler.knows_worker(&entry.id);
            if !known && queues.version > 0 && !queues.has_service(&entry.service) {
                continue;
            }
            self.on_listed(entry, now);
        }
        let listed: Vec<fleet::WorkerId> = listed.into_iter().collect();
        self.scheduler.entries_read(&listed, begun);
    }

    fn on_listed(&mut self, entry: fleet::WorkerEntry, now: time::Instant) {
        if self.scheduler.is_listed_as(&entry) || self.scheduler.is_outdated(&entry.id) {
            return;
        }
        crate::event!(
            events::fleet::WORKER_LISTED,
            worker = entry.id,
            address = entry.address,
            draining = entry.draining,
            leaves_in_ms = entry.leaves_in.map_or(0, |left| left.as_millis())
        );
        self.workers.add(&entry);
        let (id, leaves_in) = (entry.id.clone(), entry.leaves_in);
        self.scheduler.worker_listed(entry, now);
        if let Some(leaves_in) = leaves_in {
            self.scheduler.worker_leaves(&id, now + leaves_in);
        }
    }

    fn on_report(
        &mut self,
        id: &fleet::WorkerId,
        report: Result<platform_workers::ReportOutcome, CallError>,
        now: time::Instant,
    ) {
        match &report {
            Ok(platform_workers::ReportOutcome::Report(report)) => {
                if report.unreadable_rows > 0 {
                    crate::event!(
                        events::fleet::REPORT_UNREADABLE,
                        worker = id,
                        rows = report.unreadable_rows
                    );
                }
                self.scheduler.worker_reported(id, report, now);
            }
            Ok(platform_workers::ReportOutcome::StaleEpoch) => self.ended = Some(Ended::Deposed),
            Ok(platform_workers::ReportOutcome::OtherLife) => {
                self.scheduler.worker_replaced(id, now)
            }
            Ok(platform_workers::ReportOutcome::Unhealthy) => (),
            Err(_) => self.scheduler.worker_call_failed(id, now),
        }
        let waits = self.scheduler.has_unacknowledged(id);
        self.workers.schedule_next_call(id, &report, waits, now);
    }
}

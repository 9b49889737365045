//! Responses of workers to start orders.
//!
//! A start without a response may have been executed, so its run stays
//! recorded, with its resources, until a report of the worker shows whether it
//! was.

use std::time;

use figscale_types::fleet;

use super::action::Action;
use super::action::LogEntry;
use super::scheduler;
use super::worker;

/// First pause after a worker refused a start for lack of room that it should
/// have had.
const NO_ROOM_PAUSE: time::Duration = time::Duration::from_millis(250);
/// First pause after a worker refused a start as unhealthy.
const UNHEALTHY_PAUSE: time::Duration = time::Duration::from_millis(1_000);

impl scheduler::Scheduler {
    /// Applies the response to a start order, or the lack of one.
    pub fn start_answered(
        &mut self,
        id: &fleet::WorkerId,
        task: fleet::TaskId,
        attempt: u32,
        outcome: fleet::StartOutcome,
        now: time::Instant,
    ) {
        match outcome {
            fleet::StartOutcome::Started { clock_ms } => {
                self.start_confirmed(id, (task, attempt), clock_ms, now);
            }
            fleet::StartOutcome::Refused(refusal) => {
                self.start_refused(id, (task, attempt), refusal, now);
            }
            // Its resources stay occupied until a report shows what became of
            // it.
            fleet::StartOutcome::Unknown => (),
        }
    }

    fn start_confirmed(
        &mut self,
        id: &fleet::WorkerId,
        key: worker::RunKey,
        clock_ms: u64,
        now: time::Instant,
    ) {
        if self.is_of_other_incarnation(id, &key, clock_ms) {
            // The run is there if anywhere, and moves there once that is listed.
            self.worker_call_failed(id, now);
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            if worker.unresponsive_since.is_some() {
                self.lost_workers.retract(id);
                let address = worker.entry.address;
                self.unsettled_machines.retract(address, id);
            }
            worker.record_contact(clock_ms, now);
            worker.health.started();
            if let Some(run) = worker.runs.get_mut(&key) {
                let known = run.confirmed_clock_ms.unwrap_or(0);
                run.confirmed_clock_ms = Some(known.max(clock_ms));
                run.speed.confirmed(clock_ms);
            }
        }
        if let Some(job) = self.jobs.get_mut(&key.0.job) {
            job.started = true;
        }
        self.confirm_loss(id, &key);
        if !self.is_wanted(id, key) {
            self.order_stop(id, key, Some(now));
        }
    }

    fn start_refused(
        &mut self,
        id: &fleet::WorkerId,
        key: worker::RunKey,
        refusal: fleet::StartRefusal,
        now: time::Instant,
    ) {
        self.actions.push(Action::Log(LogEntry::StartRefused {
            task: key.0,
            attempt: key.1,
            worker: id.clone(),
            refusal,
        }));
        if refusal == fleet::StartRefusal::OldAttempt {
            // The same order may have arrived before, and its run may have ended well:
            // a report shows that.
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            if worker.runs.get(&key).is_some_and(worker::Run::is_confirmed) {
                return;
            }
            worker.remove_run(&key);
        }
        self.retract_loss(id, &key);
        self.requeue_task(id, &key);
        match refusal {
            fleet::StartRefusal::StaleEpoch => self.actions.push(Action::StepDown),
            fleet::StartRefusal::OtherLife => self.worker_replaced(id, now),
            fleet::StartRefusal::Ticket => self.drop_ticket(id, &key.0),
            fleet::StartRefusal::NoRoom => self.pause_worker(id, NO_ROOM_PAUSE, now),
            fleet::StartRefusal::Unhealthy | fleet::StartRefusal::Invalid => {
                self.pause_worker(id, UNHEALTHY_PAUSE, now);
            }
            fleet::StartRefusal::OldAttempt | fleet::StartRefusal::Expired => (),
        }
    }

    fn pause_worker(&mut self, id: &fleet::WorkerId, time: time::Duration, now: time::Instant) {
        if let Some(health) = self.health(id) {
            health.pause(time, now);
        }
    }

    fn drop_ticket(&mut self, id: &fleet::WorkerId, task: &fleet::TaskId) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(step) = job.and_then(|job| job.step_mut(task)) {
            step.advice.tickets.swap_remove(id);
        }
    }
}

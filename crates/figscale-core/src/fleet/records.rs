//! Selection of records for the next transaction, and what depends on the write.
//!
//! A transaction holds a limited number of records; the rest wait for the next
//! one. New jobs and changes of other jobs alternate in it. Callers wait for the
//! new jobs, but changes must not wait behind them: an end that is not in the store
//! is lost if its worker leaves before the next leader has asked it, and its task
//! runs again. With a leader that wrote 280 records a second, and a burst of as
//! many new jobs, ends once took four seconds to reach the store. Among the
//! changes, jobs with ends on workers that are about to leave go first.
//!
//! A job may start, a worker may be used and an end may be acknowledged only after
//! the corresponding records are in the store.

use std::iter;

use figscale_types::fleet;
use indexmap::IndexSet;

use super::durable;
use super::maps;
use super::scheduler;
use super::unsaved;
use super::worker;

impl scheduler::Scheduler {
    /// Takes at most `most` records of changes, for one transaction. The caller
    /// has to write them and then call [`Self::records_written`] or
    /// [`Self::records_not_written`]. Other records may be taken meanwhile.
    pub fn take_records(&mut self, most: usize) -> durable::Records {
        let mut records = durable::Records::default();
        self.add_workers_record(&mut records);
        self.add_cancelled_ids(&mut records);
        let is_new = |id: &fleet::JobId| self.jobs.get(id).is_some_and(|job| !job.stored);
        let (new, mut changed): (Vec<fleet::JobId>, Vec<fleet::JobId>) =
            self.unsaved.ready().partition(is_new);
        let leaving = self.jobs_ended_on_leaving();
        changed.sort_by_key(|id| !leaving.contains(id));
        for id in alternate(new, changed) {
            // A job has two records at most.
            if records.records.len() + 2 > most {
                break;
            }
            self.unsaved.take(id);
            self.add_records(id, &mut records);
            records.jobs.push(id);
        }
        self.add_speeds_record(&mut records, most);
        let ends = self.unacknowledged.iter().filter_map(|id| {
            let worker = self.workers.get(id)?;
            Some((id.clone(), worker.applied))
        });
        self.unsaved.add_ends(ends.collect());
        records
    }

    /// Jobs with unacknowledged ends on draining workers, which will soon be
    /// unable to report them again.
    fn jobs_ended_on_leaving(&self) -> IndexSet<fleet::JobId> {
        let leaving = self.workers.values();
        let leaving = leaving.filter(|worker| worker.entry.draining);
        leaving
            .flat_map(worker::Worker::unacknowledged_jobs)
            .collect()
    }

    /// Adds the record of workers if it has to be written. It is written before
    /// a worker is used for the first time, so that the next leader knows to ask
    /// it, and after a worker has gone, so that the next leader does not wait
    /// for its lease.
    fn add_workers_record(&mut self, records: &mut durable::Records) {
        if self.workers_record_in_flight || !self.workers_record_dirty {
            return;
        }
        self.workers_record_in_flight = true;
        self.workers_record_dirty = false;
        self.workers_record_outdated = false;
        let used = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.is_retired());
        let ids = used.map(|(id, _)| id).chain(self.not_yet_reported.keys());
        let ids: maps::WorkerSet = ids.cloned().collect();
        // Workers that this record leaves out get no more work from now on.
        let mut recorded = self.recorded.clone();
        recorded.retain(|id| ids.contains(id));
        self.set_recorded(recorded);
        let bytes = Some(durable::encode(&ids.iter().collect::<Vec<_>>()));
        records.records.push(durable::Record {
            key: durable::RecordKey::Workers,
            bytes,
        });
        records.recorded = Some(ids);
    }

    /// Adds the record of cancelled ids that has to be written or removed, if there is
    /// one.
    fn add_cancelled_ids(&mut self, records: &mut durable::Records) {
        if let Some((number, batch, change)) = self.cancelled_ids.take() {
            let key = durable::RecordKey::CancelledIds(number);
            let bytes = batch.map(durable::encode);
            records.records.push(durable::Record { key, bytes });
            records.cancelled_ids = Some(change);
        }
    }

    /// Takes the record of speeds for a transaction of its own, if it has to be written.
    /// Under load each of the other transactions has records that callers wait for.
    pub fn take_speeds_record(&mut self) -> Option<durable::Records> {
        let mut records = durable::Records::default();
        self.add_speeds_record(&mut records, 1);
        records.speeds.is_some().then_some(records)
    }

    /// Adds the record of speeds if it has to be written and no caller waits for the
    /// others: for new jobs, cancelled ones, or workers that cannot be used before.
    fn add_speeds_record(&mut self, records: &mut durable::Records, most: usize) {
        let cancelled = |id: &fleet::JobId| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.end == Some(fleet::JobState::Cancelled))
        };
        let awaited = !records.created.is_empty()
            || records.recorded.is_some()
            || records.cancelled_ids.is_some()
            || records.jobs.iter().any(cancelled);
        if awaited || records.records.len() >= most {
            return;
        }
        let Some(speeds) = self.speeds.record.take() else {
            return;
        };
        records.records.push(durable::Record {
            key: durable::RecordKey::Speeds,
            bytes: Some(durable::encode(&speeds)),
        });
        records.speeds = Some(speeds);
    }

    /// Sets the workers that are named by the record in the store.
    pub(crate) fn set_recorded(&mut self, recorded: maps::WorkerSet) {
        self.unrecorded.clear();
        for (id, worker) in &mut self.workers {
            worker.recorded = recorded.contains(id);
            if !worker.recorded {
                self.unrecorded.insert(id.clone());
            }
        }
        self.recorded = recorded;
    }

    /// Whether the record of workers in the store does not match the workers that
    /// may have runs.
    pub(crate) fn workers_record_differs(&self) -> bool {
        let recorded = self.workers.iter().filter(|(_, worker)| worker.recorded);
        let used = recorded
            .filter(|(id, worker)| !worker.is_retired() || self.not_yet_reported.contains_key(*id));
        let unlisted = self.not_yet_reported.keys();
        let unlisted =
            unlisted.filter(|id| !self.workers.contains_key(*id) && self.recorded.contains(*id));
        let gone = used.count() + unlisted.count() < self.recorded.len();
        gone || self.workers_record_outdated || self.has_unrecorded_workers()
    }

    fn has_unrecorded_workers(&self) -> bool {
        let workers = self.unrecorded.iter().filter_map(|id| self.workers.get(id));
        workers.into_iter().any(|worker| !worker.is_retired())
    }

    /// Whether there are urgent records: of new jobs or cancelled ids, whose callers
    /// wait, or of workers that cannot be used before.
    pub fn has_urgent_records(&self) -> bool {
        let unstored = |id: &fleet::JobId| self.jobs.get(id).is_some_and(|job| !job.stored);
        let new = self.unsaved.ready().any(|id| unstored(&id));
        new || self.cancelled_ids.is_awaited()
            || !self.workers_record_in_flight && self.has_unrecorded_workers()
    }

    /// Whether there are records to be written or ends to be acknowledged.
    pub fn has_records(&self) -> bool {
        self.unsaved.ready().next().is_some()
            || !self.unacknowledged.is_empty()
            || self.cancelled_ids.is_due()
            || !self.workers_record_in_flight && self.workers_record_dirty
            || self.speeds.record.is_due()
    }

    /// Whether a worker has ends that are not acknowledged yet.
    pub fn has_unacknowledged(&self, id: &fleet::WorkerId) -> bool {
        self.unacknowledged.contains(id)
    }

    /// Confirms that all of `records` are in the store, as of `revision`; returns the
    /// ends that are acknowledged from now on.
    pub fn records_written(&mut self, records: &durable::Records, revision: u64) -> unsaved::Ends {
        for id in &records.created {
            if let Some(job) = self.jobs.get_mut(id) {
                job.stored = true;
            }
        }
        for id in &records.ended {
            if let Some(job) = self.jobs.get_mut(id) {
                job.end_revision = Some(revision);
            }
        }
        if let Some(recorded) = &records.recorded {
            self.set_recorded(recorded.clone());
            self.workers_record_in_flight = false;
            self.workers_record_dirty = self.workers_record_differs();
        }
        if let Some(speeds) = &records.speeds {
            self.speeds.record.written(speeds.clone());
        }
        if let Some(change) = &records.cancelled_ids {
            self.cancelled_ids.written(change);
        }
        self.unsaved.written(&records.jobs);
        let mut acknowledged = self.unsaved.due();
        acknowledged.retain(|(id, number)| {
            let Some(worker) = self.workers.get_mut(id) else {
                return false;
            };
            let is_new = *number > worker.acknowledged;
            worker.acknowledge(*number);
            if worker.applied == worker.acknowledged {
                self.unacknowledged.swap_remove(id);
            }
            is_new
        });
        acknowledged
    }

    /// Reports that none of `records` is in the store or ever will be. Jobs that
    /// they would have created are dropped; the other changes are written with
    /// later records.
    pub fn records_not_written(&mut self, records: &durable::Records) {
        if records.recorded.is_some() {
            self.workers_record_in_flight = false;
            self.workers_record_outdated = true;
            self.workers_record_dirty = true;
        }
        if records.speeds.is_some() {
            self.speeds.record.not_written();
        }
        if let Some(change) = &records.cancelled_ids {
            self.cancelled_ids.not_written(change);
        }
        self.unsaved.not_written(&records.jobs);
        for id in &records.created {
            self.withdraw(*id);
        }
    }
}

/// Alternates between new and changed jobs, each in their order; when one kind is
/// exhausted, the rest of the other follows.
fn alternate(
    new: Vec<fleet::JobId>,
    changed: Vec<fleet::JobId>,
) -> impl Iterator<Item = fleet::JobId> {
    let (mut new, mut changed) = (new.into_iter(), changed.into_iter());
    let mut take_new = false;
    iter::from_fn(move || {
        take_new = !take_new;
        match take_new {
            true => new.next().or_else(|| changed.next()),
            false => changed.next().or_else(|| new.next()),
        }
    })
}

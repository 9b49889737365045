//! Loading the document of an earlier home.

use figscale_types::ids;
use figscale_types::jobs;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::Home;
use super::Now;
use super::job;

impl Home {
    /// Replaces the jobs by those of the document.
    pub(super) fn load(&mut self, now: Now, document: jobs::JobDocument) {
        self.jobs.clear();
        self.queue.clear();
        self.watched.clear();
        let mut ready = Vec::new();
        let placed = document.placed.map(IndexSet::from_iter);
        for (id, record) in document.jobs {
            let job = load_job(now, &id, record, placed.as_ref());
            for (index, task) in &job.tasks {
                if matches!(task.stage, job::Stage::Queued { .. }) {
                    ready.push((id.clone(), *index));
                }
            }
            self.jobs.insert(id, job);
        }
        for (id, index) in ready {
            self.enqueue(now, &id, index, now.at);
        }
        // Causes a first write, which makes this home the owner of the document.
        self.document.mark_dirty();
    }
}

fn load_job(
    now: Now,
    id: &ids::JobId,
    record: jobs::JobRecord,
    placed: Option<&IndexSet<ids::TaskId>>,
) -> job::Job {
    let bytes = super::submit::record_bytes(&record.spec);
    let mut job = job::Job {
        record,
        tasks: IndexMap::new(),
        written: true,
        maybe_written: false,
        refusal: None,
        gang_releases: 0,
        gang_pause_until: None,
        bytes,
    };
    for index in 0..job.record.spec.tasks {
        let id = ids::TaskId {
            job: id.clone(),
            index,
        };
        let may_be_placed = placed.is_none_or(|placed| placed.contains(&id));
        let task = load_task(now, &job, index, may_be_placed);
        job.tasks.insert(index, task);
    }
    job
}

fn load_task(now: Now, job: &job::Job, index: u32, may_be_placed: bool) -> job::Task {
    let mut task = job::Task::new(now.at);
    let record = job.record.tasks.get(&index).cloned().unwrap_or_default();
    task.attempt = record.attempts;
    task.checkpointed = record.checkpointed;
    task.stopping = job.record.cancelled;
    // A task that must not run twice was never started if it has no start mark.
    let marked = record.started || job.may_repeat();
    task.stage = match (record.ended, job.record.ended) {
        (Some(state), _) | (None, Some(state)) => job::Stage::Ended(state),
        _ if marked && may_be_placed => job::Stage::Unknown { since: now.at },
        _ if task.stopping => job::Stage::Ended(jobs::JobState::Cancelled),
        _ => job::Stage::Queued { not_before: now.at },
    };
    task
}

//! Views of jobs for operators. They show only ends that are in the store, so that
//! every later leader shows them too.

use figscale_types::fleet;

use super::job;
use super::scheduler;

/// Maximum number of jobs in one listing; each takes about 100 bytes.
const MAX_LISTED: usize = 500;

impl scheduler::Scheduler {
    /// Returns a job with its tasks; `None` unless it is known to be in the
    /// store.
    pub fn view(&self, id: fleet::JobId) -> Option<fleet::JobView> {
        let job = self.jobs.get(&id).filter(|job| job.stored)?;
        let mut view = without_tasks(job);
        view.tasks = self.tasks(job);
        Some(view)
    }

    fn tasks(&self, job: &job::Job) -> Vec<fleet::TaskView> {
        let mut views = Vec::new();
        for (occurrence, round) in (0..).zip(&job.rounds) {
            for (number, step) in (0..).zip(&round.steps) {
                let tasks = (0..).zip(&step.tasks);
                views.extend(tasks.map(|(index, task)| {
                    let id = fleet::TaskId {
                        job: job.id,
                        occurrence,
                        step: number,
                        index,
                    };
                    self.task_view(id, task)
                }));
            }
        }
        views
    }

    fn task_view(&self, id: fleet::TaskId, task: &job::Task) -> fleet::TaskView {
        let (progress, worker) = match &task.state {
            job::TaskState::Waiting => (fleet::TaskProgress::Waiting, None),
            job::TaskState::Placed { worker, .. } => {
                (fleet::TaskProgress::Placed, Some(worker.clone()))
            }
            job::TaskState::Done { since: Some(since) }
                if self.unsaved.may_include(id.job, *since) =>
            {
                (fleet::TaskProgress::Placed, None)
            }
            job::TaskState::Done { .. } => (fleet::TaskProgress::Done, None),
        };
        let failed = u32::try_from(task.failed_attempts.len()).unwrap_or(u32::MAX);
        let present = u32::from(progress != fleet::TaskProgress::Waiting);
        fleet::TaskView {
            task: id,
            progress,
            worker,
            attempts: failed.saturating_add(present),
        }
    }

    /// Returns jobs in progress without their tasks, the newest first, 500 at
    /// most.
    pub fn open_views(&self) -> Vec<fleet::JobView> {
        let open = self.open.iter().rev().filter_map(|id| self.jobs.get(id));
        let stored = open.filter(|job| job.stored);
        stored.map(without_tasks).take(MAX_LISTED).collect()
    }
}

fn without_tasks(job: &job::Job) -> fleet::JobView {
    fleet::JobView {
        id: job.id,
        queue: job.queue.name.clone(),
        service: job.queue.service.clone(),
        state: job.durable_state(),
        tasks: Vec::new(),
    }
}

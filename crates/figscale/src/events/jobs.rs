//! Events of jobs and tasks, numbered from 5000.

use crate::events::define_events;

define_events! {
    5001 JOB_HOME_TAKEN Info "This entry instance became the home of a job shard and reads the document of the shard.";
    5002 JOB_HOME_LOST Info "Another entry instance now holds the job shard.";
    5101 WORKER_CALL_FAILED Debug "A worker did not answer a start, renewal or action request; its report will show the outcome.";
    5102 DISPATCH_TOO_LATE Warn "A call to a worker was dropped because its time limit had passed before it was written; this process was paused or overloaded.";
    5103 JOB_PEER_CALL_FAILED Warn "A call between the home of a job and a placer was not answered; it is retried, and tasks that were started are searched for.";
    5201 JOB_DOCUMENT_INVALID Error "The document of a job shard in the store cannot be read; its jobs wait until the document is repaired.";
    5202 JOB_STORE_AWAY Warn "The store did not answer a call for a job shard; running tasks continue, and no new work is accepted.";
    5301 TASK_DUPLICATE Error "A task was found running although resources are reserved for it elsewhere; it is stopped.";
}

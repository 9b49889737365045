//! Jobs and tasks: events from 5000.

use crate::events::define_events;

define_events! {
    5001 JOB_HOME_TAKEN Info "This entry instance became the home of a job shard and reads its document.";
    5002 JOB_HOME_LOST Info "Another entry instance holds the job shard now.";
    5101 WORKER_CALL_FAILED Debug "A worker did not answer a start, a renewal or an action; its report will tell what became of it.";
    5102 DISPATCH_TOO_LATE Warn "A call to a worker was dropped because its time had passed before it was written; this process was paused or overloaded.";
    5103 JOB_PEER_CALL_FAILED Warn "A call between the home of a job and a placer got no answer; it is repeated, and started tasks are looked for.";
    5201 JOB_DOCUMENT_INVALID Error "The document of a job shard in the store cannot be read; its jobs wait until it is mended.";
    5202 JOB_STORE_AWAY Warn "The store did not answer a call for a job shard; running tasks go on, nothing new is accepted.";
    5301 TASK_DUPLICATE Error "A task was found running although it has room elsewhere; it is stopped.";
}

//! Requests: events from 4000.

use crate::events::define_events;

define_events! {
    4001 REQUEST_FAILED Warn "An attempt of a request failed; the verdict says whether it may have run.";
    4002 RUNNER_EJECTED Warn "A runner failed several requests in a row and is set aside until a probe succeeds.";
    4003 RUNNER_LEAVING Info "A runner said itself that it is leaving and gets no new work.";
    4004 SLOT_LOST Warn "A connection broke under a request that may still run; its slot is kept back.";
    4005 DISPATCH_FENCED Warn "A request was not written because this process no longer held the shard.";
    4006 DISPATCH_LATE Error "The right to a shard ended while a request was being written; the runner may hold one request too many for a moment.";
    4007 SHARD_DRAINED Info "A shard is given up in order; nothing of it is in progress.";
    4008 SHARD_DRAIN_UNCLEAN Warn "A shard is given up though a request of it may still be in progress.";
    4009 REPEAT_REFUSED Info "A non-idempotent request was asked again and refused.";
    4010 LISTEN_FAILED Error "The callers' address was kept from the start but cannot be listened on; no caller is served.";
}

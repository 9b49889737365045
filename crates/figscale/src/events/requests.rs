//! Events of requests, numbered from 4000.

use crate::events::define_events;

define_events! {
    4001 REQUEST_FAILED Warn "An attempt of a request failed; the verdict tells whether it may have run.";
    4002 RUNNER_EJECTED Warn "A runner failed several consecutive requests and is ejected until a probe succeeds.";
    4003 RUNNER_LEAVING Info "A runner announced that it is leaving; it gets no new work.";
    4004 SLOT_LOST Warn "A connection broke during a request that may still run; its slot is withheld.";
    4005 DISPATCH_FENCED Warn "A request was not written because this process no longer held the shard.";
    4006 DISPATCH_LATE Error "The authority over a shard ended while a request was being written; the runner may briefly hold one request too many.";
    4007 SHARD_DRAINED Info "A shard is released in order; none of its requests is in progress.";
    4008 SHARD_DRAIN_UNCLEAN Warn "A shard is released although one of its requests may still be in progress.";
    4009 REPEAT_REFUSED Info "A non-idempotent request was repeated and refused.";
    4010 LISTEN_FAILED Error "The address for callers was bound at startup but listening on it failed; no callers are served.";
}

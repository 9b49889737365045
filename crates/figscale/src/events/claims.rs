//! Claims and store: events from 2000.

use crate::events::define_events;

define_events! {
    2001 CLAIMS_JOINED Info "The claims document names this process as a member.";
    2002 CLAIMS_DROPPED Warn "The claims document no longer names this process; it joins again.";
    2003 SHARDS_TAKEN Info "This process came to hold shards.";
    2004 SHARDS_GIVEN Info "This process no longer holds shards.";
    2005 AUTHORITY_GAINED Info "Held shards may be used.";
    2006 AUTHORITY_LOST Warn "Held shards may not be used: neither the store nor a majority of witnesses confirms them. Look at the store and at the links to the other entry instances.";
    2007 HELD_BY_PROMISES Warn "The store is away; held shards are used by the promises of witnesses.";
    2008 HELD_BY_LEASE Info "The store is back; held shards are used by the lease again.";
    2009 MEMBER_EVICTED Info "The lease of a member lapsed and it was removed; its shards go to others.";
    2010 CLOCK_JUMPED Warn "The wall clock ran ahead of the monotonic clock: the machine was suspended, or somebody set the clock. Held shards wait for the next renewal.";
    2011 PROCESS_PAUSED Warn "The control thread did not run for a while; the process was stopped or starved.";
    2012 CLAIMS_UNREADABLE Error "The claims document is not what this version writes; nothing is changed. Somebody else wrote it, or a later version did.";
    2101 STORE_AWAY Warn "A call to the store got no answer; repeats are not logged again before the next answer.";
    2102 STORE_CALL_FAILED Debug "A call of the claims to the store failed; it is made again.";
}

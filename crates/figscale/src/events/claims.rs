//! Events of the claims and the store, numbered from 2000.

use crate::events::define_events;

define_events! {
    2001 CLAIMS_JOINED Info "The claims document lists this process as a member.";
    2002 CLAIMS_DROPPED Warn "The claims document no longer lists this process as a member; it joins again.";
    2003 SHARDS_TAKEN Info "This process acquired shards.";
    2004 SHARDS_GIVEN Info "This process no longer holds some shards that it held before.";
    2005 AUTHORITY_GAINED Info "This process may use the shards that it holds.";
    2006 AUTHORITY_LOST Warn "This process may not use the shards that it holds: neither the store nor a majority of witnesses confirms them. Check the store and the links to the other entry instances.";
    2007 HELD_BY_PROMISES Warn "The store is unavailable; held shards are used under the promises of witnesses.";
    2008 HELD_BY_LEASE Info "The store is available again; held shards are used under the lease again.";
    2009 MEMBER_EVICTED Info "The lease of a member expired and the member was removed; its shards go to other members.";
    2010 CLOCK_JUMPED Warn "The wall clock ran ahead of the monotonic clock: the machine was suspended, or the clock was set. Held shards wait for the next renewal.";
    2011 PROCESS_PAUSED Warn "The control thread did not run for a while; the process was stopped or starved of processor time.";
    2012 CLAIMS_UNREADABLE Error "The claims document is not in the format of this version; nothing is changed. It was written by another program or by a later version.";
    2101 STORE_AWAY Warn "A call to the store got no answer; further failures are not logged until the store answers.";
    2102 STORE_CALL_FAILED Debug "A call to the store for the claims failed; it is retried.";
}

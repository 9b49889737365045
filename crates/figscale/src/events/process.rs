//! The process: events from 1000.

use crate::events::define_events;

define_events! {
    1001 PROCESS_STARTED Info "The process listens on all its addresses.";
    1002 PROCESS_LEAVING Info "A planned stop began: not ready, no new work.";
    1003 PROCESS_ENDED Info "The process ended in order.";
    1101 PEER_REFUSED Warn "A connection on the peer address had no valid token; somebody else connects there.";
    1102 PEER_LINK_BROKEN Warn "The link to another entry instance broke; it is made again on the next call.";
}

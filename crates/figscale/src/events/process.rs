//! Events of the process, numbered from 1000.

use crate::events::define_events;

define_events! {
    1001 PROCESS_STARTED Info "The process listens on all its addresses.";
    1002 PROCESS_LEAVING Info "A planned shutdown began: the process reports not ready and accepts no new work.";
    1003 PROCESS_ENDED Info "The planned shutdown of the process is complete.";
    1101 PEER_REFUSED Warn "A connection on the peer address had no valid token; it does not come from a peer.";
    1102 PEER_LINK_BROKEN Warn "The connection to another entry instance broke; the next call opens a new one.";
    1103 PEER_LINK_SILENT Warn "A call to another entry instance got no response, and its connection carried nothing meanwhile; the next call opens a new one.";
    1104 PEER_GONE Info "A connection from another entry instance left a ping unanswered and is closed.";
    1201 CONNECTIONS_CLOSED Warn "Connections from outside were closed, or their requests refused, at a limit; the log line gives the listener, how many since the last line, which comes every 10 s at most, and the cause of the last one: `connections` another one took its place; `busy` all others have a request in progress; `body-memory` another body needed its memory; `head-size` or `body-size` too large; `head-timeout`, `body-timeout` or `write-timeout` its client did not send or read in time.";
}

//! Whether this instance can serve callers.

use super::Context;

/// Ready with a configuration and a leader, and not while leaving; otherwise
/// the reason.
pub(super) fn why_not_ready(context: &Context) -> Option<&'static str> {
    if *context.leaving.borrow() {
        return Some("this entry instance is leaving");
    }
    if context.queues.borrow().version == 0 {
        return Some("no configuration has been read");
    }
    let leadership = context.leadership.borrow();
    if !leadership.leading && leadership.leader.is_none() {
        return Some("no leader is known");
    }
    None
}

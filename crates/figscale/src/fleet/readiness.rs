//! Whether this instance can serve callers.

use super::Context;

/// Returns why this instance is not ready, if so. It is ready once it has a
/// configuration and knows a leader, until it shuts down.
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

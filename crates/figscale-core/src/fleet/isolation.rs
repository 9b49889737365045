//! Decision whether a leader has lost contact with so many instances that another one
//! should lead.
//!
//! The others serve callers without this leader, even though its lease at the store is
//! still renewed. If nobody takes its place, nobody can, and it may lead again.

use std::time;

/// Time without contact to most instances after which a leader gives up.
const MAX_ISOLATION: time::Duration = time::Duration::from_millis(900);
/// Time without any leader after which a leader that has given up may lead again. Others
/// run for leader within half a second.
const MAX_VACANCY: time::Duration = time::Duration::from_millis(1_200);

/// The instances that a leader had contact with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    /// Largest number of them so far.
    most: usize,
    /// Since when fewer than half of that number are left.
    since: Option<time::Instant>,
}

impl Isolation {
    /// Largest number of instances that it had contact with.
    pub fn most(&self) -> usize {
        self.most
    }

    /// Whether the leader should give up while it has contact with this many instances.
    pub fn is_over(&mut self, members: usize, now: time::Instant) -> bool {
        self.most = self.most.max(members);
        if members * 2 >= self.most {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        self.most > 1 && now > since + MAX_ISOLATION
    }
}

/// Whether an instance that gave up may lead again before the pause that lets others go
/// first is over: nobody else leads, so nobody else can.
pub fn may_return(vacant_since: Option<time::Instant>, now: time::Instant) -> bool {
    vacant_since.is_some_and(|since| now >= since + MAX_VACANCY)
}

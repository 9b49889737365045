//! What the platform's instance list says of members.

use std::time;

use figscale_types::ids;
use figscale_types::instances;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// Members remembered after they went.
const MAX_MISSING: usize = 1_024;

/// Members that the list does not show, and for how long.
///
/// Time counts from the first list that lacks a member, not from the last one
/// that showed it: between the two no list may have been read for long. The
/// list is trusted only while it shows the asking member itself, so that one
/// that does not cover entry instances proves nothing.
#[derive(Debug, Default)]
pub(super) struct Gone {
    lag: time::Duration,
    listed: IndexSet<ids::InstanceId>,
    /// Members that were listed once, by the first list that lacked them.
    missing: IndexMap<ids::InstanceId, time::Instant>,
    /// First list of those that have all shown this member.
    first_trusted: Option<time::Instant>,
    read_at: Option<time::Instant>,
}

impl Gone {
    /// Takes in a list that was read at `now`.
    pub(super) fn read(
        &mut self,
        list: &instances::InstanceList,
        me: &ids::MemberId,
        now: time::Instant,
    ) {
        let entries = list.instances.iter();
        let entries = entries.filter(|instance| instance.role == instances::Role::Entry);
        let listed: IndexSet<_> = entries.map(|instance| instance.id.clone()).collect();
        for id in &self.listed {
            if !listed.contains(id) {
                self.missing.insert(id.clone(), now);
            }
        }
        self.missing.retain(|id, _| !listed.contains(id));
        while self.missing.len() > MAX_MISSING {
            // The longest gone; it stays so, counted from the first list.
            self.missing.shift_remove_index(0);
        }
        self.listed = listed;
        self.lag = time::Duration::from_millis(list.lag_ms);
        self.read_at = Some(now);
        self.first_trusted = match self.is_listed(me) {
            true => self.first_trusted.or(Some(now)),
            false => None,
        };
    }

    fn is_listed(&self, id: &ids::MemberId) -> bool {
        self.listed
            .iter()
            .any(|listed| listed.as_str() == id.as_str())
    }

    /// Whether the list has shown `id` gone for longer than its lag and `longest`.
    pub(super) fn is_gone(&self, id: &ids::MemberId, longest: time::Duration) -> bool {
        let (Some(trusted), Some(read_at)) = (self.first_trusted, self.read_at) else {
            return false;
        };
        if self.is_listed(id) {
            return false;
        }
        let mut missing = self.missing.iter();
        let since = match missing.find(|(missing, _)| missing.as_str() == id.as_str()) {
            Some((_, first)) => trusted.max(*first),
            None => trusted,
        };
        read_at.saturating_duration_since(since) > self.lag + longest
    }
}

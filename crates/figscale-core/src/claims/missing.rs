//! Members that are missing from the platform's instance list.

use std::time;

use figscale_types::ids;
use figscale_types::instances;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// Maximum number of missing members that are remembered.
const MAX_MISSING: usize = 1_024;

/// Tracks which members are missing from the list, and for how long.
///
/// The time is measured from the first list without a member, not from the last
/// one with it, since no list may have been read for a long time between the
/// two. The list is trusted only while it contains this member itself, since a
/// list that does not cover entry instances proves nothing.
#[derive(Debug, Default)]
pub(super) struct MissingMembers {
    lag: time::Duration,
    listed: IndexSet<ids::InstanceId>,
    /// Members that were listed before, with the time of the first list without
    /// them.
    missing: IndexMap<ids::InstanceId, time::Instant>,
    /// Time of the first list since which every list has contained this member.
    first_trusted: Option<time::Instant>,
    read_at: Option<time::Instant>,
}

impl MissingMembers {
    /// Processes a list that was read at `now`.
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
            // Forgets the member that has been missing longest. It still counts
            // as missing, measured from the first trusted list.
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

    /// Whether `id` has been missing from the list for longer than the list's
    /// lag and `longest` together.
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

//! What the platform's instance list says of members.

use std::time;

use figscale_types::ids;
use figscale_types::instances;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// Members that the list does not show, and for how long.
///
/// The list is trusted only while it shows the asking member itself, so that
/// one that does not cover entry instances proves nothing.
#[derive(Debug, Default)]
pub(super) struct Gone {
    lag: time::Duration,
    listed: IndexSet<String>,
    first_trusted: Option<time::Instant>,
    last_listed: IndexMap<String, time::Instant>,
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
        self.lag = time::Duration::from_millis(list.lag_ms);
        self.listed = list
            .instances
            .iter()
            .filter(|instance| instance.role == instances::Role::Entry)
            .map(|instance| instance.id.as_str().to_owned())
            .collect();
        for id in &self.listed {
            self.last_listed.insert(id.clone(), now);
        }
        match self.listed.contains(me.as_str()) {
            true => self.first_trusted = self.first_trusted.or(Some(now)),
            false => self.first_trusted = None,
        }
        self.read_at = Some(now);
    }

    /// Whether the list has shown `id` gone for longer than its lag and `longest`.
    pub(super) fn is_gone(&self, id: &ids::MemberId, longest: time::Duration) -> bool {
        let (Some(trusted), Some(read_at)) = (self.first_trusted, self.read_at) else {
            return false;
        };
        if self.listed.contains(id.as_str()) {
            return false;
        }
        let since = match self.last_listed.get(id.as_str()) {
            Some(last) => trusted.max(*last),
            None => trusted,
        };
        read_at.saturating_duration_since(since) > self.lag + longest
    }
}

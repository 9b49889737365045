//! The instance list, whose changes become visible after a lag.

use std::collections;
use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::instances;

#[derive(Clone, Debug)]
struct Version {
    revision: ids::Revision,
    visible_at: time::Instant,
    instances: Vec<instances::Instance>,
}

#[derive(Debug)]
pub(crate) struct LaggingList {
    lag: time::Duration,
    /// The version that readers see.
    visible: instances::InstanceList,
    /// Later versions that are not visible yet, oldest first.
    pending: collections::VecDeque<Version>,
}

impl LaggingList {
    pub(crate) fn new(instances: Vec<instances::Instance>, lag: time::Duration) -> Self {
        let visible = instances::InstanceList {
            revision: ids::Revision(1),
            lag_ms: clock::millis(lag),
            instances,
        };
        Self {
            lag,
            visible,
            pending: collections::VecDeque::new(),
        }
    }

    pub(crate) fn set_lag(&mut self, lag: time::Duration) {
        self.lag = lag;
        self.visible.lag_ms = clock::millis(lag);
    }

    pub(crate) fn change(
        &mut self,
        now: time::Instant,
        change: impl FnOnce(&mut Vec<instances::Instance>),
    ) {
        let (revision, instances) = self.latest();
        let mut instances = instances.to_vec();
        let revision = revision.next();
        change(&mut instances);
        self.pending.push_back(Version {
            revision,
            visible_at: now + self.lag,
            instances,
        });
    }

    pub(crate) fn visible(&mut self, now: time::Instant) -> instances::InstanceList {
        while let Some(version) = self.pending.pop_front_if(|v| v.visible_at <= now) {
            self.visible.revision = version.revision;
            self.visible.instances = version.instances;
        }
        self.visible.clone()
    }

    fn latest(&self) -> (ids::Revision, &[instances::Instance]) {
        match self.pending.back() {
            Some(version) => (version.revision, &version.instances),
            None => (self.visible.revision, &self.visible.instances),
        }
    }
}

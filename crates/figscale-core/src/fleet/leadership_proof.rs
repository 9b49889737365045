//! Proof that no later leader had been elected at some time, and how long a new leader
//! allows for an earlier one.
//!
//! A worker refuses the orders of a former leader only once the new one has called it.
//! So a former leader that was paused, or cut off, could extend leases at a worker that
//! the new one cannot reach. Therefore leases and orders end at most one lease after the
//! last time for which the sender has a proof that it led, by the worker's clock of that
//! time, however late they are sent. The successor was elected after that time.
//!
//! A call to the store that shows no later term proves that there was none when it was
//! sent. While the store does not answer, the other instances prove it: a heartbeat that
//! returns a stamp of the leader was sent after that stamp by an instance that knew of no
//! later leader. Enough for a proof is a majority of all instances, this one included.
//!
//! A new leader that has heard from so many instances that its predecessor cannot have a
//! majority counts the predecessor's last lease from that time. If too few respond it
//! allows for as long as instances alone may prove leadership ([`MAX_TIME_WITHOUT_STORE`]).

use std::time;

use figscale_types::ids;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// How long instances may prove leadership after the last proof by the store. Longer
/// outages of the store let leases end; a successor that cannot rule out a predecessor
/// waits for this time.
pub const MAX_TIME_WITHOUT_STORE: time::Duration = time::Duration::from_secs(15);
/// Age of the proof from which the store is asked for another.
const RENEWAL_AGE: time::Duration = time::Duration::from_millis(750);
/// Age of the store's own proof from which it is asked for another.
const STORE_RENEWAL_AGE: time::Duration = time::Duration::from_secs(3);
/// Fewest instances, the new leader included, that rule out a predecessor. One alone may
/// be the only one that the predecessor does not reach.
const MIN_FOLLOWERS: usize = 2;

/// The times for which a leader can prove that no later term had begun. Times are since
/// the machine started, as suspensions count.
#[derive(Clone, Debug)]
pub struct LeadershipProof {
    store_proven_at: time::Duration,
    /// The latest stamp that each instance has returned.
    stamps: IndexMap<ids::MemberId, time::Duration>,
    majority: Majority,
}

/// For which time a majority of all instances, the leader included, has shown that it
/// knew of no later leader.
#[derive(Clone, Copy, Debug)]
enum Majority {
    /// The leader is the only instance.
    Alone,
    At(time::Duration),
}

impl LeadershipProof {
    /// Creates the proof of a term whose election was sent to the store at this time.
    pub fn new(elected_after: time::Duration) -> Self {
        Self {
            store_proven_at: elected_after,
            stamps: IndexMap::new(),
            majority: Majority::At(elected_after),
        }
    }

    /// Records that the store has answered a call, sent at this time, which shows no later
    /// term.
    pub fn record_store_call(&mut self, sent_at: time::Duration) {
        self.store_proven_at = self.store_proven_at.max(sent_at);
    }

    /// Records a stamp that an instance has returned with a heartbeat. It counts from the
    /// next call of [`Self::count_stamps`].
    pub fn record_stamp(&mut self, member: &ids::MemberId, stamp: time::Duration) {
        let known = self.stamps.entry(member.clone()).or_insert(stamp);
        *known = (*known).max(stamp);
    }

    /// Finds the time that a majority proves. `others` is the largest number of other
    /// instances that this leader had contact with. This examines all stamps, so it is
    /// called once for each batch of heartbeats.
    pub fn count_stamps(&mut self, others: usize) {
        let latest = self.stamps.values().max().copied().unwrap_or_default();
        self.stamps
            .retain(|_, stamp| *stamp + MAX_TIME_WITHOUT_STORE >= latest);
        // With this one these are more than half of all.
        let Some(last) = others.div_ceil(2).checked_sub(1) else {
            self.majority = Majority::Alone;
            return;
        };
        let mut stamps: Vec<time::Duration> = self.stamps.values().copied().collect();
        let proven_at = match last < stamps.len() {
            true => {
                *stamps
                    .select_nth_unstable_by(last, |one, other| other.cmp(one))
                    .1
            }
            false => time::Duration::ZERO,
        };
        self.majority = Majority::At(proven_at);
    }

    /// The latest time for which leadership is proven, at `now`.
    pub fn proven_at(&self, now: time::Duration) -> time::Duration {
        let by_instances = match self.majority {
            Majority::Alone => now,
            Majority::At(proven_at) => proven_at,
        };
        let by_instances = by_instances.min(self.store_proven_at + MAX_TIME_WITHOUT_STORE);
        self.store_proven_at.max(by_instances)
    }

    /// Whether the store should be asked for a new proof.
    pub fn is_renewal_due(&self, now: time::Duration) -> bool {
        now.saturating_sub(self.proven_at(now)) > RENEWAL_AGE
            || now.saturating_sub(self.store_proven_at) > STORE_RENEWAL_AGE
    }
}

/// What a new leader knows of its predecessors, which may go on until they learn of the
/// new term.
#[derive(Clone, Debug)]
pub struct Predecessors {
    /// The last one; `None` if there was none, or it has certainly ended its term.
    last: Option<ids::MemberId>,
    /// Whether earlier ones may lead as well.
    earlier: bool,
    /// Number of instances before the election, the predecessor included.
    instances: usize,
    /// Instances that were there before the election and know the new term.
    followers: IndexSet<ids::MemberId>,
    elected_at: time::Duration,
}

impl Predecessors {
    /// Creates the state of a new leader, `own`, that was elected at this time. `settled`
    /// says whether the last one had ruled out all before it.
    pub fn new(
        last: Option<ids::MemberId>,
        settled: bool,
        own: &ids::MemberId,
        instances: usize,
        elected_at: time::Duration,
    ) -> Self {
        Self {
            // An earlier term of its own is over.
            last: last.filter(|last| last != own),
            earlier: !settled,
            instances,
            followers: IndexSet::from([own.clone()]),
            elected_at,
        }
    }

    /// Records a heartbeat of an instance that knows the new term. `was_there` says whether
    /// it is one of those before the election.
    pub fn record_follower(&mut self, member: &ids::MemberId, was_there: bool) {
        if self.last.as_ref() == Some(member) {
            self.last = None;
        }
        if was_there {
            self.followers.insert(member.clone());
        }
    }

    /// Whether one of them may still prove its leadership at `now`.
    pub fn may_lead(&self, now: time::Duration) -> bool {
        let enough = self.instances.div_ceil(2).max(MIN_FOLLOWERS);
        let ruled_out = self.instances > 1 && self.followers.len() >= enough;
        let any = self.last.is_some() || self.earlier;
        any && !ruled_out && now < self.elected_at + MAX_TIME_WITHOUT_STORE
    }
}

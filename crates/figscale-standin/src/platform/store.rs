//! The keys and leases of a stand-in platform.

use std::time;

use bytes::Bytes;
use figscale_types::ids;
use figscale_types::platform;
use indexmap::IndexMap;

/// A key's value.
#[derive(Clone, Debug)]
pub(crate) struct Stored {
    pub(crate) revision: ids::Revision,
    pub(crate) value: Bytes,
    lease: Option<ids::LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: time::Duration,
    expires: time::Instant,
}

/// Why a write took no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The key has this revision; 0 when absent.
    Conflict(ids::Revision),
    LeaseGone,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    revision: u64,
    last_lease: u64,
    keys: IndexMap<String, Stored>,
    /// Revision at which a key was last deleted.
    deleted: IndexMap<String, ids::Revision>,
    leases: IndexMap<ids::LeaseId, Lease>,
}

impl Store {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Stored> {
        self.keys.get(key)
    }

    /// Revision of the last change of a key, including its deletion.
    pub(crate) fn changed_at(&self, key: &str) -> ids::Revision {
        let stored = self.keys.get(key).map(|stored| stored.revision);
        let deleted = self.deleted.get(key).copied();
        stored.or(deleted).unwrap_or_default()
    }

    pub(crate) fn put(
        &mut self,
        key: &str,
        expected: ids::Revision,
        value: Bytes,
        lease: Option<ids::LeaseId>,
    ) -> Result<ids::Revision, Refusal> {
        self.check(key, expected)?;
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(Refusal::LeaseGone);
        }
        Ok(self.store(key, value, lease))
    }

    pub(crate) fn delete(&mut self, key: &str, expected: ids::Revision) -> Result<(), Refusal> {
        self.check(key, expected)?;
        self.remove(key);
        Ok(())
    }

    /// Writes a key regardless of its revision.
    pub(crate) fn write(&mut self, key: &str, value: Bytes) -> ids::Revision {
        self.store(key, value, None)
    }

    /// Deletes a key regardless of its revision.
    pub(crate) fn remove(&mut self, key: &str) {
        if self.keys.shift_remove(key).is_some() {
            let revision = self.next_revision();
            self.deleted.insert(key.to_owned(), revision);
        }
    }

    pub(crate) fn keys(&self, prefix: &str) -> platform::KeyList {
        let under = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut keys: Vec<_> = under
            .map(|(key, stored)| platform::KeyRevision {
                key: key.clone(),
                revision: stored.revision,
            })
            .collect();
        keys.sort_by(|a, b| a.key.cmp(&b.key));
        platform::KeyList { keys }
    }

    pub(crate) fn grant(&mut self, ttl: time::Duration, now: time::Instant) -> ids::LeaseId {
        self.last_lease += 1;
        let id = ids::LeaseId(self.last_lease);
        let expires = now + ttl;
        self.leases.insert(id, Lease { ttl, expires });
        id
    }

    pub(crate) fn renew(&mut self, id: ids::LeaseId, now: time::Instant) -> Result<(), Refusal> {
        let lease = self.leases.get_mut(&id).ok_or(Refusal::LeaseGone)?;
        lease.expires = now + lease.ttl;
        Ok(())
    }

    pub(crate) fn revoke(&mut self, id: ids::LeaseId) -> Result<(), Refusal> {
        self.leases.shift_remove(&id).ok_or(Refusal::LeaseGone)?;
        let under = self.keys.iter().filter(|(_, s)| s.lease == Some(id));
        let names: Vec<String> = under.map(|(key, _)| key.clone()).collect();
        for name in names {
            self.remove(&name);
        }
        Ok(())
    }

    /// Ends the leases that have expired.
    pub(crate) fn expire(&mut self, now: time::Instant) {
        self.end_leases(|lease| lease.expires <= now);
    }

    /// Ends every lease.
    pub(crate) fn expire_all(&mut self) {
        self.end_leases(|_| true);
    }

    fn end_leases(&mut self, ends: impl Fn(&Lease) -> bool) {
        let ending = self.leases.iter().filter(|(_, lease)| ends(lease));
        let ids: Vec<_> = ending.map(|(id, _)| *id).collect();
        for id in ids {
            let _ = self.revoke(id);
        }
    }

    fn check(&self, key: &str, expected: ids::Revision) -> Result<(), Refusal> {
        let found = self.keys.get(key).map(|stored| stored.revision);
        let found = found.unwrap_or_default();
        if found == expected {
            Ok(())
        } else {
            Err(Refusal::Conflict(found))
        }
    }

    fn store(&mut self, key: &str, value: Bytes, lease: Option<ids::LeaseId>) -> ids::Revision {
        let revision = self.next_revision();
        let stored = Stored {
            revision,
            value,
            lease,
        };
        self.keys.insert(key.to_owned(), stored);
        revision
    }

    fn next_revision(&mut self) -> ids::Revision {
        self.revision += 1;
        ids::Revision(self.revision)
    }
}

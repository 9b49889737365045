//! The store of the simulation.

use std::collections::HashMap;
use std::time;

use figscale_core::claims as core;
use figscale_core::claims::StoreFailure;
use figscale_types::claims;
use figscale_types::ids;

use super::LEASE_MS;

#[derive(Debug, Default)]
pub struct Store {
    pub down: bool,
    /// The response to one call in this number is lost; 0 for none.
    pub lose_response_one_in: u32,
    pub revision: u64,
    pub claims: claims::Claims,
    /// Number of document writes that took effect.
    pub writes: u64,
    last_lease: u64,
    /// End of each lease, and whether its member key exists.
    leases: HashMap<u64, (u64, bool)>,
}

impl Store {
    pub fn expire(&mut self, now_ms: u64) {
        self.leases.retain(|_, (ends_ms, _)| *ends_ms > now_ms);
    }

    /// Executes a call; `None` if the store does not respond.
    pub fn execute(
        &mut self,
        now_ms: u64,
        action: &core::Action,
        sent_at: time::Instant,
    ) -> Option<core::Input> {
        if self.down {
            return None;
        }
        let input = match action {
            core::Action::Grant => {
                self.last_lease += 1;
                let ends_ms = now_ms + LEASE_MS;
                self.leases.insert(self.last_lease, (ends_ms, false));
                let result = Ok(ids::LeaseId(self.last_lease));
                core::Input::Granted { sent_at, result }
            }
            core::Action::Announce { lease } => core::Input::Announced {
                lease: *lease,
                result: self.announce(lease.0),
            },
            core::Action::Renew { lease } => core::Input::Renewed {
                lease: *lease,
                sent_at,
                result: self.renew(lease.0, now_ms),
            },
            core::Action::Read => core::Input::Read {
                result: Ok((ids::Revision(self.revision), self.claims.clone())),
                asked: true,
            },
            core::Action::List => core::Input::Listed {
                result: Ok(self.announced()),
            },
            core::Action::Write { base, claims } => core::Input::Written {
                result: self.write(base.0, claims),
            },
            core::Action::Revoke { lease } => {
                self.leases.remove(&lease.0);
                return None;
            }
            core::Action::Drain { .. } | core::Action::Ask { .. } => return None,
        };
        Some(input)
    }

    fn announce(&mut self, lease: u64) -> Result<(), StoreFailure> {
        match self.leases.get_mut(&lease) {
            Some((_, true)) => Err(StoreFailure::Conflict),
            Some((_, announced)) => {
                *announced = true;
                Ok(())
            }
            None => Err(StoreFailure::LeaseGone),
        }
    }

    fn renew(&mut self, lease: u64, now_ms: u64) -> Result<(), StoreFailure> {
        let (ends_ms, _) = self.leases.get_mut(&lease).ok_or(StoreFailure::LeaseGone)?;
        *ends_ms = now_ms + LEASE_MS;
        Ok(())
    }

    fn announced(&self) -> Vec<ids::LeaseId> {
        let announced = self.leases.iter().filter(|(_, (_, announced))| *announced);
        announced.map(|(id, _)| ids::LeaseId(*id)).collect()
    }

    fn write(&mut self, base: u64, claims: &claims::Claims) -> Result<ids::Revision, StoreFailure> {
        if base != self.revision {
            return Err(StoreFailure::Conflict);
        }
        self.revision += 1;
        self.writes += 1;
        self.claims = claims.clone();
        Ok(ids::Revision(self.revision))
    }
}

/// The input that a caller processes when a call times out; `None` for calls
/// that are not store calls with a result.
pub fn timed_out_input(action: &core::Action, sent_at: time::Instant) -> Option<core::Input> {
    let input = match action {
        core::Action::Grant => core::Input::Granted {
            sent_at,
            result: Err(StoreFailure::MayHaveRun),
        },
        core::Action::Announce { lease } => core::Input::Announced {
            lease: *lease,
            result: Err(StoreFailure::MayHaveRun),
        },
        core::Action::Renew { lease } => core::Input::Renewed {
            lease: *lease,
            sent_at,
            result: Err(StoreFailure::MayHaveRun),
        },
        core::Action::Read => core::Input::Read {
            result: Err(StoreFailure::NotRun),
            asked: true,
        },
        core::Action::List => core::Input::Listed {
            result: Err(StoreFailure::NotRun),
        },
        core::Action::Write { .. } => core::Input::Written {
            result: Err(StoreFailure::MayHaveRun),
        },
        core::Action::Drain { .. } | core::Action::Ask { .. } | core::Action::Revoke { .. } => {
            return None;
        }
    };
    Some(input)
}

/// The time before the call whose result an input carries.
pub fn sent_at(input: &core::Input) -> Option<time::Instant> {
    match input {
        core::Input::Granted { sent_at, .. }
        | core::Input::Renewed { sent_at, .. }
        | core::Input::Answered { sent_at, .. } => Some(*sent_at),
        _ => None,
    }
}

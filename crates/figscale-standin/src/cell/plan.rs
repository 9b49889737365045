//! Which instances a cell has, and their failure domains and racks.

use figscale_types::ids;

use super::User;

/// Workers and runners in a rack.
const RACK_LEN: usize = 6;

/// How large a cell is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Entry instances.
    pub entries: usize,
    /// Runners.
    pub runners: usize,
    /// Workers.
    pub workers: usize,
    /// Failure domains.
    pub domains: usize,
}

impl Size {
    /// Enough to try the system out.
    pub const SMALL: Self = Self {
        entries: 3,
        runners: 10,
        workers: 10,
        domains: 3,
    };
    /// The sizes that the users have today.
    pub const FULL: Self = Self {
        entries: 8,
        runners: 50,
        workers: 50,
        domains: 4,
    };
}

/// Location of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Failure domain.
    pub failure_domain: ids::FailureDomain,
    /// Rack.
    pub rack: ids::RackName,
}

impl Place {
    /// Location of instance `number`: racks are filled one after the other, and
    /// assigned to the failure domains round-robin.
    pub fn of(user: User, size: Size, number: usize) -> eyre::Result<Self> {
        let rack = number / RACK_LEN;
        let domain = rack % size.domains;
        Ok(Self {
            failure_domain: format!("{}-{}", user.domain_prefix(), domain + 1).parse()?,
            rack: format!("rack-{}", rack + 1).parse()?,
        })
    }

    /// Location of entry instance `number`: failure domains are used
    /// round-robin.
    pub fn of_entry(user: User, size: Size, number: usize) -> eyre::Result<Self> {
        Self::of(user, size, (number % size.domains) * RACK_LEN)
    }
}

//! Newtypes for sizes and rates.
//!
//! Processor time is counted in thousandths of a core, so that sums are exact;
//! text forms carry their unit (`2500m`, `4096MiB`, `12.5/s`).

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::error;

/// Bytes in a mebibyte.
pub const MIB: u64 = 1 << 20;

/// Processor share in thousandths of a core.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CpuMillis(pub u64);

impl fmt::Display for CpuMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl str::FromStr for CpuMillis {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || error::ParseError::new("processor share", text, "like 2500m");
        let number = text.strip_suffix('m').ok_or_else(wrong)?;
        Ok(Self(number.parse().map_err(|_| wrong())?))
    }
}

/// Memory in bytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Bytes(pub u64);

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 != 0 && self.0.is_multiple_of(MIB) {
            write!(f, "{}MiB", self.0 / MIB)
        } else {
            write!(f, "{}B", self.0)
        }
    }
}

impl str::FromStr for Bytes {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || error::ParseError::new("size", text, "like 4096MiB or 512B");
        let (number, unit) = match text.strip_suffix("MiB") {
            Some(number) => (number, MIB),
            None => (text.strip_suffix('B').ok_or_else(wrong)?, 1),
        };
        let number: u64 = number.parse().map_err(|_| wrong())?;
        Ok(Self(number.checked_mul(unit).ok_or_else(wrong)?))
    }
}

/// Events per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RatePerSecond(pub f64);

impl fmt::Display for RatePerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl str::FromStr for RatePerSecond {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || error::ParseError::new("rate", text, "like 12.5/s, not negative");
        let number = text.strip_suffix("/s").ok_or_else(wrong)?;
        let rate: f64 = number.parse().map_err(|_| wrong())?;
        if !rate.is_finite() || rate < 0.0 {
            return Err(wrong());
        }
        Ok(Self(rate))
    }
}

/// Resources of a worker, or required by a task.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor share.
    pub cpu_millis: CpuMillis,
    /// Memory.
    pub memory_bytes: Bytes,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Whether `other` fits into this in every dimension.
    pub fn holds(&self, other: &Self) -> bool {
        other.cpu_millis <= self.cpu_millis
            && other.memory_bytes <= self.memory_bytes
            && other.accelerators <= self.accelerators
    }

    /// The sum, saturating in every dimension.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: CpuMillis(self.cpu_millis.0.saturating_add(other.cpu_millis.0)),
            memory_bytes: Bytes(self.memory_bytes.0.saturating_add(other.memory_bytes.0)),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference, zero where it would be negative.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: CpuMillis(self.cpu_millis.0.saturating_sub(other.cpu_millis.0)),
            memory_bytes: Bytes(self.memory_bytes.0.saturating_sub(other.memory_bytes.0)),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The larger of the two in every dimension.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The larger of the two in every dimension.
    ///
    /// Called as a method on a value, `max` is the lexicographic maximum of `Ord`;
    /// this method is unambiguous.
    pub fn larger(&self, other: &Self) -> Self {
        Self::max(self, other)
    }

    /// Largest fraction of `whole` that this uses in any dimension.
    pub fn dominant_share(&self, whole: &Self) -> f64 {
        let share = |part: u64, all: u64| match (part, all) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (part, all) => part as f64 / all as f64,
        };
        share(self.cpu_millis.0, whole.cpu_millis.0)
            .max(share(self.memory_bytes.0, whole.memory_bytes.0))
            .max(share(self.accelerators.into(), whole.accelerators.into()))
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {}acc",
            self.cpu_millis, self.memory_bytes, self.accelerators
        )
    }
}

//! How long work takes on a worker, relative to others.

use std::fmt;
use std::str;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::error;

/// How long work takes on a worker, in percent of its ordinary duration: a
/// worker of 170 % takes 1.7 times as long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slowdown {
    percent: u32,
}

impl Slowdown {
    /// That of a worker of ordinary speed.
    pub const ORDINARY: Self = Self { percent: 100 };

    /// The slowdown with this percentage, at least 1.
    pub fn from_percent(percent: u32) -> Self {
        Self {
            percent: percent.max(1),
        }
    }

    /// The percentage.
    pub fn percent(self) -> u32 {
        self.percent
    }

    /// How long work takes that ordinarily takes `duration`.
    pub fn of(self, duration: time::Duration) -> time::Duration {
        match self {
            Self::ORDINARY => duration,
            _ => duration.saturating_mul(self.percent) / 100,
        }
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Self::ORDINARY
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.percent)
    }
}

impl str::FromStr for Slowdown {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || error::ParseError::new("slowdown", text, "like 170%, not 0%");
        let number = text.strip_suffix('%').ok_or_else(wrong)?;
        match number.parse().map_err(|_| wrong())? {
            0 => Err(wrong()),
            percent => Ok(Self { percent }),
        }
    }
}

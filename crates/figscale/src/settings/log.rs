//! Settings of the log.

use serde::Deserialize;
use serde::Serialize;

/// The log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is written. Default `info`.
    pub level: LogLevel,
    /// Where lines go. Default `stderr`.
    pub target: LogTarget,
}

/// Severity of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only what needs a person.
    Error,
    /// Also what may need one.
    Warn,
    /// Also what changes.
    #[default]
    Info,
    /// Also what helps to find a fault.
    Debug,
}

/// Where lines go. Instances have no disks, so there is no file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogTarget {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

impl LogLevel {
    pub(crate) fn filter(self) -> log::LevelFilter {
        match self {
            Self::Error => log::LevelFilter::Error,
            Self::Warn => log::LevelFilter::Warn,
            Self::Info => log::LevelFilter::Info,
            Self::Debug => log::LevelFilter::Debug,
        }
    }
}

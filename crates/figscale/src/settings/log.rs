//! Settings of the log.

use serde::Deserialize;
use serde::Serialize;

/// The log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Minimum severity of the lines that are written. Default `info`.
    pub level: LogLevel,
    /// Output of the log. Default `stderr`.
    pub target: LogTarget,
}

/// Minimum severity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only errors, which need the attention of an operator.
    Error,
    /// Also warnings, which may need attention.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also details for debugging.
    Debug,
}

/// Output of the log. Instances have no disks, so there is no file.
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

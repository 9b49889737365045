//! Whether a request may have run.
//!
//! A caller needs to know whether a failed request can be retried without
//! running twice, so every error, hop and log event carries a [`Verdict`]. It is
//! monotonic: once a byte of a request may have reached a runner, no later step
//! may return to [`Verdict::NotRun`], unless the runner itself refused the
//! request.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::error;

/// Whether a request, or a task, ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It did not run: no byte of it reached a runner, or the runner refused it.
    NotRun,
    /// It is unknown whether it ran.
    MayHaveRun,
    /// It ran, and its response was received.
    Ran,
}

impl Verdict {
    /// The combined verdict of two attempts.
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }

    /// The word used in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Verdict {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::NotRun, Self::MayHaveRun, Self::Ran]
            .into_iter()
            .find(|v| v.as_str() == text)
            .ok_or_else(|| error::ParseError::new("verdict", text, "not-run, may-have-run or ran"))
    }
}

//! Ids of jobs, tasks and workers, and the epoch of a leader.

use std::fmt;
use std::str;
use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::error;

/// Digits of a job id.
const JOB_ID_LEN: usize = 16;

/// A job, by the 16 lower-case hexadecimal digits that its caller chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for JobId {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || error::ParseError::new("job id", text, "16 lower-case hexadecimal digits");
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != JOB_ID_LEN || !text.bytes().all(digit) {
            return Err(bad());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| bad())
    }
}

/// One task of a job: occurrence, step and index count from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Occurrence of a repeated job; 0 for one that is not repeated.
    pub occurrence: u32,
    /// Step within the job.
    pub step: u32,
    /// Task within the step.
    pub index: u32,
}

impl TaskId {
    /// Whether both are tasks of one step, of the same occurrence.
    pub fn is_of_same_step(&self, other: &Self) -> bool {
        let same_job = self.job == other.job && self.occurrence == other.occurrence;
        same_job && self.step == other.step
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl str::FromStr for TaskId {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || error::ParseError::new("task id", text, "JOB.OCCURRENCE.STEP.INDEX");
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(bad)?.parse()?;
        let mut number = || {
            parts
                .next()
                .and_then(|part| part.parse().ok())
                .ok_or_else(bad)
        };
        let occurrence = number()?;
        let step = number()?;
        let index = number()?;
        if parts.next().is_some() {
            return Err(bad());
        }
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

/// One incarnation of a worker. A worker that restarts has another id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct WorkerId(sync::Arc<str>);

impl From<String> for WorkerId {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl From<WorkerId> for String {
    fn from(id: WorkerId) -> Self {
        id.as_str().to_owned()
    }
}

impl WorkerId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl str::FromStr for WorkerId {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.chars().any(char::is_whitespace) {
            return Err(error::ParseError::new(
                "worker id",
                text,
                "visible characters",
            ));
        }
        Ok(Self(text.into()))
    }
}

/// Number of a leader's term; workers refuse orders of an earlier term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for Epoch {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse().map(Self);
        number.map_err(|_| error::ParseError::new("epoch", text, "a whole number"))
    }
}

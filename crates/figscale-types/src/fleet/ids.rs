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

/// One incarnation of a worker.
///
/// A worker that restarts has either another name or, under the same name, a later
/// birth. Platforms on which names are never used again state no birth.
///
/// The text form is `NAME` without a birth, and `NAME@BIRTH` with one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct WorkerId {
    name: sync::Arc<str>,
    born_ms: Option<u64>,
}

/// Separates name and birth in the text form.
const BIRTH_SEPARATOR: char = '@';

impl WorkerId {
    /// The incarnation of the worker with this name that started at `born_ms`.
    pub fn new(name: &str, born_ms: Option<u64>) -> Result<Self, error::ParseError> {
        if name.is_empty() || name.chars().any(char::is_whitespace) {
            return Err(error::ParseError::new(
                "worker id",
                name,
                "visible characters",
            ));
        }
        Ok(Self {
            name: name.into(),
            born_ms,
        })
    }

    /// The name under which the platform lists the worker.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Start of this incarnation, in Unix milliseconds, if the worker states it.
    pub fn born_ms(&self) -> Option<u64> {
        self.born_ms
    }

    /// Whether this is a later incarnation under the name of `other`.
    pub fn succeeds(&self, other: &Self) -> bool {
        self.name == other.name && self.born_ms > other.born_ms
    }
}

impl From<String> for WorkerId {
    fn from(text: String) -> Self {
        let (name, born_ms) = match text.rsplit_once(BIRTH_SEPARATOR) {
            Some((name, "")) => (name, None),
            Some((name, birth)) => match birth.parse() {
                Ok(born_ms) => (name, Some(born_ms)),
                Err(_) => (text.as_str(), None),
            },
            None => (text.as_str(), None),
        };
        Self {
            name: name.into(),
            born_ms,
        }
    }
}

impl From<WorkerId> for String {
    fn from(id: WorkerId) -> Self {
        id.to_string()
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)?;
        match self.born_ms {
            Some(born_ms) => write!(f, "{BIRTH_SEPARATOR}{born_ms}"),
            // A name with the separator must not be taken for one with a birth.
            None if self.name.contains(BIRTH_SEPARATOR) => write!(f, "{BIRTH_SEPARATOR}"),
            None => Ok(()),
        }
    }
}

impl str::FromStr for WorkerId {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let id = Self::from(text.to_owned());
        Self::new(&id.name, id.born_ms)
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

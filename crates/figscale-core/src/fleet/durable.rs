//! What outlives a leader: a record for each job and one for its progress.
//!
//! The record of a job is written before its caller hears that it is accepted.
//! Progress is a record of its own, so that a few bytes and not the whole job
//! are written again when tasks end. At the end of a job both are replaced by
//! a short record of its outcome, which answers late repeats and questions.

use std::error;
use std::fmt;

use figscale_types::fleet;
use serde::Deserialize;
use serde::Serialize;

use super::crashes;
use super::maps;

/// First byte of each record, for records of other layouts to come.
const LAYOUT: u8 = 1;

/// Which record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordKey {
    /// A job, or its outcome.
    Job(fleet::JobId),
    /// Progress of a job.
    Progress(fleet::JobId),
    /// The workers that may run something.
    Workers,
}

/// A record to be written, or removed where there are no bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Which.
    pub key: RecordKey,
    /// Its bytes.
    pub bytes: Option<Vec<u8>>,
}

/// Records that are to be written together with what depends on them.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The records.
    pub records: Vec<Record>,
    /// Jobs that may be told as accepted once the records are written.
    pub(crate) created: Vec<fleet::JobId>,
    /// Workers that may be used once the records are written; `None` where
    /// that does not change.
    pub(crate) recorded: Option<maps::WorkerSet>,
    /// Jobs of the records.
    pub(crate) jobs: Vec<fleet::JobId>,
}

/// A record that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError(String);

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unreadable record: {}", self.0)
    }
}

impl error::Error for RecordError {}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum JobRecord {
    Open {
        queue: fleet::Queue,
        description: fleet::JobDescription,
        submitted_wall_ms: u64,
    },
    Ended {
        queue_name: String,
        state: fleet::JobState,
        submitted_wall_ms: u64,
        rooms: Vec<fleet::Room>,
    },
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct TaskProgress {
    pub(crate) done: bool,
    pub(crate) failed_attempts: Vec<u32>,
    pub(crate) checkpoint: String,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct StepProgress {
    pub(crate) tasks: Vec<TaskProgress>,
    pub(crate) gang_failed_attempts: Vec<u32>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ProgressRecord {
    pub(crate) rounds: Vec<Vec<StepProgress>>,
}

/// Whose a job is, behind the job in its record, where earlier versions do not
/// look.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CustomerRecord {
    pub(crate) customer: Option<fleet::CustomerName>,
    /// Of an ended job: room of its runs that had not ended.
    pub(crate) left_running: fleet::Room,
}

/// Workers lost under a task; behind the progress in its record, where earlier
/// versions do not look.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CrashRecord {
    pub(crate) round: u32,
    pub(crate) step: u32,
    pub(crate) index: u32,
    pub(crate) history: crashes::History,
}

pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    let mut bytes = vec![LAYOUT];
    let config = bincode::config::standard();
    // Plain data written to memory cannot fail; an empty record is refused
    // when it is read.
    if let Ok(body) = bincode::serde::encode_to_vec(record, config) {
        bytes.extend(body);
    }
    bytes
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    let Some((&LAYOUT, body)) = bytes.split_first() else {
        return Err(RecordError("another layout".to_owned()));
    };
    decode_first(body).map(|(record, _)| record)
}

/// Reads a record with what was added behind it; one of an earlier version ends
/// before that.
pub(crate) fn decode_both<T, M>(bytes: &[u8]) -> Result<(T, M), RecordError>
where
    T: serde::de::DeserializeOwned,
    M: serde::de::DeserializeOwned + Default,
{
    let Some((&LAYOUT, body)) = bytes.split_first() else {
        return Err(RecordError("another layout".to_owned()));
    };
    let (record, length) = decode_first(body)?;
    let more = match &body[length..] {
        [] => M::default(),
        rest => decode_first(rest)?.0,
    };
    Ok((record, more))
}

/// Reads a value and says how many bytes it took.
fn decode_first<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), RecordError> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.map_err(|error| RecordError(error.to_string()))
}

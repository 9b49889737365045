//! Records that outlive a leader: one for each job and one for its progress.
//!
//! The record of a job is written before its caller is told that the job is
//! accepted. Progress is a separate record, so that only a few bytes, and not the
//! whole job, are written when tasks end. At the end of a job both are replaced
//! by a short record of its outcome, from which late repeats of the submission
//! and queries of its state are answered.

use std::error;
use std::fmt;

use figscale_types::fleet;
use serde::Deserialize;
use serde::Serialize;

use super::cancelled_ids;
use super::crashes;
use super::maps;
use super::speed;

/// First byte of each record: the version of its layout, so that later layouts can
/// be distinguished.
const LAYOUT: u8 = 1;

/// Identifies a record in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordKey {
    /// A job, or its outcome.
    Job(fleet::JobId),
    /// Progress of a job.
    Progress(fleet::JobId),
    /// The workers that may have runs.
    Workers,
    /// The speed of workers and the run times of queues.
    Speeds,
    /// A batch of ids that were cancelled while no job with them was known.
    CancelledIds(u64),
}

/// A record to be written or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The record's key.
    pub key: RecordKey,
    /// Its encoded value; `None` removes the record.
    pub bytes: Option<Vec<u8>>,
}

/// Records for one transaction, and the changes that depend on it.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The records of the transaction.
    pub records: Vec<Record>,
    /// New jobs, which are reported as accepted once the records are written.
    pub(crate) created: Vec<fleet::JobId>,
    /// Jobs with the record of their end.
    pub(crate) ended: Vec<fleet::JobId>,
    /// Workers that may be used once the records are written; `None` if the
    /// record of workers is not among them.
    pub(crate) recorded: Option<maps::WorkerSet>,
    /// Speeds, if their record is among the records.
    pub(crate) speeds: Option<speed::Speeds>,
    /// Change of a record of cancelled ids, if it is among the records.
    pub(crate) cancelled_ids: Option<cancelled_ids::BatchChange>,
    /// Jobs that the records belong to.
    pub(crate) jobs: Vec<fleet::JobId>,
}

/// An error for a record that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError(String);

impl Records {
    /// Jobs that the records belong to.
    pub fn jobs(&self) -> &[fleet::JobId] {
        &self.jobs
    }
}

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

/// Customer of a job. It follows the job in its record, where earlier versions do
/// not read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CustomerRecord {
    pub(crate) customer: Option<fleet::CustomerName>,
    /// For an ended job: resources of its runs that had not ended.
    pub(crate) left_running: fleet::Room,
}

/// Losses of a task or gang. They follow the progress in its record, where earlier
/// versions do not read.
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
    // Encoding plain data into memory cannot fail. If it did, the record would
    // have no body, and decoding it would be an error.
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

/// Decodes a record and the values that later versions append to it, one after the
/// other. Those that an earlier version does not append are defaults.
pub(crate) fn decode_five<T, M, N, O, P>(bytes: &[u8]) -> Result<(T, M, N, O, P), RecordError>
where
    T: serde::de::DeserializeOwned,
    M: serde::de::DeserializeOwned + Default,
    N: serde::de::DeserializeOwned + Default,
    O: serde::de::DeserializeOwned + Default,
    P: serde::de::DeserializeOwned + Default,
{
    let Some((&LAYOUT, body)) = bytes.split_first() else {
        return Err(RecordError("another layout".to_owned()));
    };
    let (record, length) = decode_first(body)?;
    let (more, rest) = decode_appended(&body[length..])?;
    let (third, rest) = decode_appended(rest)?;
    let (fourth, rest) = decode_appended(rest)?;
    let (last, _) = decode_appended(rest)?;
    Ok((record, more, third, fourth, last))
}

/// Decodes a value that earlier versions do not append; returns it with the rest.
fn decode_appended<M>(bytes: &[u8]) -> Result<(M, &[u8]), RecordError>
where
    M: serde::de::DeserializeOwned + Default,
{
    if bytes.is_empty() {
        return Ok((M::default(), bytes));
    }
    let (value, length) = decode_first(bytes)?;
    Ok((value, &bytes[length..]))
}

/// Decodes a value; returns it with the number of bytes read.
fn decode_first<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), RecordError> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.map_err(|error| RecordError(error.to_string()))
}

//! Settings of jobs and tasks.

use serde::Deserialize;
use serde::Serialize;

use super::Problems;

/// Jobs and tasks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSettings {}

impl JobSettings {
    pub(super) fn check(&self, _problems: &mut Problems) {}
}

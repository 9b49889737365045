//! Settings of requests.

use serde::Deserialize;
use serde::Serialize;

use super::Problems;

/// Requests.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {}

impl TrafficSettings {
    pub(super) fn check(&self, _problems: &mut Problems) {}
}

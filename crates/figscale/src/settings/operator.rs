//! Settings of the operator API.

use serde::Deserialize;
use serde::Serialize;

use super::Problems;

/// Calls of operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Maximum time that a call waits for a service. Default 10,000, 100 to 60,000.
    pub timeout_ms: u64,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self { timeout_ms: 10_000 }
    }
}

impl OperatorSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.bound("operator.timeout_ms", self.timeout_ms, 100, 60_000);
    }
}

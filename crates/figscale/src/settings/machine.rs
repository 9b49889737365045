//! Settings of the machine that a process runs on.

use serde::Deserialize;
use serde::Serialize;

use super::Problems;

/// Size of the machine, from which the limits on what clients may hold are derived.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineSettings {
    /// Memory that the process may use. Default 1,024 MB, 32 to 16,777,216.
    pub memory_mb: u64,
    /// Descriptors that the process may open. Default 16,384, 256 to 16,777,216.
    pub max_descriptors: u64,
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self {
            memory_mb: 1_024,
            max_descriptors: 16_384,
        }
    }
}

impl MachineSettings {
    /// Memory that the process may use, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb << 20
    }

    pub(super) fn check(&self, problems: &mut Problems) {
        let largest = 16 << 20;
        problems.bound("machine.memory_mb", self.memory_mb, 32, largest);
        let descriptors = self.max_descriptors;
        problems.bound("machine.max_descriptors", descriptors, 256, largest);
    }
}

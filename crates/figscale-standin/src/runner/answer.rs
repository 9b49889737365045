//! What a stand-in runner answers, so that a caller can tell its own answer.

use figscale_types::ids;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// Text that fills a long answer.
const FILLING: &str = "hull and cargo, cliff and tide; ";

/// The body of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAnswer {
    /// Request id as the runner got it.
    pub request_id: String,
    /// Checksum of the request's body.
    pub body_checksum: String,
    /// Catalogue entry as the runner got it.
    pub entry: String,
    /// The runner.
    pub runner: ids::InstanceId,
    /// Makes the answer as long as the request asked for.
    pub filling: String,
}

impl RunAnswer {
    /// Filling of this many bytes.
    pub(crate) fn filling(len: usize) -> String {
        FILLING.chars().cycle().take(len).collect()
    }
}

/// SHA-256 in lower-case hexadecimal.
pub fn checksum(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

//! Response of a stand-in runner. It repeats the request id and a checksum of the
//! request, so that a caller can verify that the response is to its request.

use figscale_types::ids;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// Text that is repeated to pad a response.
const PADDING: &str = "hull and cargo, cliff and tide; ";

/// The body of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAnswer {
    /// Request id as the runner received it.
    pub request_id: String,
    /// Checksum of the request's body.
    pub body_checksum: String,
    /// Catalogue entry as the runner received it.
    pub entry: String,
    /// The runner.
    pub runner: ids::InstanceId,
    /// Padding of the length that the request asked for.
    pub filling: String,
}

impl RunAnswer {
    /// Padding of `len` bytes.
    pub(crate) fn padding(len: usize) -> String {
        PADDING.chars().cycle().take(len).collect()
    }
}

/// SHA-256 in lower-case hexadecimal.
pub fn checksum(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

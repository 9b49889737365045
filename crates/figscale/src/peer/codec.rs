//! Encoding of messages between entry instances.

use serde::Serialize;
use serde::de;

/// Largest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> eyre::Result<Vec<u8>> {
    Ok(bincode::serde::encode_to_vec(
        message,
        bincode::config::standard(),
    )?)
}

/// Decodes a message; trailing bytes are an error.
pub fn decode<T: de::DeserializeOwned>(bytes: &[u8]) -> eyre::Result<T> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(bytes, config)?;
    eyre::ensure!(
        used == bytes.len(),
        "{} bytes left over after a message",
        bytes.len() - used
    );
    Ok(message)
}

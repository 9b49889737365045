//! Length-prefixed frames on a stream between entry instances.
//!
//! A frame is a big-endian length of four bytes, followed by a message encoded
//! with `bincode`. Raw bytes, such as a body, may follow the last frame.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de;

use super::codec;

/// Largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// Encodes a frame.
pub(crate) fn frame<T: Serialize>(message: &T) -> eyre::Result<Bytes> {
    let body = codec::encode(message)?;
    let length = u32::try_from(body.len())?;
    let mut all = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    all.extend_from_slice(&length.to_be_bytes());
    all.extend_from_slice(&body);
    Ok(all.freeze())
}

/// Reads frames, then raw bytes, from a stream.
pub(crate) struct Reader {
    stream: h2::RecvStream,
    buffer: BytesMut,
}

impl Reader {
    pub(crate) fn new(stream: h2::RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next frame; fails if the stream ends first.
    pub(crate) async fn frame<T: de::DeserializeOwned>(&mut self) -> eyre::Result<T> {
        let length = self.take(LENGTH_BYTES).await?.get_u32() as usize;
        eyre::ensure!(length <= MAX_FRAME_BYTES, "a frame of {length} bytes");
        let body = self.take(length).await?;
        codec::decode(&body)
    }

    async fn take(&mut self, length: usize) -> eyre::Result<Bytes> {
        while self.buffer.len() < length {
            match self.part().await? {
                Some(part) => self.buffer.extend_from_slice(&part),
                None => eyre::bail!("the stream ended early"),
            }
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn part(&mut self) -> Result<Option<Bytes>, h2::Error> {
        let Some(part) = self.stream.data().await else {
            return Ok(None);
        };
        let part = part?;
        let _ = self.stream.flow_control().release_capacity(part.len());
        Ok(Some(part))
    }

    /// Reads the next raw bytes; `None` at the end of the stream.
    pub(crate) async fn raw(&mut self) -> Result<Option<Bytes>, h2::Error> {
        if !self.buffer.is_empty() {
            return Ok(Some(self.buffer.split().freeze()));
        }
        self.part().await
    }

    /// Reads raw bytes up to the end of the stream; fails unless there are exactly
    /// `length`.
    pub(crate) async fn whole(&mut self, length: u64) -> eyre::Result<Bytes> {
        let mut all = BytesMut::new();
        while let Some(part) = self.raw().await? {
            all.extend_from_slice(&part);
            eyre::ensure!(all.len() as u64 <= length, "more bytes than announced");
        }
        eyre::ensure!(all.len() as u64 == length, "fewer bytes than announced");
        Ok(all.freeze())
    }
}

//! Carries the bytes of one connection, each way on its own.
//!
//! A reader stamps each chunk with the time at which it is due, and a writer
//! delivers it then, so that a delay costs time on the way and no throughput.

use std::io;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::Direction;
use super::Faults;
use super::Shared;

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks under way in one direction.
const CHUNKS: usize = 1_024;

/// Bytes with the time at which they are due.
struct Chunk {
    due: tokio::time::Instant,
    bytes: Bytes,
}

/// One way of a connection.
struct Way<'a> {
    faults: watch::Receiver<Faults>,
    direction: fn(&Faults) -> Direction,
    delivered: &'a atomic::AtomicU64,
}

/// Carries bytes both ways until both have ended, or one was broken.
pub(super) async fn both_ways(
    client: TcpStream,
    target: TcpStream,
    shared: &sync::Arc<Shared>,
    mut breaks: watch::Receiver<u64>,
) {
    let _ = target.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_target, to_target) = target.into_split();
    let there = Way {
        faults: shared.faults.subscribe(),
        direction: |faults| faults.to_target,
        delivered: &shared.to_target_bytes,
    };
    let back = Way {
        faults: shared.faults.subscribe(),
        direction: |faults| faults.to_client,
        delivered: &shared.to_client_bytes,
    };
    let mut to_target = to_target;
    let mut to_client = to_client;
    let carried = tokio::select! {
        carried = async {
            tokio::try_join!(
                there.carry(from_client, &mut to_target),
                back.carry(from_target, &mut to_client),
            )
        } => carried.map(|_| ()),
        _ = breaks.changed() => Err(io::Error::other("broken by order")),
    };
    if carried.is_err() {
        super::reset(to_client.as_ref());
        super::reset(to_target.as_ref());
    }
}

impl Way<'_> {
    async fn carry(
        &self,
        from: tcp::OwnedReadHalf,
        to: &mut tcp::OwnedWriteHalf,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNKS);
        let mut half_closed = self.faults.clone();
        let direction = self.direction;
        tokio::select! {
            carried = async {
                tokio::try_join!(self.read(from, sender), self.write(receiver, to))
            } => {
                carried?;
            }
            _ = half_closed.wait_for(|faults| direction(faults).half_close) => {}
        }
        to.shutdown().await
    }

    fn now(&self) -> Direction {
        (self.direction)(&self.faults.borrow())
    }

    async fn read(&self, mut from: tcp::OwnedReadHalf, to: mpsc::Sender<Chunk>) -> io::Result<()> {
        let mut buffer = BytesMut::new();
        loop {
            buffer.reserve(CHUNK_BYTES);
            if from.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
            let delay = time::Duration::from_millis(self.now().delay_ms);
            let chunk = Chunk {
                due: tokio::time::Instant::now() + delay,
                bytes: buffer.split().freeze(),
            };
            if to.send(chunk).await.is_err() {
                return Ok(());
            }
        }
    }

    async fn write(
        &self,
        mut from: mpsc::Receiver<Chunk>,
        to: &mut tcp::OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut carried: u64 = 0;
        let mut faults = self.faults.clone();
        let direction = self.direction;
        while let Some(chunk) = from.recv().await {
            tokio::time::sleep_until(chunk.due).await;
            // The sender lives as long as the proxy.
            let _ = faults.wait_for(|faults| !direction(faults).freeze).await;
            if self.now().cut {
                let _ = faults.wait_for(|faults| !direction(faults).cut).await;
                return Err(io::Error::other("bytes were lost in a cut"));
            }
            carried += self.deliver(&chunk.bytes, carried, to).await?;
        }
        self.end().await
    }

    /// Writes bytes, up to the limit after which the connection is reset.
    async fn deliver(
        &self,
        bytes: &[u8],
        carried: u64,
        to: &mut tcp::OwnedWriteHalf,
    ) -> io::Result<u64> {
        let len = bytes.len() as u64;
        let room = match self.now().drop_after_bytes {
            Some(limit) => limit.saturating_sub(carried).min(len),
            None => len,
        };
        to.write_all(&bytes[..usize::try_from(room).unwrap_or(bytes.len())])
            .await?;
        self.delivered.fetch_add(room, atomic::Ordering::Relaxed);
        if room < len {
            return Err(io::Error::other("reached the limit of bytes"));
        }
        Ok(room)
    }

    /// The end of a stream is held back like its bytes.
    async fn end(&self) -> io::Result<()> {
        let mut faults = self.faults.clone();
        let direction = self.direction;
        let passes = |faults: &Faults| {
            let direction = direction(faults);
            !direction.freeze && !direction.cut
        };
        let _ = faults.wait_for(passes).await;
        Ok(())
    }
}

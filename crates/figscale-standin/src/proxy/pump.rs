//! Forwards the bytes of one connection, each direction independently.
//!
//! A reader stamps each chunk with the time at which it is due, and a writer
//! delivers it then, so that a delay adds latency without limiting throughput.

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
/// Largest number of chunks in flight in one direction.
const CHUNKS: usize = 1_024;

/// Bytes with the time at which they are due.
struct Chunk {
    due: tokio::time::Instant,
    bytes: Bytes,
}

/// One direction of a connection.
struct Forwarder<'a> {
    faults: watch::Receiver<Faults>,
    direction: fn(&Faults) -> Direction,
    delivered: &'a atomic::AtomicU64,
}

/// Forwards bytes in both directions until both have ended or one has failed.
pub(super) async fn forward_both(
    client: TcpStream,
    target: TcpStream,
    shared: &sync::Arc<Shared>,
    mut resets: watch::Receiver<u64>,
    mut silences: watch::Receiver<u64>,
) {
    let _ = target.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_target, to_target) = target.into_split();
    let client_to_target = Forwarder {
        faults: shared.faults.subscribe(),
        direction: |faults| faults.to_target,
        delivered: &shared.to_target_bytes,
    };
    let target_to_client = Forwarder {
        faults: shared.faults.subscribe(),
        direction: |faults| faults.to_client,
        delivered: &shared.to_client_bytes,
    };
    let mut to_target = to_target;
    let mut to_client = to_client;
    let forwarded = tokio::select! {
        forwarded = async {
            tokio::try_join!(
                client_to_target.forward(from_client, &mut to_target),
                target_to_client.forward(from_target, &mut to_client),
            )
        } => forwarded.map(|_| ()),
        _ = resets.changed() => Err(io::Error::other("connection reset by a control call")),
        _ = silences.changed() => {
            // Both sockets stay open and unread. Cannot fail: the sender lives as
            // long as the proxy.
            let _ = resets.changed().await;
            Err(io::Error::other("silent connection reset by a control call"))
        }
    };
    if forwarded.is_err() {
        super::reset(to_client.as_ref());
        super::reset(to_target.as_ref());
    }
}

impl Forwarder<'_> {
    async fn forward(
        &self,
        from: tcp::OwnedReadHalf,
        to: &mut tcp::OwnedWriteHalf,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNKS);
        let mut half_closed = self.faults.clone();
        let direction = self.direction;
        tokio::select! {
            forwarded = async {
                tokio::try_join!(self.read(from, sender), self.write(receiver, to))
            } => {
                forwarded?;
            }
            _ = half_closed.wait_for(|faults| direction(faults).half_close) => {}
        }
        to.shutdown().await
    }

    fn current_faults(&self) -> Direction {
        (self.direction)(&self.faults.borrow())
    }

    async fn read(&self, mut from: tcp::OwnedReadHalf, to: mpsc::Sender<Chunk>) -> io::Result<()> {
        let mut buffer = BytesMut::new();
        loop {
            buffer.reserve(CHUNK_BYTES);
            if from.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
            let delay = time::Duration::from_millis(self.current_faults().delay_ms);
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
        let mut forwarded: u64 = 0;
        let mut faults = self.faults.clone();
        let direction = self.direction;
        while let Some(chunk) = from.recv().await {
            tokio::time::sleep_until(chunk.due).await;
            // Cannot fail: the sender lives as long as the proxy.
            let _ = faults.wait_for(|faults| !direction(faults).freeze).await;
            if self.current_faults().cut {
                let _ = faults.wait_for(|faults| !direction(faults).cut).await;
                return Err(io::Error::other(
                    "bytes were discarded while the path was cut",
                ));
            }
            forwarded += self.deliver(&chunk.bytes, forwarded, to).await?;
        }
        self.wait_until_end_passes().await
    }

    /// Writes bytes up to the limit at which the connection is reset.
    async fn deliver(
        &self,
        bytes: &[u8],
        forwarded: u64,
        to: &mut tcp::OwnedWriteHalf,
    ) -> io::Result<u64> {
        let len = bytes.len() as u64;
        let allowed = match self.current_faults().drop_after_bytes {
            Some(limit) => limit.saturating_sub(forwarded).min(len),
            None => len,
        };
        to.write_all(&bytes[..usize::try_from(allowed).unwrap_or(bytes.len())])
            .await?;
        self.delivered.fetch_add(allowed, atomic::Ordering::Relaxed);
        if allowed < len {
            return Err(io::Error::other("byte limit of the direction reached"));
        }
        Ok(allowed)
    }

    /// Holds the end of the stream back while the direction is frozen or cut, as
    /// its bytes are.
    async fn wait_until_end_passes(&self) -> io::Result<()> {
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

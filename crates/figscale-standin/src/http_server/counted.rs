//! A connection that counts its bytes.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Adds the bytes read and the bytes written to one counter.
pub(super) struct Counted {
    stream: TcpStream,
    bytes: sync::Arc<atomic::AtomicU64>,
}

impl Counted {
    pub(super) fn new(stream: TcpStream, bytes: sync::Arc<atomic::AtomicU64>) -> Self {
        Self { stream, bytes }
    }

    fn add(&self, count: usize) {
        self.bytes
            .fetch_add(count as u64, atomic::Ordering::Relaxed);
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.add(buffer.filled().len() - before);
        read
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write(cx, buffer);
        if let task::Poll::Ready(Ok(count)) = &written {
            self.add(*count);
        }
        written
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

//! A connection to a runner that writes only while its process may dispatch.
//!
//! Whether the process still holds the shard, and has authority, is checked in
//! the call that passes the first byte of a request to the operating system, and
//! again right after it. A process that was paused between its decision and the
//! write therefore writes nothing when it resumes. The connection also records
//! whether any byte of a request was written, which distinguishes
//! [`Verdict::NotRun`] from [`Verdict::MayHaveRun`].
//!
//! [`Verdict::NotRun`]: figscale_types::verdict::Verdict::NotRun
//! [`Verdict::MayHaveRun`]: figscale_types::verdict::Verdict::MayHaveRun

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use figscale_types::mutex;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Returns whether a dispatch may be written now.
pub(super) type WriteCheck = sync::Arc<dyn Fn() -> bool + Send + Sync>;

/// Controls whether a connection may write a request, and records whether it has.
#[derive(Default)]
pub(super) struct Gate {
    check: sync::Mutex<Option<WriteCheck>>,
    begun: atomic::AtomicBool,
    refused: atomic::AtomicBool,
    late: atomic::AtomicBool,
}

impl Gate {
    /// Resets the gate for a new request, of which nothing is written yet; `check`
    /// decides whether it may be.
    pub(super) fn arm(&self, check: WriteCheck) {
        *mutex::lock(&self.check) = Some(check);
        self.begun.store(false, atomic::Ordering::SeqCst);
        self.refused.store(false, atomic::Ordering::SeqCst);
        self.late.store(false, atomic::Ordering::SeqCst);
    }

    /// Whether any byte of the request was passed to the operating system.
    pub(super) fn has_begun(&self) -> bool {
        self.begun.load(atomic::Ordering::SeqCst)
    }

    /// Whether a write was refused because the check failed.
    pub(super) fn was_refused(&self) -> bool {
        self.refused.load(atomic::Ordering::SeqCst)
    }

    /// Whether the check failed right after the first bytes were written.
    pub(super) fn was_late(&self) -> bool {
        self.late.load(atomic::Ordering::SeqCst)
    }

    fn is_open(&self) -> bool {
        mutex::lock(&self.check)
            .as_ref()
            .is_some_and(|check| check())
    }

    fn before(&self) -> io::Result<()> {
        if self.has_begun() || self.is_open() {
            return Ok(());
        }
        self.refused.store(true, atomic::Ordering::SeqCst);
        Err(io::ErrorKind::PermissionDenied.into())
    }

    fn after(&self, written: &task::Poll<io::Result<usize>>) {
        let wrote = matches!(written, task::Poll::Ready(Ok(count)) if *count > 0);
        if wrote && !self.begun.swap(true, atomic::Ordering::SeqCst) && !self.is_open() {
            self.late.store(true, atomic::Ordering::SeqCst);
        }
    }
}

/// A socket whose writes are subject to a [`Gate`].
pub(super) struct Fenced {
    socket: TcpStream,
    gate: sync::Arc<Gate>,
}

impl Fenced {
    pub(super) fn new(socket: TcpStream, gate: sync::Arc<Gate>) -> Self {
        Self { socket, gate }
    }
}

impl AsyncRead for Fenced {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for Fenced {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.gate.before()?;
        let written = pin::Pin::new(&mut self.socket).poll_write(cx, buf);
        self.gate.after(&written);
        written
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.gate.before()?;
        let written = pin::Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.gate.after(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

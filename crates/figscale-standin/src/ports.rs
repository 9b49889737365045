//! Free ports for processes that must know their addresses beforehand.
//!
//! They are taken from below the range that the operating system hands out for
//! outgoing connections, so that none is lost between the check and the use
//! but to another process that picks in the same way.

use std::io;
use std::net;
use std::process;
use std::sync::atomic;

const FIRST: u32 = 10_000;
const COUNT: u32 = 22_000;
/// Distance between the starting points of processes with adjacent ids.
const STRIDE: u32 = 101;

static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// An address of 127.0.0.1 that was free a moment ago; never the same twice.
pub fn free_address() -> io::Result<net::SocketAddr> {
    let start = process::id().wrapping_mul(STRIDE);
    for _ in 0..COUNT {
        let step = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let port = FIRST + start.wrapping_add(step) % COUNT;
        let port = u16::try_from(port).unwrap_or_default();
        let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        if net::TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no port is free"))
}

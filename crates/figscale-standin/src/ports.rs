//! Reserves free ports for processes that must know their addresses before they
//! start.
//!
//! Ports are chosen below the ephemeral range from which the operating system
//! assigns ports to outgoing connections. Between the choice of a port and the
//! moment at which a child process listens on it, another test process could
//! choose the same port, or probe it just while the child binds it. To prevent
//! this, the UDP port of the same number, which nothing here uses, is bound
//! first and stays bound until this process ends. This costs one open socket
//! per port. Only programs that do not reserve ports in this way can still
//! take one.

use std::io;
use std::net;
use std::process;
use std::sync;

use figscale_types::mutex;
use tokio::net::TcpSocket;

const FIRST: u32 = 10_000;
const COUNT: u32 = 22_000;
/// Distance between the starting points of processes with adjacent ids.
const STRIDE: u32 = 101;

static PORTS: sync::LazyLock<sync::Mutex<Ports>> = sync::LazyLock::new(|| {
    sync::Mutex::new(Ports::starting_at(process::id().wrapping_mul(STRIDE)))
});

/// An address of 127.0.0.1 that is reserved for this process until its end;
/// never the same twice. Fails when no port of the range is free.
pub fn free_address() -> io::Result<net::SocketAddr> {
    mutex::lock(&PORTS).free_address()
}

/// The ports that one process has reserved.
#[derive(Debug)]
pub struct Ports {
    next: u32,
    reserved: Vec<net::UdpSocket>,
}

impl Ports {
    /// No ports reserved yet; the search begins at this offset into the range,
    /// modulo the size of the range.
    pub fn starting_at(place: u32) -> Self {
        Self {
            next: place % COUNT,
            reserved: Vec::new(),
        }
    }

    /// An address of 127.0.0.1 that is reserved until this is dropped. Fails
    /// when no port of the range is free.
    pub fn free_address(&mut self) -> io::Result<net::SocketAddr> {
        for _ in 0..COUNT {
            let port = u16::try_from(FIRST + self.next).map_err(io::Error::other)?;
            self.next = (self.next + 1) % COUNT;
            let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
            let Ok(reservation) = net::UdpSocket::bind(address) else {
                continue;
            };
            if is_free(address) {
                self.reserved.push(reservation);
                return Ok(address);
            }
        }
        Err(io::Error::other("no port is free"))
    }
}

/// Whether nothing listens at an address.
///
/// The socket is bound and never listens: a process that another thread is just
/// starting holds a copy of it for a moment, and a copy that listened would keep the
/// address from the process which it was chosen for.
fn is_free(address: net::SocketAddr) -> bool {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)
    });
    bound.is_ok()
}

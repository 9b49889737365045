//! Crowds of clients that misuse the callers' address: each opens connections, sends
//! its script on them, and comes back when a connection is closed.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task;

/// Pause before a client whose connection was closed opens another.
const RETURN_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// What a client of a crowd sends on each connection.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    /// Sent once.
    pub(crate) start: Vec<u8>,
    /// Sent again and again.
    pub(crate) part: Vec<u8>,
    /// Number of parts.
    pub(crate) parts: usize,
    /// Pause before each part.
    pub(crate) pause: time::Duration,
    /// Whether the client reads what it is sent.
    pub(crate) reads: bool,
}

/// What the clients of a crowd have done.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    /// Connections opened.
    pub(crate) opened: atomic::AtomicUsize,
    /// Connections that the instance closed.
    pub(crate) closed: atomic::AtomicUsize,
    /// Bytes sent.
    pub(crate) sent_bytes: atomic::AtomicU64,
}

/// A crowd that goes on until it is dropped.
pub(crate) struct Crowd {
    pub(crate) counts: sync::Arc<Counts>,
    clients: Vec<task::JoinHandle<()>>,
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for client in &self.clients {
            client.abort();
        }
    }
}

impl Crowd {
    /// Starts `clients` clients of one instance.
    pub(crate) fn start(address: net::SocketAddr, clients: usize, script: Script) -> Self {
        let counts = sync::Arc::new(Counts::default());
        let script = sync::Arc::new(script);
        let client = |_| {
            let (script, counts) = (script.clone(), counts.clone());
            tokio::spawn(async move {
                loop {
                    visit(address, &script, &counts).await;
                    tokio::time::sleep(RETURN_PAUSE).await;
                }
            })
        };
        Self {
            clients: (0..clients).map(client).collect(),
            counts,
        }
    }
}

/// Opens a connection and follows the script until the instance closes it.
async fn visit(address: net::SocketAddr, script: &Script, counts: &Counts) {
    let connect = TcpStream::connect(address);
    let Ok(Ok(socket)) = tokio::time::timeout(CONNECT_TIMEOUT, connect).await else {
        return;
    };
    counts.opened.fetch_add(1, atomic::Ordering::Relaxed);
    let (mut reader, mut writer) = socket.into_split();
    let write = async {
        writer.write_all(&script.start).await?;
        count_sent(counts, script.start.len());
        for _ in 0..script.parts {
            tokio::time::sleep(script.pause).await;
            writer.write_all(&script.part).await?;
            count_sent(counts, script.part.len());
        }
        std::future::pending::<std::io::Result<()>>().await
    };
    let read = async {
        let mut buffer = [0; 4_096];
        while script.reads && matches!(reader.read(&mut buffer).await, Ok(1..)) {}
        if !script.reads {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        _ = write => (),
        () = read => (),
    }
    counts.closed.fetch_add(1, atomic::Ordering::Relaxed);
}

fn count_sent(counts: &Counts, bytes: usize) {
    counts
        .sent_bytes
        .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
}

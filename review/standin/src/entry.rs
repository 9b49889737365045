//! Entry instances of figscale as separate processes, started with the command of
//! the deploy file and settings as its template fills them for a small deployment.

use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::time;

use serde_json::json;

use crate::client;

/// Program of the deploy file, from the repository's root.
const PROGRAM: &str = "target/release/figscale";

pub struct Entry {
    pub caller: net::SocketAddr,
    pub ready: net::SocketAddr,
    pub operator: net::SocketAddr,
    settings: path::PathBuf,
    log: path::PathBuf,
    child: Option<process::Child>,
}

/// Values that the platform fills into the template.
pub struct Bounds {
    pub hold_max_ms: u64,
    pub stop_timeout_ms: u64,
    pub contact_ms: u64,
    pub checkpoint_s: u64,
    pub restore_ms: u64,
}

/// A free port below those that the system gives to outgoing connections, which could
/// take it before the process listens.
fn free_address() -> net::SocketAddr {
    static NEXT: sync::atomic::AtomicU16 = sync::atomic::AtomicU16::new(0);
    let base = 12_000 + (process::id() % 150) as u16 * 100;
    loop {
        let port = base + NEXT.fetch_add(1, sync::atomic::Ordering::Relaxed) % 5_000;
        let address = net::SocketAddr::from(([127, 0, 0, 1], port));
        if net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Entry {
    pub fn new(
        number: usize,
        store: net::SocketAddr,
        advice: net::SocketAddr,
        bounds: &Bounds,
        directory: &path::Path,
    ) -> Self {
        let [caller, ready, operator, peer] = std::array::from_fn(|_| free_address());
        let settings = json!({
            "member": format!("front-{number}"),
            "failure_domain": format!("hall-{}", number % 4),
            "caller_address": caller,
            "peer_address": peer,
            "operator_address": operator,
            "platform_address": store,
            "peer_token": "figscale-entry-instances",
            "log": {"level": "info", "target": "stdout"},
            "fleet": {
                "ready_address": ready,
                "advice_address": advice,
                "cpu_share": 0.25,
                "cores": 1,
                "max_worker_lease_ms": bounds.hold_max_ms,
                "stop_limit_ms": bounds.stop_timeout_ms,
                "checkpoint_s": bounds.checkpoint_s,
                "restore_ms": bounds.restore_ms,
                "max_entry_age_ms": bounds.contact_ms,
            },
        });
        let file = directory.join(format!("front-{number}.json"));
        fs::write(&file, settings.to_string()).expect("settings not written");
        Self {
            caller,
            ready,
            operator,
            settings: file,
            log: directory.join(format!("front-{number}.log")),
            child: None,
        }
    }

    pub fn launch(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let child = process::Command::new(PROGRAM)
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdout(log.expect("no log"))
            .spawn();
        self.child = Some(child.expect("figscale does not start"));
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = process::Command::new("kill")
                .args(["-s", signal, &id])
                .status();
        }
    }

    pub async fn is_ready(&self) -> bool {
        let wait = time::Duration::from_secs(1);
        client::call(self.ready, "GET", "x", "/ready", "", wait)
            .await
            .status
            == 200
    }

    pub async fn leads(&self) -> bool {
        let wait = time::Duration::from_secs(1);
        let dump = client::call(self.operator, "GET", "x", "/v1/dump", "", wait).await;
        let dump: serde_json::Value = serde_json::from_str(&dump.body).unwrap_or_default();
        dump["leading"] == true
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

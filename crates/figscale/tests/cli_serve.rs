//! `figscale serve` as a process: signals, exit codes and the log.
//!
//! No platform is running in these tests: an outage of the platform must not make
//! the process fail.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::fs;
use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::net;
use std::path;
use std::process;
use std::time;

use figscale_standin::ports;
use rstest::rstest;

/// Maximum time to wait for the process to end.
const LIMIT: time::Duration = time::Duration::from_secs(60);

/// A running process, killed when dropped.
struct Serve {
    child: process::Child,
    log: BufReader<process::ChildStderr>,
    _directory: tempfile::TempDir,
}

impl Drop for Serve {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Addresses of callers, peers, operators and the platform.
fn free_addresses() -> [net::SocketAddr; 4] {
    std::array::from_fn(|_| ports::free_address().unwrap())
}

fn write_settings(
    directory: &path::Path,
    [caller, peer, operator, platform]: [net::SocketAddr; 4],
) -> path::PathBuf {
    let file = directory.join("settings.json");
    let text = format!(
        r#"{{
  "member": "entry-a",
  "failure_domain": "lm-1",
  "caller_address": "{caller}",
  "peer_address": "{peer}",
  "operator_address": "{operator}",
  "platform_address": "{platform}", // Nobody listens there.
  "peer_token": "0123456789abcdef",
  "shutdown_ms": 2000
}}"#
    );
    fs::write(&file, text).unwrap();
    file
}

fn serve(addresses: [net::SocketAddr; 4]) -> Serve {
    let directory = tempfile::tempdir().unwrap();
    let file = write_settings(directory.path(), addresses);
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_figscale"))
        .arg("serve")
        .arg("--settings")
        .arg(file)
        .stderr(process::Stdio::piped())
        .spawn()
        .unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    Serve {
        child,
        log,
        _directory: directory,
    }
}

impl Serve {
    /// Reads the log up to the event of this name and returns its line.
    fn read_until(&mut self, name: &str) -> serde_json::Value {
        let mut line = String::new();
        while self.log.read_line(&mut line).unwrap() > 0 {
            let event: serde_json::Value = serde_json::from_str(&line).unwrap();
            if event["name"] == name {
                return event;
            }
            line.clear();
        }
        panic!("the log ended before {name}");
    }

    fn signal(&self, signal: &str) {
        let status = process::Command::new("kill")
            .args(["-s", signal, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    fn exit_code(&mut self) -> Option<i32> {
        let start = time::Instant::now();
        while start.elapsed() < LIMIT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(time::Duration::from_millis(10));
        }
        panic!("still running");
    }
}

/// A signal causes a planned stop: graceful, and with exit code 0.
#[rstest]
#[case("TERM")]
#[case("INT")]
fn signal_stops_gracefully(#[case] signal: &str) {
    let mut serve = serve(free_addresses());
    let started = serve.read_until("PROCESS_STARTED");
    assert_eq!(started["event"], 1_001);
    assert!(started["member"].as_str().unwrap().starts_with("entry-a#"));
    serve.signal(signal);
    serve.read_until("PROCESS_LEAVING");
    serve.read_until("PROCESS_ENDED");
    assert_eq!(serve.exit_code(), Some(0));
}

/// If an address is in use, the start fails and the message names the field.
#[test]
fn taken_address_fails_the_start() {
    let addresses = free_addresses();
    let _taken = net::TcpListener::bind(addresses[2]).unwrap();
    let mut serve = serve(addresses);
    assert_eq!(serve.exit_code(), Some(1));
    let mut text = String::new();
    serve.log.read_to_string(&mut text).unwrap();
    let expected = format!("operator_address: cannot listen on {}", addresses[2]);
    assert!(text.contains(&expected), "{text}");
}

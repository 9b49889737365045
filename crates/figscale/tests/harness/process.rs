//! One entry instance as a child process.

use std::fs;
use std::net;
use std::path;
use std::process;

use figscale_standin::ports;
use nix::sys::signal;
use nix::unistd;
use serde_json::json;

/// Message of the operating system for an address that is in use.
const TAKEN: &str = "Address already in use";

/// An entry instance ended because one of its addresses is in use.
#[derive(Debug)]
pub(crate) struct AddressTaken {
    /// Log of the process.
    pub(crate) log: String,
}

/// An entry instance, running or not.
pub(crate) struct Entry {
    pub(crate) name: String,
    pub(crate) caller_address: net::SocketAddr,
    pub(crate) peer_address: net::SocketAddr,
    pub(crate) operator_address: net::SocketAddr,
    pub(crate) platform_address: net::SocketAddr,
    pub(crate) settings_file: path::PathBuf,
    pub(crate) log_file: path::PathBuf,
    child: Option<process::Child>,
}

impl Entry {
    /// Creates an entry instance that is not running yet.
    pub(crate) fn new(
        index: usize,
        platform_address: net::SocketAddr,
        folder: &path::Path,
    ) -> Self {
        let name = format!("entry-{index}");
        Self {
            caller_address: ports::free_address().unwrap(),
            peer_address: ports::free_address().unwrap(),
            operator_address: ports::free_address().unwrap(),
            platform_address,
            settings_file: folder.join(format!("{name}.json")),
            log_file: folder.join(format!("{name}.log")),
            name,
            child: None,
        }
    }

    /// Its settings, without those that the test overrides.
    pub(crate) fn settings(&self, failure_domain: &str) -> serde_json::Value {
        json!({
            "member": self.name,
            "failure_domain": failure_domain,
            "caller_address": self.caller_address,
            "peer_address": self.peer_address,
            "operator_address": self.operator_address,
            "platform_address": self.platform_address,
            "peer_token": "0123456789abcdef",
            "shutdown_ms": 10_000,
        })
    }

    /// Starts the process; its log is appended to the log file.
    pub(crate) fn launch(&mut self) {
        assert!(self.child.is_none(), "{} runs already", self.name);
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_file)
            .unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_figscale"))
            .args(["serve", "--settings"])
            .arg(&self.settings_file)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Whether it was launched and has not been observed to end.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: signal::Signal) {
        let child = self.child.as_ref().expect("a running process");
        let pid = unistd::Pid::from_raw(i32::try_from(child.id()).unwrap());
        signal::kill(pid, signal).unwrap();
    }

    /// Returns an error if the process has ended because an address is in use;
    /// panics if it has ended for any other reason.
    pub(crate) fn check_early_exit(&mut self) -> Result<(), AddressTaken> {
        let Some(status) = self.try_wait() else {
            return Ok(());
        };
        let log = fs::read_to_string(&self.log_file).unwrap();
        assert!(log.contains(TAKEN), "{} ended: {status}\n{log}", self.name);
        Err(AddressTaken { log })
    }

    /// The exit status, if the process has ended.
    pub(crate) fn try_wait(&mut self) -> Option<process::ExitStatus> {
        let child = self.child.as_mut().expect("a process");
        let status = child.try_wait().unwrap()?;
        self.child = None;
        Some(status)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

//! Stand-ins as separate processes.
//!
//! The process is the test program itself, with its role in the variable [`RUN`].
//! The test program is always up to date, whereas the program of the stand-ins is
//! built by another package, so that a test would have to run a build itself. The
//! program of the stand-ins is tested in its own package.

use std::env;
use std::io;
use std::io::BufRead as _;
use std::io::Read as _;
use std::net;
use std::path;
use std::process;
use std::time;

use figscale_standin::platform;
use figscale_standin::runner;
use figscale_standin::worker;
use figscale_types::ids;

/// Environment variable with the role of the process.
const RUN: &str = "FIGSCALE_TEST_STAND_IN";
/// Full name of the test that runs a stand-in.
const ENTRANCE: &str = "session::stand_in::entrance";
/// Prefix of the line in which a stand-in prints its address.
const LISTENING: &str = "listening on ";

/// What a process replaces.
#[derive(serde::Deserialize, serde::Serialize)]
pub(crate) enum Role {
    Runner {
        id: ids::InstanceId,
    },
    Worker {
        id: ids::InstanceId,
    },
    Platform {
        listen: net::SocketAddr,
        /// File with the instance list.
        instances: path::PathBuf,
    },
}

/// A stand-in process; killed when dropped.
pub(crate) struct StandIn {
    child: process::Child,
    pub(crate) address: net::SocketAddr,
}

impl StandIn {
    /// Starts the process and waits until it listens.
    pub(crate) fn start(role: &Role) -> Self {
        let mut child = process::Command::new(env::current_exe().unwrap())
            .args([ENTRANCE, "--exact", "--ignored", "--nocapture"])
            .env(RUN, serde_json::to_string(role).unwrap())
            .stdin(process::Stdio::piped())
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        let lines = io::BufReader::new(child.stdout.take().unwrap()).lines();
        let address = lines.map_while(Result::ok).find_map(|line| {
            let (_, address) = line.split_once(LISTENING)?;
            address.parse().ok()
        });
        Self {
            address: address.expect("the stand-in did not print its address"),
            child,
        }
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Not a test: the entry point of a stand-in, which ends with the test that started
/// it.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "the entrance of the session's stand-in processes"]
async fn entrance() {
    let Ok(role) = env::var(RUN) else {
        return;
    };
    match serde_json::from_str(&role).unwrap() {
        Role::Runner { id } => {
            let config = runner::Config {
                id,
                ..runner::Config::default()
            };
            let runner = runner::start(config).await.unwrap();
            serve(runner.address()).await;
        }
        Role::Worker { id } => {
            let config = worker::Config {
                id,
                ..worker::Config::default()
            };
            let worker = worker::start(config).await.unwrap();
            serve(worker.address()).await;
        }
        Role::Platform { listen, instances } => {
            let instances = std::fs::read_to_string(instances).unwrap();
            let config = platform::Config {
                listen,
                instances: serde_json::from_str(&instances).unwrap(),
                instance_lag: time::Duration::ZERO,
                ..platform::Config::default()
            };
            let platform = platform::start(config).await.unwrap();
            serve(platform.address()).await;
        }
    }
}

/// Prints the address and waits until the test that started this process ends,
/// which closes standard input.
async fn serve(address: net::SocketAddr) {
    println!("{LISTENING}{address}");
    let end = tokio::task::spawn_blocking(|| io::stdin().read_to_end(&mut Vec::new()));
    end.await.unwrap().unwrap();
}

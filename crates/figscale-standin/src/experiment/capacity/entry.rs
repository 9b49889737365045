//! A real entry process, with a proxy that counts bytes on each of its links.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;

use eyre::OptionExt as _;
use eyre::WrapErr as _;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;

use super::usage;
use crate::ports;
use crate::proxy;

/// Secret with which the entry instances authenticate to each other.
const PEER_TOKEN: &str = "a-secret-of-the-experiment-only";

/// Addresses and failure domain of an entry instance.
#[derive(Clone, Debug)]
pub(super) struct Addresses {
    pub(super) member: ids::MemberId,
    pub(super) failure_domain: ids::FailureDomain,
    pub(super) caller: net::SocketAddr,
    pub(super) operator: net::SocketAddr,
    peer: net::SocketAddr,
}

/// The links of an entry instance.
struct Links {
    /// From the instance to the platform.
    store: proxy::Handle,
    /// From all other entry instances to this one.
    peers: proxy::Handle,
}

/// A running entry process; dropping it kills the process.
pub(super) struct Entry {
    pub(super) addresses: Addresses,
    child: process::Child,
    links: Links,
}

/// Resources used by an entry process and bytes on its links since its start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) used: usage::Used,
    pub(super) store_bytes: u64,
    pub(super) peer_bytes: u64,
}

impl Addresses {
    /// Reserves free addresses for entry instance `number`.
    pub(super) fn reserve(number: usize, domains: usize) -> eyre::Result<Self> {
        Ok(Self {
            member: format!("entry-{}", number + 1).parse()?,
            failure_domain: format!("domain-{}", number % domains + 1).parse()?,
            caller: ports::free_address()?,
            operator: ports::free_address()?,
            peer: ports::free_address()?,
        })
    }

    /// Its entry in the platform's instance list.
    pub(super) fn line(&self) -> eyre::Result<instances::Instance> {
        Ok(instances::Instance {
            id: self.member.as_str().parse()?,
            role: instances::Role::Entry,
            address: self.peer,
            failure_domain: self.failure_domain.clone(),
            rack: "rack-0".parse()?,
            service: None,
            capacity: sizes::Resources::default(),
            slots: 0,
            connections: 0,
            life: instances::Life::Live,
        })
    }
}

/// Starts all entry processes.
pub(super) async fn start_all(
    all: &[Addresses],
    platform: net::SocketAddr,
    folder: &path::Path,
) -> eyre::Result<Vec<Entry>> {
    let mut links = Vec::new();
    let mut routes = serde_json::Map::new();
    for addresses in all {
        let peers = proxy::start(proxy::Config::to(addresses.peer)).await?;
        let store = proxy::start(proxy::Config::to(platform)).await?;
        routes.insert(
            addresses.peer.to_string(),
            peers.address().to_string().into(),
        );
        links.push(Links { store, peers });
    }
    let mut entries = Vec::new();
    for (addresses, links) in all.iter().zip(links) {
        entries.push(start(addresses, links, &routes, folder)?);
    }
    Ok(entries)
}

fn start(
    addresses: &Addresses,
    links: Links,
    routes: &serde_json::Map<String, serde_json::Value>,
    folder: &path::Path,
) -> eyre::Result<Entry> {
    let settings = serde_json::json!({
        "member": addresses.member,
        "failure_domain": addresses.failure_domain,
        "caller_address": addresses.caller,
        "peer_address": addresses.peer,
        "operator_address": addresses.operator,
        "platform_address": links.store.address(),
        "peer_token": PEER_TOKEN,
        "claims": { "peer_routes": routes },
    });
    let file = folder.join(format!("{}.json", addresses.member));
    fs::write(&file, settings.to_string())?;
    let log = fs::File::create(folder.join(format!("{}.log", addresses.member)))?;
    let program = program()?;
    let child = process::Command::new(&program)
        .args(["serve", "--settings"])
        .arg(&file)
        .stdin(process::Stdio::null())
        .stdout(process::Stdio::null())
        .stderr(log)
        .spawn()
        .wrap_err_with(|| program.display().to_string())?;
    Ok(Entry {
        addresses: addresses.clone(),
        child,
        links,
    })
}

/// Path of the `figscale` program in the folder of this one.
fn program() -> eyre::Result<path::PathBuf> {
    let this = env::current_exe()?;
    let program = this
        .parent()
        .ok_or_eyre("the path of this program has no parent folder")?
        .join("figscale");
    eyre::ensure!(
        program.exists(),
        "{} not found; build it with: cargo build --release -p figscale",
        program.display()
    );
    Ok(program)
}

impl Entry {
    /// Its process id.
    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether its process has ended.
    pub(super) fn has_ended(&mut self) -> eyre::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Samples its resource usage and traffic.
    pub(super) fn sample(&self) -> eyre::Result<Sample> {
        let bytes = |link: &proxy::Handle| {
            let traffic = link.traffic();
            traffic.to_target_bytes + traffic.to_client_bytes
        };
        Ok(Sample {
            used: usage::Used::by(self.child.id())?,
            store_bytes: bytes(&self.links.store),
            peer_bytes: bytes(&self.links.peers),
        })
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

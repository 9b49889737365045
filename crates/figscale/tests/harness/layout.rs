//! Parts of a test cell: instances, the network paths between them, settings files.

use std::fs;

use figscale_standin::proxy;
use figscale_standin::runner;
use figscale_standin::worker;
use figscale_types::ids;
use figscale_types::instances;
use serde_json::json;

use super::Cell;
use super::DOMAINS;
use super::SERVICE;
use super::instance;
use super::process;

impl Cell {
    pub(super) async fn add_runner(&mut self, index: usize) {
        let id: ids::InstanceId = format!("runner-{index}").parse().unwrap();
        let config = runner::Config {
            id: id.clone(),
            ledger: self.requests.clone(),
            ..runner::Config::default()
        };
        let slots = config.slots;
        let connections = config.connections;
        let runner = runner::start(config).await.unwrap();
        let line = instances::Instance {
            role: instances::Role::Runner,
            service: Some(SERVICE.parse().unwrap()),
            slots,
            connections,
            ..instance(id, runner.address(), index)
        };
        self.platform.change_instances(|list| list.push(line));
        self.runners.push(runner);
    }

    pub(super) async fn add_worker(&mut self, index: usize) {
        let id: ids::InstanceId = format!("worker-{index}").parse().unwrap();
        let config = worker::Config {
            id: id.clone(),
            ledger: self.tasks.clone(),
            ..worker::Config::default()
        };
        let capacity = config.capacity;
        let worker = worker::start(config).await.unwrap();
        let line = instances::Instance {
            role: instances::Role::Worker,
            capacity,
            ..instance(id, worker.address(), index)
        };
        self.platform.change_instances(|list| list.push(line));
        self.workers.push(worker);
    }

    /// Chooses the addresses of an entry instance and starts the proxies of its
    /// paths to the platform and to and from the other entry instances.
    pub(super) async fn create_paths(&mut self, index: usize) {
        let to_store = proxy::Config::to(self.platform.address());
        let to_store = proxy::start(to_store).await.unwrap();
        let entry = process::Entry::new(index, to_store.address(), self.folder.path());
        self.store_paths.push(to_store);
        for (other, earlier) in self.entries.iter().enumerate() {
            let there = proxy::Config::to(earlier.peer_address);
            let back = proxy::Config::to(entry.peer_address);
            let there = proxy::start(there).await.unwrap();
            let back = proxy::start(back).await.unwrap();
            self.peer_paths.insert((index, other), there);
            self.peer_paths.insert((other, index), back);
        }
        self.entries.push(entry);
    }

    pub(super) fn write_settings(&self, overlay: &serde_json::Value) {
        for (index, entry) in self.entries.iter().enumerate() {
            let mut routes = serde_json::Map::new();
            for ((from, to), path) in &self.peer_paths {
                if *from == index {
                    let published = self.entries[*to].peer_address.to_string();
                    routes.insert(published, json!(path.address()));
                }
            }
            let mut settings = entry.settings(DOMAINS[index % DOMAINS.len()]);
            settings["claims"] = json!({ "peer_routes": routes });
            overlay_sections(&mut settings, overlay);
            fs::write(&entry.settings_file, settings.to_string()).unwrap();
        }
    }
}

/// Merges `overlay` into `settings`: sections value by value, other fields as a
/// whole.
pub(super) fn overlay_sections(settings: &mut serde_json::Value, overlay: &serde_json::Value) {
    let Some(overlay) = overlay.as_object() else {
        return;
    };
    for (key, value) in overlay {
        match (&mut settings[key.as_str()], value) {
            (serde_json::Value::Object(section), serde_json::Value::Object(values)) => {
                section.extend(values.clone());
            }
            (place, value) => *place = value.clone(),
        }
    }
}

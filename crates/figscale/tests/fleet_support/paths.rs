//! Paths between the instances of a fleet: proxies, and their faults.

use figscale_standin::proxy;
use serde_json::json;

use super::Fleet;

impl Fleet {
    /// Starts the proxies between the instances, and has each use its own.
    pub(super) async fn start_peer_proxies(&mut self) {
        for from in 0..self.instances.len() {
            let mut routes = serde_json::Map::new();
            for to in (0..self.instances.len()).filter(|to| *to != from) {
                let peer = self.instances[to].peer;
                let proxy = proxy::start(proxy::Config::to(peer)).await.unwrap();
                routes.insert(peer.to_string(), json!(proxy.address()));
                self.peer_proxies.insert((from, to), proxy);
            }
            self.change_settings(from, |settings| {
                settings["claims"]["peer_routes"] = json!(routes)
            });
        }
    }

    /// The proxies through which an instance reaches the others.
    fn peer_proxies_of(&self, number: usize) -> impl Iterator<Item = &proxy::Handle> {
        let proxies = self.peer_proxies.iter();
        proxies.filter_map(move |((from, _), proxy)| (*from == number).then_some(proxy))
    }

    /// Resets the connections that an instance has open to the others.
    pub(crate) fn reset_peer_connections_of(&self, number: usize) {
        self.peer_proxies_of(number)
            .for_each(proxy::Handle::reset_connections);
    }

    /// Silences the connections that an instance has open to the others.
    pub(crate) fn silence_peer_connections_of(&self, number: usize) {
        self.peer_proxies_of(number)
            .for_each(proxy::Handle::silence_open);
    }

    /// Cuts the paths of all other instances to this one, for good.
    pub(crate) fn cut_paths_to(&self, number: usize) {
        let proxies = self.peer_proxies.iter();
        for (_, proxy) in proxies.filter(|((_, to), _)| *to == number) {
            proxy.change_faults(|faults| faults.cut_both(true));
        }
    }

    /// Cuts the paths of this instance to all others, for good.
    pub(crate) fn cut_paths_from(&self, number: usize) {
        for proxy in self.peer_proxies_of(number) {
            proxy.change_faults(|faults| faults.cut_both(true));
        }
    }

    /// Number of connections that an instance has opened so far to each of the others.
    pub(crate) fn peer_connections_of(&self, number: usize) -> Vec<u64> {
        let traffic = self.peer_proxies_of(number).map(proxy::Handle::traffic);
        traffic.map(|traffic| traffic.connections).collect()
    }
}

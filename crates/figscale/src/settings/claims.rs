//! Settings of the store client, the claims and the catalogue.

use std::net;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::Problems;

/// Client of the platform's key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Timeout of a call. Default 2,000, 10 to 60,000.
    pub timeout_ms: u64,
    /// Maximum calls per second of all entry instances together. Default 200, 1 to 2,000.
    pub budget_calls_per_s: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            timeout_ms: 2_000,
            budget_calls_per_s: 200,
        }
    }
}

impl StoreSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.bound("store.timeout_ms", self.timeout_ms, 10, 60_000);
        problems.bound(
            "store.budget_calls_per_s",
            self.budget_calls_per_s,
            1,
            2_000,
        );
    }
}

/// Claims and membership.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimsSettings {
    /// Duration of a member's lease after each renewal. Default 6,000, 500 to 60,000.
    pub lease_ms: u64,
    /// Time between heartbeats. Default 1,500, 100 to 20,000; a third of the lease at most.
    pub heartbeat_ms: u64,
    /// Time between reads of the instance list. Default 1,000, 100 to 10,000.
    pub instances_ms: u64,
    /// Safety margin at the end of each lease, for clock drift and scheduling delays.
    /// Default 500, 10 to 5,000.
    pub margin_ms: u64,
    /// Addresses to connect to instead of published peer addresses, in a network
    /// that maps addresses. Default: none.
    pub peer_routes: IndexMap<net::SocketAddr, net::SocketAddr>,
}

impl Default for ClaimsSettings {
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            heartbeat_ms: 1_500,
            instances_ms: 1_000,
            margin_ms: 500,
            peer_routes: IndexMap::new(),
        }
    }
}

impl ClaimsSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.bound("claims.lease_ms", self.lease_ms, 500, 60_000);
        problems.bound("claims.heartbeat_ms", self.heartbeat_ms, 100, 20_000);
        problems.bound("claims.instances_ms", self.instances_ms, 100, 10_000);
        problems.bound("claims.margin_ms", self.margin_ms, 10, 5_000);
        if self.margin_ms * 4 > self.lease_ms {
            problems.add(format!(
                "claims.margin_ms is {}: expected a quarter of claims.lease_ms ({}) at most",
                self.margin_ms, self.lease_ms
            ));
        }
        if self.heartbeat_ms * 3 > self.lease_ms {
            problems.add(format!(
                "claims.heartbeat_ms is {}: expected a third of claims.lease_ms ({}) at most",
                self.heartbeat_ms, self.lease_ms
            ));
        }
    }
}

/// The catalogue.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CatalogueSettings {
    /// Duration of one watch. Default 10,000, 100 to 60,000.
    pub watch_ms: u64,
    /// Time between polls, the fallback if watches fail. Default 2,000, 100 to 60,000.
    pub poll_ms: u64,
}

impl Default for CatalogueSettings {
    fn default() -> Self {
        Self {
            watch_ms: 10_000,
            poll_ms: 2_000,
        }
    }
}

impl CatalogueSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.bound("catalogue.watch_ms", self.watch_ms, 100, 60_000);
        problems.bound("catalogue.poll_ms", self.poll_ms, 100, 60_000);
    }
}

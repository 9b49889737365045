//! Follows the claims and the catalogue, and releases shards cleanly.

use std::sync;
use std::time;

use figscale_core::request::slots;
use figscale_types::catalogue;
use figscale_types::ids;
use indexmap::IndexMap;

use super::Traffic;
use super::exchange;
use super::homes;
use crate::events;
use crate::kernel;
use crate::state;

/// Prefix of the shards of runners.
const RUNNER_SHARD_PREFIX: &str = "runner/";
/// Time after which the drain of a shard ends as unclean.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(120);
/// Time between two checks of a shard that is being drained.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

type LongestRuns = IndexMap<ids::ServiceName, time::Duration>;

/// Applies every change of the claims or the catalogue to the decision state.
pub(super) async fn follow(traffic: sync::Arc<Traffic>) {
    let shared = traffic.context.shared.clone();
    let mut claims = shared.claims.subscribe();
    let mut catalogue = shared.catalogue.subscribe();
    let mut longest = LongestRuns::new();
    loop {
        let accepted = catalogue.borrow_and_update().clone();
        let view = claims.borrow_and_update().clone();
        update_longest_runs(&mut longest, &accepted.catalogue);
        // Without a catalogue it is not known how long earlier requests may run.
        if accepted.revision != ids::Revision(0) {
            traffic.apply(&view, &longest);
        }
        let changed = tokio::select! {
            changed = claims.changed() => changed,
            changed = catalogue.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Raises the longest runs. They never decrease, since an earlier holder may have
/// dispatched by an older catalogue.
fn update_longest_runs(longest: &mut LongestRuns, catalogue: &catalogue::Catalogue) {
    for entry in catalogue.entries.values() {
        if let catalogue::Policy::Requests(policy) = &entry.policy {
            let run = time::Duration::from_millis(policy.max_run_ms);
            let known = longest.entry(policy.service.clone()).or_insert(run);
            *known = run.max(*known);
        }
    }
}

impl Traffic {
    fn apply(self: &sync::Arc<Self>, view: &state::ClaimsView, longest: &LongestRuns) {
        let held = held_shards(view);
        let now = self.now();
        let longest_run = |service: &ids::ServiceName| {
            let default = time::Duration::from_secs(30);
            longest.get(service).copied().unwrap_or(default)
        };
        let mut decisions = self.decide();
        decisions.dispatcher.update(held, longest_run, now);
        decisions
            .usage_table
            .retain(|member| is_live(view, member) && *member != view.me);
        drop(decisions);
        self.close_unheld();
        self.poll();
    }

    /// Closes idle connections to runners of shards that are no longer held.
    fn close_unheld(&self) {
        let decisions = self.decide();
        let held: Vec<_> = (decisions.dispatcher.table().runners())
            .filter(|runner| runner.epoch.is_some())
            .map(|runner| runner.instance.id.clone())
            .collect();
        drop(decisions);
        self.pool.retain(|id| held.contains(id));
    }
}

fn held_shards(view: &state::ClaimsView) -> IndexMap<ids::ShardId, slots::HeldShard> {
    let of_runners =
        (view.held.iter()).filter(|(id, _)| id.as_str().starts_with(RUNNER_SHARD_PREFIX));
    of_runners
        .map(|(id, held)| {
            let shard = slots::HeldShard {
                epoch: held.epoch,
                last_foreign_dispatch: (!held.clean).then_some(held.last_foreign_dispatch),
                runners: view.by_shard.get(id).cloned().unwrap_or_default(),
            };
            (id.clone(), shard)
        })
        .collect()
}

fn is_live(view: &state::ClaimsView, member: &ids::MemberKey) -> bool {
    let known = view.claims.members.get(&member.id);
    known.is_some_and(|known| known.incarnation == member.incarnation)
}

/// Fetches the usage of runners of which some slots are withheld.
pub(super) async fn keep_fetching_usage(traffic: sync::Arc<Traffic>) {
    let pause = time::Duration::from_millis(traffic.settings().report_ms);
    loop {
        tokio::time::sleep(pause).await;
        traffic.close_unheld();
        if traffic.has_authority() {
            fetch_all_usage(&traffic).await;
        }
    }
}

async fn fetch_all_usage(traffic: &sync::Arc<Traffic>) {
    let now = traffic.now();
    let runners: Vec<_> = {
        let decisions = traffic.decide();
        let worth = decisions.dispatcher.table().awaiting_report(now);
        worth
            .filter(|runner| runner.epoch.is_some())
            .cloned()
            .collect()
    };
    let asked = runners.iter().map(|runner| async {
        let asked = traffic.now();
        let id = &runner.instance.id;
        let address = runner.instance.address;
        let report = exchange::fetch_usage(traffic, id, address, runner.connections()).await;
        if let Some(report) = report {
            let now = traffic.now();
            // The time at which the runner measured the report.
            let age = time::Duration::from_millis(report.age_ms);
            let taken = asked.checked_sub(age).unwrap_or(asked);
            let mut decisions = traffic.decide();
            decisions.dispatcher.report(id, report.busy, taken, now);
            if report.leaving {
                decisions.dispatcher.mark_leaving(id);
            }
        }
    });
    futures_util::future::join_all(asked).await;
    traffic.poll();
}

/// Registers the drains of shards of runners and of request ids.
pub(super) fn offer_drains(traffic: &sync::Arc<Traffic>) {
    let kernel = &traffic.context.kernel;
    let runners = traffic.clone();
    kernel.register_drain(RUNNER_SHARD_PREFIX, move |shard| {
        Box::pin(drain_runners(runners.clone(), shard))
    });
    let releasing = traffic.clone();
    kernel.register_drain(homes::ID_SHARD_PREFIX, move |shard| {
        releasing.release_home(&shard);
        Box::pin(async { kernel::Drained::Clean })
    });
}

async fn drain_runners(traffic: sync::Arc<Traffic>, shard: ids::ShardId) -> kernel::Drained {
    let limit = traffic.now() + DRAIN_TIMEOUT;
    traffic.decide().dispatcher.drain(&shard);
    traffic.poll();
    loop {
        let now = traffic.now();
        if traffic.decide().dispatcher.is_shard_idle(&shard, now) {
            crate::event!(events::requests::SHARD_DRAINED, shard = shard);
            return kernel::Drained::Clean;
        }
        if now >= limit {
            crate::event!(events::requests::SHARD_DRAIN_UNCLEAN, shard = shard);
            return kernel::Drained::Unclean;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

//! Follows the claims and the catalogue, and gives shards up in order.

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

/// Prefix of shards of runners.
const RUNNERS: &str = "runner/";
/// Longest time that a shard is drained.
const LONGEST_DRAIN: time::Duration = time::Duration::from_secs(120);
/// Time between two looks at a shard that is drained.
const LOOK: time::Duration = time::Duration::from_millis(20);

type LongestRuns = IndexMap<ids::ServiceName, time::Duration>;

/// Brings every change of the claims or the catalogue into the decisions.
pub(super) async fn follow(traffic: sync::Arc<Traffic>) {
    let shared = traffic.context.shared.clone();
    let mut claims = shared.claims.subscribe();
    let mut catalogue = shared.catalogue.subscribe();
    let mut longest = LongestRuns::new();
    loop {
        let accepted = catalogue.borrow_and_update().clone();
        let view = claims.borrow_and_update().clone();
        lengthen(&mut longest, &accepted.catalogue);
        // Without a catalogue nobody knows how long earlier requests may run.
        if accepted.revision != ids::Revision(0) {
            traffic.take_in(&view, &longest);
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

/// Longest runs only grow: an earlier holder may have gone by an older catalogue.
fn lengthen(longest: &mut LongestRuns, catalogue: &catalogue::Catalogue) {
    for entry in catalogue.entries.values() {
        if let catalogue::Policy::Requests(policy) = &entry.policy {
            let run = time::Duration::from_millis(policy.max_run_ms);
            let known = longest.entry(policy.service.clone()).or_insert(run);
            *known = run.max(*known);
        }
    }
}

impl Traffic {
    fn take_in(self: &sync::Arc<Self>, view: &state::ClaimsView, longest: &LongestRuns) {
        let held = held_shards(view);
        let now = self.now();
        let longest_run = |service: &ids::ServiceName| {
            let default = time::Duration::from_secs(30);
            longest.get(service).copied().unwrap_or(default)
        };
        let mut decisions = self.decide();
        decisions.dispatcher.update(held, longest_run, now);
        decisions
            .board
            .retain(|member| is_live(view, member) && *member != view.me);
        drop(decisions);
        self.close_unheld();
        self.poll();
    }

    /// Closes idle connections to runners of shards that are held no more.
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
    let of_runners = (view.held.iter()).filter(|(id, _)| id.as_str().starts_with(RUNNERS));
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

/// Asks runners with kept-back slots what they are doing.
pub(super) async fn ask_reports(traffic: sync::Arc<Traffic>) {
    let pause = time::Duration::from_millis(traffic.settings().report_ms);
    loop {
        tokio::time::sleep(pause).await;
        traffic.close_unheld();
        if traffic.has_authority() {
            ask_all(&traffic).await;
        }
    }
}

async fn ask_all(traffic: &sync::Arc<Traffic>) {
    let now = traffic.now();
    let runners: Vec<_> = {
        let decisions = traffic.decide();
        let worth = decisions.dispatcher.table().worth_asking(now);
        worth
            .filter(|runner| runner.epoch.is_some())
            .cloned()
            .collect()
    };
    let asked = runners.iter().map(|runner| async {
        let asked = traffic.now();
        let id = &runner.instance.id;
        let address = runner.instance.address;
        let report = exchange::ask_report(traffic, id, address, runner.connections()).await;
        if let Some(report) = report {
            let now = traffic.now();
            // The moment that the report tells of.
            let age = time::Duration::from_millis(report.age_ms);
            let taken = asked.checked_sub(age).unwrap_or(asked);
            let mut decisions = traffic.decide();
            decisions.dispatcher.report(id, report.busy, taken, now);
            if report.leaving {
                decisions.dispatcher.says_leaving(id);
            }
        }
    });
    futures_util::future::join_all(asked).await;
    traffic.poll();
}

/// Offers to give up shards of runners and homes of request ids.
pub(super) fn offer_drains(traffic: &sync::Arc<Traffic>) {
    let kernel = &traffic.context.kernel;
    let runners = traffic.clone();
    kernel.offer_drain(RUNNERS, move |shard| {
        Box::pin(drain_runners(runners.clone(), shard))
    });
    let giver = traffic.clone();
    kernel.offer_drain(homes::HOMES, move |shard| {
        giver.give_up_home(&shard);
        Box::pin(async { kernel::Drained::Clean })
    });
}

async fn drain_runners(traffic: sync::Arc<Traffic>, shard: ids::ShardId) -> kernel::Drained {
    let limit = traffic.now() + LONGEST_DRAIN;
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
        tokio::time::sleep(LOOK).await;
    }
}

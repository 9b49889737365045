//! Diagnostic dump and gauges of slots, queues and retry budgets.

use std::future;
use std::sync;
use std::sync::atomic;

use serde_json::json;

use super::Traffic;
use crate::metrics;

/// Registers the dump and the gauges under the service's name.
pub(super) fn offer(traffic: &sync::Arc<Traffic>) {
    let kernel = traffic.context.kernel.clone();
    let reported = traffic.clone();
    kernel.register_report(super::NAME, move || {
        reported.report();
        Box::pin(future::ready(()))
    });
    let traffic = traffic.clone();
    kernel.register_dump(super::NAME, move || {
        let dump = traffic.dump();
        Box::pin(async move { dump })
    });
}

impl Traffic {
    fn report(&self) {
        let now = self.now();
        let (waiting, services) = {
            let decisions = self.decide();
            let dispatcher = &decisions.dispatcher;
            (dispatcher.waiting(), dispatcher.counts(now))
        };
        let metrics = &self.context.metrics;
        metrics.queue_changed(waiting);
        for (service, counts) in services {
            // Some urgency may use every free slot; from the others some are reserved.
            let free = counts.free.into_iter().max().unwrap_or(0);
            let slots = metrics::Slots {
                free,
                taken: counts.slots.saturating_sub(free),
            };
            metrics.slots_changed(&service, slots);
        }
    }

    fn dump(&self) -> serde_json::Value {
        let now = self.now();
        let decisions = self.decide();
        let dispatcher = &decisions.dispatcher;
        let runners: Vec<_> = (dispatcher.table().runners())
            .map(|runner| {
                json!({
                    "runner": runner.instance.id,
                    "shard": runner.shard,
                    "epoch": runner.epoch,
                    "slots": runner.instance.slots,
                    "busy": runner.busy,
                    "kept_back": runner.withheld(now),
                    "leaving": runner.is_leaving(),
                    "ejected": dispatcher.is_ejected(runner, now),
                })
            })
            .collect();
        let others: Vec<_> = (decisions.usage_table.all_counts())
            .map(|(service, member, counts)| {
                json!({ "service": service, "member": member, "counts": counts })
            })
            .collect();
        let budgets: serde_json::Map<_, _> = (decisions.budgets.iter())
            .map(|(service, budget)| (service.to_string(), json!(budget.balance())))
            .collect();
        let owners: serde_json::Map<_, _> = (decisions.admission.in_progress())
            .map(|(owner, count)| (owner.to_string(), json!(count)))
            .collect();
        let homes: Vec<_> = (self.homes.sizes().into_iter())
            .map(
                |(shard, ids, floor)| json!({ "shard": shard, "ids": ids, "floor_unix_ms": floor }),
            )
            .collect();
        json!({
            "authority": self.context.shared.authority.is_valid(now),
            "in_progress": *self.in_progress.borrow(),
            "fenced": self.fenced.load(atomic::Ordering::Relaxed),
            "waiting": dispatcher.waiting(),
            "counts": dispatcher.counts(now),
            "runners": runners,
            "heard": decisions.usage_table.reporting_members().collect::<Vec<_>>(),
            "others": others,
            "retries_saved": budgets,
            "owners": owners,
            "homes": homes,
        })
    }
}

//! Messages between entry instances, reports of runners, and the death of an
//! entry instance.

use crate::setting;
use crate::simulation;

impl simulation::Simulation {
    pub(crate) fn push(&mut self, entry: usize) {
        if !self.entries[entry].alive {
            return;
        }
        self.poll(entry);
        let counts = self.entries[entry].dispatcher.counts(self.now);
        self.entries[entry].pushed = counts;
        for other in (0..setting::ENTRIES).filter(|other| *other != entry) {
            self.after(
                setting::HOP_LATENCY,
                simulation::Event::CountsReceived(entry, other),
            );
        }
        self.after(setting::PUSH_INTERVAL, simulation::Event::Push(entry));
    }

    pub(crate) fn report(&mut self) {
        self.after(setting::REPORT_INTERVAL, simulation::Event::Report);
        for entry in 0..setting::ENTRIES {
            let now = self.now;
            let dispatcher = &mut self.entries[entry].dispatcher;
            let worth: Vec<_> = (dispatcher.table().awaiting_report(now))
                .map(|runner| runner.instance.id.clone())
                .collect();
            for id in worth {
                let runner: usize = id.as_str()[7..].parse().expect("a number");
                let busy = self.at_runner[runner];
                self.entries[entry].dispatcher.report(&id, busy, now, now);
            }
            self.poll(entry);
        }
    }

    pub(crate) fn kill(&mut self) {
        self.entries[0].alive = false;
        let lost: Vec<_> = self.entries[0].tickets.drain(..).map(|(_, n)| n).collect();
        let queued: Vec<_> = self.entries[0].queue.drain(..).collect();
        for number in lost.into_iter().chain(queued) {
            if self.requests[number].entry == 0 {
                self.outcome.failed[self.requests[number].class] += 1;
            } else {
                self.requests[number].excluded.push(simulation::key(0, 1));
                self.choose(number);
            }
        }
        for entry in 1..setting::ENTRIES {
            self.entries[entry]
                .usage_table
                .retain(|member| *member != simulation::key(0, 1));
        }
        self.after(setting::TAKEOVER_DELAY, simulation::Event::TakeOver);
    }

    pub(crate) fn take_over(&mut self) {
        let mut next = 1;
        let mut taken = Vec::new();
        for shard in 0..setting::SHARDS {
            if self.holder_of_shard[shard] == 0 {
                self.holder_of_shard[shard] = next;
                taken.push(shard);
                next += 1;
            }
        }
        for entry in 1..setting::ENTRIES {
            self.update_shards(entry, Some(&taken));
        }
    }
}

//! Predicted length of work on workers of different speed, and the choices that
//! follow from it.
//!
//! Work in progress on a slow worker ends late, and a fast worker that is taken
//! by work with time to spare is missing for work without. So of the workers on
//! which a step can end in time the slower ones are preferred, and where it can
//! end in time on none the fastest. Workers of equal speed are all equal here:
//! among them the order of the callers decides.
//!
//! A gang ends with its slowest member, so faster members than that gain nothing:
//! of the gangs that fit the one with the fastest slowest member is chosen, and of
//! its workers the slower ones are used first.

use std::time;

use figscale_types::fleet;

use super::speed;

/// How long a step's tasks take on a worker of ordinary speed, and when they have
/// to end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prediction {
    /// Expected length.
    typical: time::Duration,
    /// Length that nine of ten tasks don't exceed.
    cautious: time::Duration,
    /// The objective of the job less its later steps. `None` for a long-running
    /// step, which has no end.
    ends_by: Option<time::Instant>,
}

impl Prediction {
    pub(crate) fn new(
        step: &fleet::StepDescription,
        run_times: speed::RunTimes,
        ends_by: time::Instant,
    ) -> Self {
        let estimate = time::Duration::from_millis(step.estimate_ms);
        Self {
            typical: run_times.typical(estimate),
            cautious: run_times.cautious(estimate),
            ends_by: (!step.long_running).then_some(ends_by),
        }
    }

    /// Expected length on a worker.
    pub(crate) fn length_on(&self, slowdown: fleet::Slowdown) -> time::Duration {
        slowdown.of(self.typical)
    }

    /// The order of workers for a step that starts at this time.
    pub(crate) fn order_at(&self, start: time::Instant) -> SpeedOrder {
        let left = self
            .ends_by
            .map(|ends_by| ends_by.saturating_duration_since(start));
        let max_percent = |left: time::Duration| {
            left.saturating_mul(100)
                .as_nanos()
                .checked_div(self.cautious.as_nanos())
                .map_or(u32::MAX, |percent| {
                    u32::try_from(percent).unwrap_or(u32::MAX)
                })
        };
        SpeedOrder {
            max_in_time_percent: left.map(max_percent),
        }
    }
}

/// Order of workers by their speed for one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SpeedOrder {
    /// Greatest slowdown with which the step is predicted to end in time. `None`
    /// if the step has no end, so that it prefers no worker.
    max_in_time_percent: Option<u32>,
}

/// Sort key of workers by their speed; the smallest is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Preference {
    /// Whether the step is predicted to end too late.
    pub(crate) late: bool,
    /// Slower workers first if it ends in time, faster ones if not.
    pub(crate) by_speed: u32,
}

impl SpeedOrder {
    pub(crate) fn preference(&self, slowdown: fleet::Slowdown) -> Preference {
        let percent = slowdown.percent();
        let (late, by_speed) = match self.max_in_time_percent {
            None => (false, 0),
            Some(max) if percent <= max => (false, u32::MAX - percent),
            Some(_) => (true, percent),
        };
        Preference { late, by_speed }
    }

    pub(crate) fn is_in_time(&self, slowdown: fleet::Slowdown) -> bool {
        !self.preference(slowdown).late
    }

    /// The given groups of workers, those of the preferred speed first.
    pub(crate) fn sorted<'a, T>(&self, groups: &'a [SpeedGroup<T>]) -> Vec<&'a SpeedGroup<T>> {
        let mut sorted: Vec<&SpeedGroup<T>> = groups.iter().collect();
        sorted.sort_by_key(|group| self.preference(group.slowdown));
        sorted
    }
}

/// Workers of the same speed.
#[derive(Clone, Debug)]
pub(crate) struct SpeedGroup<T> {
    pub(crate) slowdown: fleet::Slowdown,
    pub(crate) members: Vec<T>,
}

/// Groups workers by their speed; within a group they keep their order. Slowdowns
/// are in coarse steps, so that there are few groups.
pub(crate) fn group_by_speed<T>(
    workers: impl Iterator<Item = (fleet::Slowdown, T)>,
) -> Vec<SpeedGroup<T>> {
    let mut groups: Vec<SpeedGroup<T>> = Vec::new();
    for (slowdown, worker) in workers {
        match groups.iter_mut().find(|group| group.slowdown == slowdown) {
            Some(group) => group.members.push(worker),
            None => groups.push(SpeedGroup {
                slowdown,
                members: vec![worker],
            }),
        }
    }
    groups
}

/// Length of the longest path through the steps that depend on a step, each with
/// the time that it takes by `length`.
pub(crate) fn later_steps(
    job: &fleet::JobDescription,
    step: usize,
    length: impl Fn(&fleet::StepDescription) -> time::Duration,
) -> time::Duration {
    if step + 1 >= job.steps.len() {
        return time::Duration::ZERO;
    }
    // Ends of the steps from `step` on, which ends at zero; `None` for those that
    // don't depend on it. Steps depend on earlier ones only.
    let mut ends: Vec<Option<time::Duration>> = vec![Some(time::Duration::ZERO)];
    for later in &job.steps[step + 1..] {
        let after = later.after.iter().map(|after| *after as usize);
        let start = after.filter_map(|after| *ends.get(after.checked_sub(step)?)?);
        ends.push(start.max().map(|start| start + length(later)));
    }
    ends.into_iter().flatten().max().unwrap_or_default()
}

/// Slowdown of the slowest member of the fastest gang of `count` members that fits
/// into these slots, each given with the slowdown of its worker. `None` if none fits.
pub(crate) fn fastest_fit(
    slots: impl Iterator<Item = (fleet::Slowdown, u64)>,
    count: u64,
) -> Option<fleet::Slowdown> {
    let mut totals: Vec<(fleet::Slowdown, u64)> = Vec::new();
    for (slowdown, slots) in slots {
        match totals.iter_mut().find(|(known, _)| *known == slowdown) {
            Some((_, total)) => *total = total.saturating_add(slots),
            None => totals.push((slowdown, slots)),
        }
    }
    totals.sort_unstable();
    let mut found: u64 = 0;
    let fits = |(_, slots): &(fleet::Slowdown, u64)| {
        found = found.saturating_add(*slots);
        found >= count
    };
    let slowest = totals.into_iter().find(fits);
    slowest.map(|(slowdown, _)| slowdown)
}

/// Slowdown of the slowest member of the gang that ends first, on slots that become
/// free at these times, sorted by time. The more members may be slow, the sooner a
/// gang starts, and the longer it takes. `None` if there are too few slots.
pub(crate) fn earliest_ending(
    slots: impl Iterator<Item = (time::Instant, fleet::Slowdown)> + Clone,
    count: u32,
    prediction: &Prediction,
) -> Option<fleet::Slowdown> {
    let mut slowdowns: Vec<fleet::Slowdown> = Vec::new();
    for (_, slowdown) in slots.clone() {
        if !slowdowns.contains(&slowdown) {
            slowdowns.push(slowdown);
        }
    }
    slowdowns.sort_unstable();
    let end = |slowest: &fleet::Slowdown| {
        let mut open = slots.clone().filter(|(_, slowdown)| slowdown <= slowest);
        let (ready_at, _) = open.nth((count as usize).checked_sub(1)?)?;
        Some((ready_at + prediction.length_on(*slowest), *slowest))
    };
    let ends = slowdowns.iter().filter_map(end);
    let first = ends.min_by_key(|(end, _)| *end);
    first.map(|(_, slowest)| slowest)
}

//! The rule TWICE, as RULES.md has it, over what the runners saw.

use std::collections::BTreeMap;

use crate::runner::Event;

/// Each start of a task that breaks the rule, in words: a start beside another run of
/// the task, or after a run that ended `done`, if that end was taken note of (reached by
/// `seen_upto`) then or later. Runners must be up and keep their leases throughout.
pub fn twice(events: &[Event]) -> Vec<String> {
    let mut seen: BTreeMap<&str, u64> = BTreeMap::new();
    for event in events {
        if let Event::Seen { runner, upto, .. } = event {
            let known = seen.entry(runner).or_insert(0);
            *known = (*known).max(*upto);
        }
    }
    let mut open: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    let mut done: BTreeMap<&str, (u64, u64, &str, u64)> = BTreeMap::new();
    let mut broken = Vec::new();
    for event in events {
        match event {
            Event::Start {
                at_ms,
                runner,
                task,
                attempt,
            } => {
                if let Some((other, where_)) = open.get(task.as_str()).and_then(|runs| runs.first())
                {
                    broken.push(format!(
                        "{task}: attempt {attempt} started on {runner} at {at_ms} beside attempt {other} on {where_}"
                    ));
                }
                if let Some((ended_ms, first, where_, number)) = done.get(task.as_str())
                    && seen.get(where_).is_some_and(|upto| upto >= number)
                {
                    broken.push(format!(
                        "{task}: attempt {attempt} started on {runner} at {at_ms}; attempt {first} had \
                         ended done on {where_} at {ended_ms} (N={number}, taken note of)"
                    ));
                }
                open.entry(task).or_default().push((*attempt, runner));
            }
            Event::End {
                at_ms,
                runner,
                number,
                task,
                attempt,
                how,
            } => {
                if let Some(runs) = open.get_mut(task.as_str()) {
                    runs.retain(|run| *run != (*attempt, runner.as_str()));
                }
                if *how == "done" {
                    done.entry(task)
                        .or_insert((*at_ms, *attempt, runner, *number));
                }
            }
            Event::Gone {
                runner,
                task,
                attempt,
                ..
            } => {
                if let Some(runs) = open.get_mut(task.as_str()) {
                    runs.retain(|run| *run != (*attempt, runner.as_str()));
                }
            }
            Event::Seen { .. } => (),
        }
    }
    broken
}

//! The rule TWICE, as RULES.md has it, over what the runners saw.

use std::collections::BTreeMap;

use crate::runner::Event;

/// An end `done`, by its place among the events.
struct Done<'a> {
    place: usize,
    at_ms: u64,
    attempt: u64,
    runner: &'a str,
    number: u64,
}

impl Done<'_> {
    /// Whether it was taken note of, at any time: `seen_upto` reached it, and the lease of
    /// its runner had not lapsed in between.
    fn is_taken_note_of(&self, events: &[Event]) -> bool {
        for event in &events[self.place..] {
            match event {
                Event::Lapsed { runner, .. } if runner == self.runner => return false,
                Event::Seen { runner, upto, .. }
                    if runner == self.runner && *upto >= self.number =>
                {
                    return true;
                }
                _ => (),
            }
        }
        false
    }
}

/// Each start that breaks the rule, in words: one beside another run of the task, or
/// after a run that ended `done`, if that end was taken note of then or later.
pub fn twice(events: &[Event]) -> Vec<String> {
    let mut open: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    let mut done: BTreeMap<&str, Done<'_>> = BTreeMap::new();
    let mut broken = Vec::new();
    for (place, event) in events.iter().enumerate() {
        match event {
            Event::Start {
                at_ms,
                runner,
                task,
                attempt,
            } => {
                let runs = open.entry(task).or_default();
                if let Some((other, host)) = runs.first() {
                    broken.push(format!(
                        "{task}: attempt {attempt} started on {runner} at {at_ms} beside \
                         attempt {other} on {host}"
                    ));
                }
                if let Some(end) = done.get(task.as_str())
                    && end.is_taken_note_of(events)
                {
                    broken.push(format!(
                        "{task}: attempt {attempt} started on {runner} at {at_ms}; attempt {} \
                         had ended done on {} at {} (N={}, taken note of)",
                        end.attempt, end.runner, end.at_ms, end.number
                    ));
                }
                runs.push((*attempt, runner));
            }
            Event::End {
                at_ms,
                runner,
                number,
                task,
                attempt,
                how,
            } => {
                close(&mut open, task, *attempt, runner);
                if *how == "done" {
                    done.entry(task).or_insert(Done {
                        place,
                        at_ms: *at_ms,
                        attempt: *attempt,
                        runner,
                        number: *number,
                    });
                }
            }
            Event::Gone {
                runner,
                task,
                attempt,
                ..
            } => close(&mut open, task, *attempt, runner),
            Event::Lapsed { .. } | Event::Seen { .. } => (),
        }
    }
    broken
}

fn close(open: &mut BTreeMap<&str, Vec<(u64, &str)>>, task: &str, attempt: u64, runner: &str) {
    if let Some(runs) = open.get_mut(task) {
        runs.retain(|run| *run != (attempt, runner));
    }
}

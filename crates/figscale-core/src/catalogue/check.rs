//! Problems of a catalogue beyond what parsing finds.
//!
//! Every problem names its place as a path from the root of the catalogue
//! (`entries.hull-quote.policy.requests.budget_ms`), in the form that
//! `serde_path_to_error` uses, so that the command line can treat both alike.
//! All problems are reported at once; a catalogue with any of them is refused
//! whole.

use std::fmt;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;

/// Most owners.
pub const MAX_OWNERS: usize = 1_000;
/// Most entries.
pub const MAX_ENTRIES: usize = 2_000;
/// Largest catalogue, encoded as the store keeps it. Leaves room within one
/// value for the catalogue before it and for the history.
pub const MAX_CATALOGUE_BYTES: usize = 400 << 10;

const MAX_WEIGHT: u32 = 1_000_000;
const MAX_RATE_PER_S: f64 = 1_000_000.0;
const MAX_CONCURRENCY: u32 = 1_000_000;
const MAX_TIME_MS: u64 = 31 * 24 * 60 * 60 * 1_000;
const MAX_BODY_BYTES: u64 = 64 * sizes::MIB;
const MAX_QUEUE_LEN: u32 = 100_000;
const MAX_ATTEMPTS: u32 = 20;
const MAX_TASKS: u32 = 100_000;
const MAX_CPU_MILLIS: u64 = 1_000_000_000;
const MAX_MEMORY_BYTES: u64 = 1 << 50;
const MAX_ACCELERATORS: u32 = 1_000_000;

/// One thing that is wrong with a catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Where, as a path from the root; `.` for the whole.
    pub path: String,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Everything that is wrong with a catalogue, in its own order.
pub fn check(catalogue: &catalogue::Catalogue) -> Vec<Problem> {
    let mut found = Found::default();
    check_counts(catalogue, &mut found);
    for (name, owner) in &catalogue.owners {
        check_owner(&format!("owners.{name}"), owner, &mut found);
    }
    for (name, entry) in &catalogue.entries {
        check_entry(&format!("entries.{name}"), entry, catalogue, &mut found);
    }
    check_weights(&catalogue.weights, &mut found);
    check_size(catalogue, &mut found);
    found.problems
}

#[derive(Default)]
struct Found {
    problems: Vec<Problem>,
}

impl Found {
    fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.problems.push(Problem {
            path: path.into(),
            message: message.into(),
        });
    }

    fn bound<T>(&mut self, path: String, value: T, low: T, high: T)
    where
        T: PartialOrd + fmt::Display,
    {
        // Written so that a number that compares with nothing is refused.
        let within = value >= low && value <= high;
        if !within {
            self.add(
                path,
                format!("{value} is out of bounds: expected {low} to {high}"),
            );
        }
    }
}

fn check_counts(catalogue: &catalogue::Catalogue, found: &mut Found) {
    let mut at_most = |path: &str, len: usize, max: usize| {
        if len > max {
            found.add(path, format!("{len} {path}: expected at most {max}"));
        }
    };
    at_most("owners", catalogue.owners.len(), MAX_OWNERS);
    at_most("entries", catalogue.entries.len(), MAX_ENTRIES);
}

fn check_owner(path: &str, owner: &catalogue::Owner, found: &mut Found) {
    found.bound(format!("{path}.weight"), owner.weight, 1, MAX_WEIGHT);
    if let Some(rate) = owner.rate_per_s {
        let path = format!("{path}.rate_per_s");
        let legal = rate.is_finite() && rate > 0.0 && rate <= MAX_RATE_PER_S;
        if !legal {
            found.add(
                path,
                format!("{rate} is no rate: expected above 0 and at most {MAX_RATE_PER_S}"),
            );
        }
    }
    if let Some(concurrency) = owner.concurrency {
        found.bound(
            format!("{path}.concurrency"),
            concurrency,
            1,
            MAX_CONCURRENCY,
        );
    }
    if let Some(quota) = &owner.quota {
        check_resources(&format!("{path}.quota"), quota, found);
    }
}

fn check_resources(path: &str, resources: &sizes::Resources, found: &mut Found) {
    found.bound(
        format!("{path}.cpu_millis"),
        resources.cpu_millis.0,
        1,
        MAX_CPU_MILLIS,
    );
    found.bound(
        format!("{path}.memory_bytes"),
        resources.memory_bytes.0,
        1,
        MAX_MEMORY_BYTES,
    );
    found.bound(
        format!("{path}.accelerators"),
        resources.accelerators,
        0,
        MAX_ACCELERATORS,
    );
}

fn check_entry(
    path: &str,
    entry: &catalogue::Entry,
    whole: &catalogue::Catalogue,
    found: &mut Found,
) {
    check_known_owner(&format!("{path}.owner"), &entry.owner, whole, found);
    if let Some(callers) = &entry.callers {
        check_callers(&format!("{path}.callers"), callers, whole, found);
    }
    match &entry.policy {
        catalogue::Policy::Requests(policy) => {
            check_requests(&format!("{path}.policy.requests"), policy, found);
        }
        catalogue::Policy::Tasks(policy) => {
            let quota = whole.owners.get(&entry.owner).and_then(|o| o.quota);
            check_tasks(&format!("{path}.policy.tasks"), policy, quota, found);
        }
    }
}

fn check_known_owner(
    path: &str,
    owner: &ids::OwnerName,
    whole: &catalogue::Catalogue,
    found: &mut Found,
) {
    if !whole.owners.contains_key(owner) {
        found.add(
            path,
            format!("unknown owner {owner}: expected a name under owners"),
        );
    }
}

fn check_callers(
    path: &str,
    callers: &[ids::OwnerName],
    whole: &catalogue::Catalogue,
    found: &mut Found,
) {
    for (index, caller) in callers.iter().enumerate() {
        let path = format!("{path}[{index}]");
        check_known_owner(&path, caller, whole, found);
        if callers[..index].contains(caller) {
            found.add(path, format!("{caller} stands twice"));
        }
    }
}

fn check_requests(path: &str, policy: &catalogue::RequestPolicy, found: &mut Found) {
    let at = |field: &str| format!("{path}.{field}");
    found.bound(at("budget_ms"), policy.budget_ms, 1, MAX_TIME_MS);
    found.bound(at("max_run_ms"), policy.max_run_ms, 1, MAX_TIME_MS);
    found.bound(
        at("max_body_bytes"),
        policy.max_body_bytes,
        0,
        MAX_BODY_BYTES,
    );
    found.bound(at("max_queue_len"), policy.max_queue_len, 0, MAX_QUEUE_LEN);
    found.bound(at("max_attempts"), policy.max_attempts, 1, MAX_ATTEMPTS);
}

fn check_tasks(
    path: &str,
    policy: &catalogue::TaskPolicy,
    quota: Option<sizes::Resources>,
    found: &mut Found,
) {
    let at = |field: &str| format!("{path}.{field}");
    found.bound(at("max_tasks"), policy.max_tasks, 1, MAX_TASKS);
    found.bound(at("max_run_ms"), policy.max_run_ms, 1, MAX_TIME_MS);
    found.bound(at("max_attempts"), policy.max_attempts, 1, MAX_ATTEMPTS);
    if let Some(largest) = &policy.max_task {
        check_resources(&at("max_task"), largest, found);
        if let Some(quota) = quota.filter(|quota| !quota.holds(largest)) {
            found.add(
                at("max_task"),
                format!("{largest} is more than the quota of the owner, {quota}"),
            );
        }
    }
    if policy.class == catalogue::JobClass::Gang && policy.max_tasks == 1 {
        found.add(
            at("max_tasks"),
            "a gang of one task: expected 2 or more, or class batch",
        );
    }
    if policy.preemptible && policy.urgency == catalogue::Urgency::Interactive {
        found.add(
            at("preemptible"),
            "nothing is more urgent than interactive tasks: expected false, or another urgency",
        );
    }
}

fn check_weights(weights: &catalogue::Weights, found: &mut Found) {
    found.bound("weights.waiting".to_owned(), weights.waiting, 0.0, 1.0);
    found.bound("weights.packing".to_owned(), weights.packing, 0.0, 1.0);
    if weights.waiting == 0.0 && weights.packing == 0.0 {
        found.add("weights", "both are 0: expected one above 0");
    }
}

fn check_size(catalogue: &catalogue::Catalogue, found: &mut Found) {
    let len = super::history::encoded_len(catalogue);
    if len > MAX_CATALOGUE_BYTES {
        let largest = largest_entry(catalogue).map_or_else(String::new, |(name, len)| {
            format!("; the largest entry, entries.{name}, takes {len}")
        });
        found.add(
            ".",
            format!("{len} bytes when stored: expected at most {MAX_CATALOGUE_BYTES}{largest}"),
        );
    }
}

fn largest_entry(catalogue: &catalogue::Catalogue) -> Option<(&ids::EntryName, usize)> {
    catalogue
        .entries
        .iter()
        .map(|(name, entry)| (name, super::history::encoded_len(entry)))
        .max_by_key(|(_, len)| *len)
}

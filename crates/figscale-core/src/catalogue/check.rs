//! Semantic validation of a catalogue, beyond what parsing checks.
//!
//! Every problem gives its location as a path from the root of the catalogue
//! (`entries.hull-quote.policy.requests.budget_ms`), in the format of
//! `serde_path_to_error`, so that the command line can handle parse errors and
//! these problems alike. All problems are reported at once; a catalogue with
//! any problem is rejected as a whole.

use std::fmt;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::sizes;

/// Maximum number of owners.
pub const MAX_OWNERS: usize = 1_000;
/// Maximum number of entries.
pub const MAX_ENTRIES: usize = 2_000;
/// Maximum size of a catalogue in the encoding used in the store. Leaves space
/// within one value for the previous catalogue and the history.
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

/// One validation error of a catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Location, as a path from the root; `.` for the whole catalogue.
    pub path: String,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Validates a catalogue; problems are listed in the order of the catalogue.
pub fn check(catalogue: &catalogue::Catalogue) -> Vec<Problem> {
    let mut problems = Problems::default();
    check_counts(catalogue, &mut problems);
    for (name, owner) in &catalogue.owners {
        check_owner(&format!("owners.{name}"), owner, &mut problems);
    }
    for (name, entry) in &catalogue.entries {
        check_entry(&format!("entries.{name}"), entry, catalogue, &mut problems);
    }
    check_weights(&catalogue.weights, &mut problems);
    check_size(catalogue, &mut problems);
    problems.list
}

#[derive(Default)]
struct Problems {
    list: Vec<Problem>,
}

impl Problems {
    fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.list.push(Problem {
            path: path.into(),
            message: message.into(),
        });
    }

    fn check_range<T>(&mut self, path: String, value: T, low: T, high: T)
    where
        T: PartialOrd + fmt::Display,
    {
        // NaN compares false with everything, so this form rejects it.
        let within = value >= low && value <= high;
        if !within {
            self.add(
                path,
                format!("{value} is out of bounds: expected {low} to {high}"),
            );
        }
    }
}

fn check_counts(catalogue: &catalogue::Catalogue, problems: &mut Problems) {
    let mut at_most = |path: &str, len: usize, max: usize| {
        if len > max {
            problems.add(path, format!("{len} {path}: expected at most {max}"));
        }
    };
    at_most("owners", catalogue.owners.len(), MAX_OWNERS);
    at_most("entries", catalogue.entries.len(), MAX_ENTRIES);
}

fn check_owner(path: &str, owner: &catalogue::Owner, problems: &mut Problems) {
    problems.check_range(format!("{path}.weight"), owner.weight, 1, MAX_WEIGHT);
    if let Some(rate) = owner.rate_per_s {
        let path = format!("{path}.rate_per_s");
        let valid = rate.is_finite() && rate > 0.0 && rate <= MAX_RATE_PER_S;
        if !valid {
            problems.add(
                path,
                format!("{rate} is no rate: expected above 0 and at most {MAX_RATE_PER_S}"),
            );
        }
    }
    if let Some(concurrency) = owner.concurrency {
        problems.check_range(
            format!("{path}.concurrency"),
            concurrency,
            1,
            MAX_CONCURRENCY,
        );
    }
    if let Some(quota) = &owner.quota {
        check_resources(&format!("{path}.quota"), quota, problems);
    }
}

fn check_resources(path: &str, resources: &sizes::Resources, problems: &mut Problems) {
    problems.check_range(
        format!("{path}.cpu_millis"),
        resources.cpu_millis.0,
        1,
        MAX_CPU_MILLIS,
    );
    problems.check_range(
        format!("{path}.memory_bytes"),
        resources.memory_bytes.0,
        1,
        MAX_MEMORY_BYTES,
    );
    problems.check_range(
        format!("{path}.accelerators"),
        resources.accelerators,
        0,
        MAX_ACCELERATORS,
    );
}

fn check_entry(
    path: &str,
    entry: &catalogue::Entry,
    catalogue: &catalogue::Catalogue,
    problems: &mut Problems,
) {
    check_known_owner(&format!("{path}.owner"), &entry.owner, catalogue, problems);
    if let Some(callers) = &entry.callers {
        check_callers(&format!("{path}.callers"), callers, catalogue, problems);
    }
    match &entry.policy {
        catalogue::Policy::Requests(policy) => {
            check_requests(&format!("{path}.policy.requests"), policy, problems);
        }
        catalogue::Policy::Tasks(policy) => {
            let quota = catalogue.owners.get(&entry.owner).and_then(|o| o.quota);
            check_tasks(&format!("{path}.policy.tasks"), policy, quota, problems);
        }
    }
}

fn check_known_owner(
    path: &str,
    owner: &ids::OwnerName,
    catalogue: &catalogue::Catalogue,
    problems: &mut Problems,
) {
    if !catalogue.owners.contains_key(owner) {
        problems.add(
            path,
            format!("unknown owner {owner}: expected a name under owners"),
        );
    }
}

fn check_callers(
    path: &str,
    callers: &[ids::OwnerName],
    catalogue: &catalogue::Catalogue,
    problems: &mut Problems,
) {
    for (index, caller) in callers.iter().enumerate() {
        let path = format!("{path}[{index}]");
        check_known_owner(&path, caller, catalogue, problems);
        if callers[..index].contains(caller) {
            problems.add(path, format!("{caller} stands twice"));
        }
    }
}

fn check_requests(path: &str, policy: &catalogue::RequestPolicy, problems: &mut Problems) {
    let at = |field: &str| format!("{path}.{field}");
    problems.check_range(at("budget_ms"), policy.budget_ms, 1, MAX_TIME_MS);
    problems.check_range(at("max_run_ms"), policy.max_run_ms, 1, MAX_TIME_MS);
    problems.check_range(
        at("max_body_bytes"),
        policy.max_body_bytes,
        0,
        MAX_BODY_BYTES,
    );
    problems.check_range(at("max_queue_len"), policy.max_queue_len, 0, MAX_QUEUE_LEN);
    problems.check_range(at("max_attempts"), policy.max_attempts, 1, MAX_ATTEMPTS);
}

fn check_tasks(
    path: &str,
    policy: &catalogue::TaskPolicy,
    quota: Option<sizes::Resources>,
    problems: &mut Problems,
) {
    let at = |field: &str| format!("{path}.{field}");
    problems.check_range(at("max_tasks"), policy.max_tasks, 1, MAX_TASKS);
    problems.check_range(at("max_run_ms"), policy.max_run_ms, 1, MAX_TIME_MS);
    problems.check_range(at("max_attempts"), policy.max_attempts, 1, MAX_ATTEMPTS);
    if let Some(largest) = &policy.max_task {
        check_resources(&at("max_task"), largest, problems);
        if let Some(quota) = quota.filter(|quota| !quota.holds(largest)) {
            problems.add(
                at("max_task"),
                format!("{largest} is more than the quota of the owner, {quota}"),
            );
        }
    }
    if policy.class == catalogue::JobClass::Gang && policy.max_tasks == 1 {
        problems.add(
            at("max_tasks"),
            "a gang of one task: expected 2 or more, or class batch",
        );
    }
    if policy.preemptible && policy.urgency == catalogue::Urgency::Interactive {
        problems.add(
            at("preemptible"),
            "nothing is more urgent than interactive tasks: expected false, or another urgency",
        );
    }
}

fn check_weights(weights: &catalogue::Weights, problems: &mut Problems) {
    problems.check_range("weights.waiting".to_owned(), weights.waiting, 0.0, 1.0);
    problems.check_range("weights.packing".to_owned(), weights.packing, 0.0, 1.0);
    if weights.waiting == 0.0 && weights.packing == 0.0 {
        problems.add("weights", "both are 0: expected one above 0");
    }
}

fn check_size(catalogue: &catalogue::Catalogue, problems: &mut Problems) {
    let len = super::history::encoded_len(catalogue);
    if len > MAX_CATALOGUE_BYTES {
        let largest = largest_entry(catalogue).map_or_else(String::new, |(name, len)| {
            format!("; the largest entry, entries.{name}, takes {len}")
        });
        problems.add(
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

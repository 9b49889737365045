//! Validation of catalogues, and the text of a diff.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

use std::error;
use std::fmt::Write as _;

use figscale_core::catalogue;
use figscale_types::catalogue as schema;
use figscale_types::ids;
use rstest::rstest;

const VALID: &str = include_str!("data/catalogue.json");

fn parse(text: &str) -> schema::Catalogue {
    serde_json::from_str(text).unwrap()
}

/// The valid catalogue with the value at a JSON pointer replaced or added.
fn with(pointer: &str, value: &str) -> schema::Catalogue {
    let mut tree: serde_json::Value = serde_json::from_str(VALID).unwrap();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = tree.pointer_mut(parent).unwrap();
    parent[key] = serde_json::from_str(value).unwrap();
    serde_json::from_value(tree).unwrap()
}

#[test]
fn a_valid_catalogue_has_no_problem() {
    assert_eq!(catalogue::check(&parse(VALID)), []);
}

#[rstest]
#[case::unknown_owner(
    "/entries/hull-quote/owner",
    r#""nobody""#,
    "entries.hull-quote.owner: unknown owner nobody"
)]
#[case::unknown_caller(
    "/entries/hull-quote/callers",
    r#"["brokers", "nobody"]"#,
    "entries.hull-quote.callers[1]: unknown owner nobody"
)]
#[case::caller_twice(
    "/entries/hull-quote/callers",
    r#"["brokers", "brokers"]"#,
    "entries.hull-quote.callers[1]: brokers stands twice"
)]
#[case::zero_weight(
    "/owners/brokers/weight",
    "0",
    "owners.brokers.weight: 0 is out of bounds"
)]
#[case::negative_rate(
    "/owners/brokers/rate_per_s",
    "-1.5",
    "owners.brokers.rate_per_s: -1.5 is no rate"
)]
#[case::zero_rate(
    "/owners/brokers/rate_per_s",
    "0",
    "owners.brokers.rate_per_s: 0 is no rate"
)]
#[case::zero_concurrency(
    "/owners/brokers/concurrency",
    "0",
    "owners.brokers.concurrency: 0 is out of bounds"
)]
#[case::empty_quota(
    "/owners/desk/quota",
    r#"{"cpu_millis": 0, "memory_bytes": 1}"#,
    "owners.desk.quota.cpu_millis: 0 is out of bounds"
)]
#[case::zero_budget(
    "/entries/hull-quote/policy/requests/budget_ms",
    "0",
    "entries.hull-quote.policy.requests.budget_ms: 0 is out of bounds"
)]
#[case::run_time_too_long(
    "/entries/hull-quote/policy/requests/max_run_ms",
    "99999999999",
    "entries.hull-quote.policy.requests.max_run_ms: 99999999999 is out of bounds"
)]
#[case::no_attempt(
    "/entries/hull-quote/policy/requests/max_attempts",
    "0",
    "entries.hull-quote.policy.requests.max_attempts: 0 is out of bounds"
)]
#[case::no_task(
    "/entries/accumulation/policy/tasks/max_tasks",
    "0",
    "entries.accumulation.policy.tasks.max_tasks: 0 is out of bounds"
)]
#[case::task_over_quota(
    "/entries/accumulation/policy/tasks/max_task",
    r#"{"cpu_millis": 999999, "memory_bytes": 1}"#,
    "entries.accumulation.policy.tasks.max_task: 999999m 1B 0acc is more than the quota"
)]
#[case::preemptible_interactive(
    "/entries/accumulation/policy/tasks/urgency",
    r#""interactive""#,
    "entries.accumulation.policy.tasks.preemptible: nothing is more urgent"
)]
#[case::weight_above_one("/weights/packing", "1.5", "weights.packing: 1.5 is out of bounds")]
#[case::no_weight_at_all("/weights", r#"{"waiting": 0, "packing": 0}"#, "weights: both are 0")]
fn a_problem_gives_its_path(#[case] pointer: &str, #[case] value: &str, #[case] expected: &str) {
    let problems = catalogue::check(&with(pointer, value));
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].starts_with(expected), "{lines:?}");
}

#[test]
fn a_gang_of_one_is_refused() {
    let mut catalogue = with("/entries/accumulation/policy/tasks/class", r#""gang""#);
    let name: ids::EntryName = "accumulation".parse().unwrap();
    let schema::Policy::Tasks(policy) = &mut catalogue.entries[&name].policy else {
        panic!("a policy of tasks");
    };
    policy.max_tasks = 1;
    let problems = catalogue::check(&catalogue);
    assert_eq!(
        problems[0].path,
        "entries.accumulation.policy.tasks.max_tasks"
    );
}

#[test]
fn nan_and_infinity_are_refused() {
    let mut catalogue = parse(VALID);
    catalogue.weights.waiting = f64::NAN;
    catalogue.owners[0].rate_per_s = Some(f64::INFINITY);
    let paths: Vec<String> = catalogue::check(&catalogue)
        .into_iter()
        .map(|problem| problem.path)
        .collect();
    assert_eq!(paths, ["owners.brokers.rate_per_s", "weights.waiting"]);
}

#[test]
fn all_problems_are_reported_at_once() {
    let mut catalogue = with("/weights/packing", "2");
    catalogue.owners[0].weight = 0;
    assert_eq!(catalogue::check(&catalogue).len(), 2);
}

#[test]
fn too_many_entries_and_too_many_bytes_are_refused() {
    let mut catalogue = parse(VALID);
    let entry = catalogue.entries[0].clone();
    for number in 0..5_000 {
        let name = format!("entry-{number:04}").parse().unwrap();
        catalogue.entries.insert(name, entry.clone());
    }
    let paths: Vec<String> = catalogue::check(&catalogue)
        .into_iter()
        .map(|problem| problem.path)
        .collect();
    assert_eq!(paths, ["entries", "."]);
}

#[rstest]
#[case::unknown_field(
    r#"{"owners": {}, "entries": {}, "wieghts": {}}"#,
    "unknown field `wieghts`"
)]
#[case::wrong_unit(
    r#"{"owners": {"a": {"rate_per_m": 1}}, "entries": {}}"#,
    "unknown field `rate_per_m`"
)]
#[case::bad_name(r#"{"owners": {"A b": {}}, "entries": {}}"#, "invalid owner name")]
#[case::number_too_large(
    r#"{"owners": {"a": {"rate_per_s": 1e999}}, "entries": {}}"#,
    "number out of range"
)]
fn parsing_refuses(
    #[case] text: &str,
    #[case] expected: &str,
) -> Result<(), Box<dyn error::Error>> {
    let error = serde_json::from_str::<schema::Catalogue>(text).unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
    assert_eq!(error.line(), 1);
    Ok(())
}

#[test]
fn a_diff_reads_line_by_line() {
    let old = parse(VALID);
    let mut new = with("/entries/hull-quote/policy/requests/budget_ms", "9000");
    new.owners[0].rate_per_s = None;
    let name: ids::EntryName = "accumulation".parse().unwrap();
    let moved = new.entries.shift_remove(&name);
    new.entries
        .insert("accumulation-runs".parse().unwrap(), moved.unwrap());
    let mut text = String::new();
    for change in catalogue::diff(&old, &new) {
        writeln!(text, "{change}").unwrap();
    }
    insta::assert_snapshot!(text);
    assert_eq!(catalogue::diff(&old, &old), []);
}

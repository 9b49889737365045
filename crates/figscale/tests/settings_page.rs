//! Compares docs/SETTINGS.md with the code: every field, with its default.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeSet;
use std::fs;
use std::path;

use figscale::settings;
use serde_json::Value;

/// Settings with only the fields that have no default.
const SMALLEST: &str = "tests/data/settings/good-smallest.json";

fn leaves(path: &str, value: &Value, found: &mut Vec<(String, String)>) {
    let Value::Object(fields) = value else {
        found.push((path.to_owned(), value.to_string()));
        return;
    };
    for (name, value) in fields {
        let path = match path {
            "" => name.clone(),
            path => format!("{path}.{name}"),
        };
        leaves(&path, value, found);
    }
}

fn code_rows() -> BTreeSet<String> {
    let text = fs::read_to_string(SMALLEST).unwrap();
    let given: Value = serde_json::from_str(&text).unwrap();
    let settings = settings::Settings::load(path::Path::new(SMALLEST)).unwrap();
    let mut found = Vec::new();
    leaves("", &serde_json::to_value(settings).unwrap(), &mut found);
    found
        .into_iter()
        .map(|(path, default)| match given.get(&path) {
            Some(_) => format!("| `{path}` | required |"),
            None => format!("| `{path}` | {} |", default.trim_matches('"')),
        })
        .collect()
}

/// The first two columns of each row.
fn page_rows() -> BTreeSet<String> {
    let file = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    fs::read_to_string(file)
        .unwrap()
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| line.split('|').take(3).collect::<Vec<_>>().join("|") + "|")
        .collect()
}

#[test]
fn every_field_is_on_the_page() {
    let missing: Vec<_> = code_rows().difference(&page_rows()).cloned().collect();
    assert!(missing.is_empty(), "add to docs/SETTINGS.md: {missing:#?}");
}

#[test]
fn every_row_of_the_page_is_a_field() {
    let extra: Vec<_> = page_rows().difference(&code_rows()).cloned().collect();
    assert!(extra.is_empty(), "remove from docs/SETTINGS.md: {extra:#?}");
}

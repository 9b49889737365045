//! Field-by-field differences between two catalogues, for operators.
//!
//! Both are compared as JSON trees with every default written out, so that a
//! default that only one of them spells out is not a change, and a new field of
//! the schema is covered without code here. The cost is a copy of both trees.

use std::fmt;

use figscale_types::catalogue;
use serde::Serialize;
use serde_json::Value;

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Field names from the root, joined by dots.
    pub path: String,
    /// Value in force; `null` if the field is new.
    pub before: Value,
    /// New value; `null` if the field is removed.
    pub after: Value,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Value::Null, after) => write!(f, "+ {}: {after}", self.path),
            (before, Value::Null) => write!(f, "- {}: {before}", self.path),
            (before, after) => write!(f, "~ {}: {before} -> {after}", self.path),
        }
    }
}

/// Lists the fields that differ between `old` and `new`, sorted by path.
pub fn diff(old: &catalogue::Catalogue, new: &catalogue::Catalogue) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(String::new(), &tree(old), &tree(new), &mut changes);
    changes.sort_by(|a, b| a.path.cmp(&b.path));
    changes
}

/// Converts a catalogue to JSON. Names are strings and numbers finite, so this
/// does not fail; if it did, the diff would report the whole catalogue as changed.
fn tree(catalogue: &catalogue::Catalogue) -> Value {
    serde_json::to_value(catalogue).unwrap_or(Value::Null)
}

fn compare(path: String, before: &Value, after: &Value, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        changes.push(Change {
            path,
            before: before.clone(),
            after: after.clone(),
        });
        return;
    };
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    for name in new.keys().chain(removed) {
        let before = old.get(name).unwrap_or(&Value::Null);
        let after = new.get(name).unwrap_or(&Value::Null);
        compare(join(&path, name), before, after, changes);
    }
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    }
}

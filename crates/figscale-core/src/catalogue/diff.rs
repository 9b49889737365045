//! What changes between two catalogues, field by field, for an operator to read.
//!
//! Both are compared as JSON trees with every default written out, so that a
//! default that is spelled out in one of them is no change, and a new field of
//! the schema shows without a line here. The price is a copy of both trees.

use std::fmt;

use figscale_types::catalogue;
use serde::Serialize;
use serde_json::Value;

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Names from the root, joined by dots.
    pub path: String,
    /// Value in force; `null` when the field is new.
    pub before: Value,
    /// Value wanted; `null` when the field goes.
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

/// The fields that differ from `old` to `new`, in the order of their paths.
pub fn diff(old: &catalogue::Catalogue, new: &catalogue::Catalogue) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(String::new(), &tree(old), &tree(new), &mut changes);
    changes.sort_by(|a, b| a.path.cmp(&b.path));
    changes
}

/// Names are text and numbers finite, so this never fails; if it did, the
/// whole would show as changed.
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
    let gone = old.keys().filter(|name| !new.contains_key(*name));
    for name in new.keys().chain(gone) {
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

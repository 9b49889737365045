//! What changes between two catalogues, field by field.
//!
//! Both are compared as JSON with every default written out, so that a default
//! that is spelled out in one of them is no change.

use std::fmt;

use figscale_types::catalogue;
use serde::Serialize;
use serde_json::Value;

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Change {
    /// Names from the top, joined by dots.
    path: String,
    /// Value in force; `null` when the field is new.
    before: Value,
    /// Value wanted; `null` when the field goes.
    after: Value,
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

/// The fields that differ, in the order of the names.
pub(super) fn changes(
    before: &catalogue::Catalogue,
    after: &catalogue::Catalogue,
) -> serde_json::Result<Vec<Change>> {
    let before = serde_json::to_value(before)?;
    let after = serde_json::to_value(after)?;
    let mut found = Vec::new();
    compare(String::new(), &before, &after, &mut found);
    Ok(found)
}

fn compare(path: String, before: &Value, after: &Value, found: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        found.push(Change {
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
        compare(join(&path, name), before, after, found);
    }
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    }
}

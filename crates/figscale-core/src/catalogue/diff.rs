//! What changes between two catalogues, for an operator to read.
//!
//! Both are walked as trees of JSON values, so that a new field of the schema
//! shows without a line here. The price is a copy of both trees for each call.

use std::fmt;

use figscale_types::catalogue;
use serde_json::Value;

/// How deep a value that was added or removed is still shown as a whole.
const MAX_SHOWN_LEN: usize = 200;

/// One difference.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Where, as a path from the root.
    pub path: String,
    /// What happened there.
    pub kind: ChangeKind,
}

/// What happened at a place.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeKind {
    /// The value is new.
    Added(Value),
    /// The value is gone.
    Removed(Value),
    /// The value was replaced.
    Changed(Value, Value),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match &self.kind {
            ChangeKind::Added(new) => write!(f, "+ {path}: {}", shown(new)),
            ChangeKind::Removed(old) => write!(f, "- {path}: {}", shown(old)),
            ChangeKind::Changed(old, new) => {
                write!(f, "~ {path}: {} -> {}", shown(old), shown(new))
            }
        }
    }
}

fn shown(value: &Value) -> String {
    let text = value.to_string();
    if text.len() <= MAX_SHOWN_LEN {
        return text;
    }
    let start: String = text.chars().take(MAX_SHOWN_LEN).collect();
    format!("{start}...")
}

/// The differences from `old` to `new`, ordered by path.
pub fn diff(old: &catalogue::Catalogue, new: &catalogue::Catalogue) -> Vec<Change> {
    let mut changes = Vec::new();
    walk("", &tree(old), &tree(new), &mut changes);
    changes.sort_by(|a, b| a.path.cmp(&b.path));
    changes
}

fn tree(catalogue: &catalogue::Catalogue) -> Value {
    // Names are strings and numbers finite, so this never fails; a null would
    // show in the diff rather than hide it.
    serde_json::to_value(catalogue).unwrap_or(Value::Null)
}

fn walk(path: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    let (Value::Object(old), Value::Object(new)) = (old, new) else {
        if old != new {
            changes.push(Change {
                path: path.to_owned(),
                kind: ChangeKind::Changed(old.clone(), new.clone()),
            });
        }
        return;
    };
    let join = |key: &str| match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    };
    for (key, old) in old {
        match new.get(key) {
            Some(new) => walk(&join(key), old, new, changes),
            None => changes.push(Change {
                path: join(key),
                kind: ChangeKind::Removed(old.clone()),
            }),
        }
    }
    for (key, new) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        changes.push(Change {
            path: join(key),
            kind: ChangeKind::Added(new.clone()),
        });
    }
}

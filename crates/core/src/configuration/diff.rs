//! The differences between two configurations.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use super::Configuration;

/// One difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The kind of the item: `zone`, `team`, `model`, `service` or `policy`.
    pub kind: &'static str,
    /// The item's name; empty for the policy.
    pub name: String,
    /// The key that differs; `None` where the whole item was added or removed.
    pub key: Option<String>,
    /// The value before; `None` where there was none.
    pub before: Option<Value>,
    /// The value after; `None` where there is none.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let item = format!("{} {}", self.kind, self.name);
        let item = item.trim_end();
        let show = |value: &Option<Value>| value.as_ref().map_or("(none)".into(), Value::to_string);
        match (&self.key, &self.before) {
            (Some(key), before) => {
                write!(formatter, "~ {item}: {key} {} -> {}", show(before), show(&self.after))
            }
            (None, None) => write!(formatter, "+ {item}"),
            (None, Some(_)) => write!(formatter, "- {item}"),
        }
    }
}

/// All changes from one configuration to another, ordered by kind and name.
#[must_use]
pub fn changes(before: &Configuration, after: &Configuration) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("zone", &before.zones, &after.zones, &mut changes);
    compare("team", &before.teams, &after.teams, &mut changes);
    compare("model", &before.models, &after.models, &mut changes);
    compare("service", &before.services, &after.services, &mut changes);
    let (before, after) = (before.origin_weight, after.origin_weight);
    if before.to_bits() != after.to_bits() {
        changes.push(Change {
            kind: "policy",
            name: String::new(),
            key: Some("origin_weight".into()),
            before: Some(before.into()),
            after: Some(after.into()),
        });
    }
    changes
}

fn compare<K: Ord + fmt::Display, T: Serialize>(
    kind: &'static str,
    before: &BTreeMap<K, T>,
    after: &BTreeMap<K, T>,
    changes: &mut Vec<Change>,
) {
    let names: std::collections::BTreeSet<&K> = before.keys().chain(after.keys()).collect();
    for name in names {
        let old = before.get(name).map(to_value);
        let new = after.get(name).map(to_value);
        match (old, new) {
            (Some(Value::Object(old)), Some(Value::Object(new))) => {
                compare_keys(kind, &name.to_string(), &old, &new, changes);
            }
            (before, after) => {
                changes.push(Change { kind, name: name.to_string(), key: None, before, after });
            }
        }
    }
}

fn compare_keys(
    kind: &'static str,
    name: &str,
    before: &serde_json::Map<String, Value>,
    after: &serde_json::Map<String, Value>,
    changes: &mut Vec<Change>,
) {
    let keys: std::collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for key in keys {
        let (before, after) = (before.get(key), after.get(key));
        if before != after {
            changes.push(Change {
                kind,
                name: name.into(),
                key: Some(key.clone()),
                before: before.cloned(),
                after: after.cloned(),
            });
        }
    }
}

fn to_value<T: Serialize>(item: &T) -> Value {
    serde_json::to_value(item).unwrap_or_default()
}

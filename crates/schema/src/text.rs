//! The schemas themselves, for checks at run time.

use serde_json::{Value, json};

const NAMES: &str = include_str!("../../../schema/names.json");
const OPERATOR: &str = include_str!("../../../schema/operator.json");
const SETTINGS: &str = include_str!("../../../schema/settings.json");

/// The schema of one of an operator's files.
#[must_use]
pub fn operator_file() -> Value {
    of_definition(OPERATOR, "File")
}

/// The schema of an entry instance's settings.
#[must_use]
pub fn entry_settings() -> Value {
    of_definition(SETTINGS, "Entry")
}

/// The schema of an agent's settings.
#[must_use]
pub fn agent_settings() -> Value {
    of_definition(SETTINGS, "Agent")
}

/// The schema of the settings of a process on a platform that keeps the configuration.
#[must_use]
pub fn node_settings() -> Value {
    of_definition(SETTINGS, "Node")
}

fn of_definition(schema: &str, definition: &str) -> Value {
    let mut definitions = definitions_of(NAMES);
    merge(&mut definitions, definitions_of(schema));
    json!({ "$ref": format!("#/definitions/{definition}"), "definitions": definitions })
}

fn definitions_of(schema: &str) -> Value {
    let schema: Value = serde_json::from_str(schema).unwrap_or_default();
    schema["definitions"].clone()
}

fn merge(into: &mut Value, from: Value) {
    if let (Some(into), Value::Object(from)) = (into.as_object_mut(), from) {
        into.extend(from);
    }
}

//! The difference between two documents, one line per changed value; see [`describe_changes`].

use std::collections::BTreeMap;
use std::fmt::Write;

use serde_json::Value;
use skylarkshore_wire::document::DocumentWire;

/// Returns the changes from one document to another; empty if they are equal.
///
/// Each line identifies a value by its path. Rules are identified by name rather
/// than by index, so that inserting a rule doesn't mark all later rules as changed.
pub fn describe_changes(from: &DocumentWire, to: &DocumentWire) -> String {
    let (from, to) = (flatten(from), flatten(to));
    let mut text = String::new();
    let paths: std::collections::BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    for path in paths {
        // Writing to a string can't fail.
        _ = match (from.get(path), to.get(path)) {
            (Some(old), Some(new)) if old == new => Ok(()),
            (Some(old), Some(new)) => writeln!(text, "  ~ {path}: {old} -> {new}"),
            (Some(old), None) => writeln!(text, "  - {path}: {old}"),
            (None, Some(new)) => writeln!(text, "  + {path}: {new}"),
            (None, None) => Ok(()),
        };
    }
    text
}

fn flatten(document: &DocumentWire) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    let mut value = serde_json::to_value(document).unwrap_or_default();
    if let Value::Object(object) = &mut value {
        object.remove("revision");
        let order: Vec<&str> = document.rules.iter().map(|rule| rule.name.as_str()).collect();
        object.insert("order of rules".to_owned(), order.join(", ").into());
    }
    flatten_into(String::new(), &value, &mut values);
    values
}

fn flatten_into(path: String, value: &Value, values: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                flatten_into(path, value, values);
            }
        }
        Value::Array(list) if list.iter().any(Value::is_object) => {
            for (i, value) in list.iter().enumerate() {
                let name = value.get("name").and_then(Value::as_str);
                let name = name.map_or_else(|| i.to_string(), str::to_owned);
                flatten_into(format!("{path}[{name}]"), value, values);
            }
        }
        leaf => {
            values.insert(path, leaf.to_string());
        }
    }
}

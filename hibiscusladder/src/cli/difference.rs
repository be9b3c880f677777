//! Comparison of two versions of an object.

use serde_json::Value;

/// Lists the fields that differ, as `name: old -> new`; values that are not objects are compared as a whole.
pub(crate) fn differences(old: &Value, new: &Value) -> Vec<String> {
    let (Some(old), Some(new)) = (old.as_object(), new.as_object()) else {
        return if old == new { Vec::new() } else { vec![format!("{old} -> {new}")] };
    };
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    let display =
        |value: Option<&Value>| value.map_or_else(|| "absent".to_owned(), Value::to_string);
    names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| format!("{name}: {} -> {}", display(old.get(name)), display(new.get(name))))
        .collect()
}

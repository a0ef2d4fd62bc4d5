//! The check of one record document.

use serde_json::Value;

/// Names every problem of a record, each with its remedy.
pub(crate) fn check_record(document: &Value) -> Vec<String> {
    ["schema_version", "kind", "name"]
        .into_iter()
        .filter(|key| document.get(key).is_none())
        .map(|key| format!("`{key}` is missing; add it"))
        .collect()
}

//! The check of one record document.

use serde_json::Value;

/// Names every problem of a record, each with its remedy.
pub(crate) fn check_record(document: &Value) -> Vec<String> {
    // The same bytes that `apply` sends, so that what passes here is not refused for its content.
    match yuccatack_records::decode(document.to_string().as_bytes()) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

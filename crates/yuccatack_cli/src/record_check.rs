//! Validation of a record without sending it.

use serde_json::Value;

/// Returns a message with a remedy for every problem of the record.
pub(crate) fn check_record(document: &Value) -> Vec<String> {
    // Decodes the bytes that `apply` sends, so a record that passes is not refused for its content.
    match yuccatack_records::decode(document.to_string().as_bytes()) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

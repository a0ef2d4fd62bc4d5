//! Validation of single values.

use std::net::SocketAddr;
use std::path::Path;

use serde_yaml_ng::Value;
use yuccatack_core::NodeName;

use crate::{Field, FieldKind, Problem};

/// Describes a value of the file for an error message.
pub(crate) fn describe(value: &Value) -> String {
    match value {
        Value::Null => "no value".to_owned(),
        Value::Bool(flag) => format!("`{flag}`"),
        Value::Number(number) => format!("`{number}`"),
        Value::String(text) => format!("the text `{text}`"),
        Value::Sequence(elements) => format!("a list of {} elements", elements.len()),
        Value::Mapping(entries) => format!("a mapping of {} keys", entries.len()),
        Value::Tagged(tagged) => format!("the tag `{}`", tagged.tag),
    }
}

/// Checks a scalar value. Lists are skipped, because their elements are checked individually.
pub(super) fn check(field: &Field, path: &str, value: &Value) -> Option<Problem> {
    match field.kind {
        FieldKind::Name => check_name(path, value),
        FieldKind::Address => check_address(path, value),
        FieldKind::Folder => check_folder(path, value),
        FieldKind::Integer { minimum, maximum } => {
            check_integer(path, value, field.unit(), (minimum, maximum))
        }
        FieldKind::Addresses | FieldKind::Replicas => None,
    }
}

fn invalid_value(path: &str, value: &Value, remedy: impl Into<String>) -> Option<Problem> {
    Some(Problem::new(path, format!("found {}", describe(value)), remedy))
}

fn check_name(path: &str, value: &Value) -> Option<Problem> {
    let Some(text) = value.as_str() else {
        return invalid_value(
            path,
            value,
            "give a name as text, in quotes if it looks like a number",
        );
    };
    let error = NodeName::new(text).err()?;
    let remedy = "use 1 to 128 characters out of a-z, A-Z, 0-9, `-`, `_` and `.`";
    Some(Problem::new(path, format!("found `{}`", error.text), remedy))
}

pub(super) fn check_address(path: &str, value: &Value) -> Option<Problem> {
    let address = value.as_str().and_then(|text| text.parse::<SocketAddr>().ok());
    match address {
        None => {
            invalid_value(path, value, "give an IP address and a port, for example `10.1.0.5:7401`")
        }
        Some(address) if address.port() == 0 => invalid_value(
            path,
            value,
            "give a fixed port; other processes cannot find a random one",
        ),
        Some(_) => None,
    }
}

fn check_folder(path: &str, value: &Value) -> Option<Problem> {
    match value.as_str() {
        Some(text) if Path::new(text).is_absolute() => None,
        _ => invalid_value(path, value, "give an absolute path, for example `/var/lib/yuccatack`"),
    }
}

fn check_integer(path: &str, value: &Value, unit: &str, bounds: (u64, u64)) -> Option<Problem> {
    let (minimum, maximum) = bounds;
    let range = format!("{minimum} to {maximum}");
    let remedy = match unit {
        "milliseconds" | "bytes" => format!("give a whole number of {unit}, {range}"),
        _ => format!("give a whole number, {range}"),
    };
    match value.as_u64() {
        Some(number) if number >= minimum && number <= maximum => None,
        _ => invalid_value(path, value, remedy),
    }
}

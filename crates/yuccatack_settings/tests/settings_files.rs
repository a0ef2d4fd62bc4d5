//! Guards against settings that load with values other than those in the file, and against errors
//! that omit the file.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::fs;

use support::{AGENT, CONTROL, ENTRY, set};
use yuccatack_settings::{Role, Settings, SettingsError, check, load};

fn load_text(text: &str) -> Result<Settings, SettingsError> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    fs::write(&path, text).unwrap();
    load(path)
}

/// Guards against a default that replaces a value in the file.
#[test]
fn explicit_values_override() {
    let Settings::Control(control) = load_text(&set(CONTROL, "drain_limit_ms", "8000")).unwrap()
    else {
        panic!("not a control replica");
    };
    assert_eq!(control.drain_limit_ms, 8_000);
    assert_eq!(control.initial_replicas.len(), 3);
    assert_eq!(control.initial_replicas[2].replica_id, 3);
    assert_eq!(control.metrics_address, None);
}

/// Guards against rejecting `null` for an optional key.
#[test]
fn optional_null_accepted() {
    let Settings::Entry(entry) = load_text(&set(ENTRY, "metrics_address", "null")).unwrap() else {
        panic!("not an entry");
    };
    assert_eq!(entry.metrics_address, None);
}

/// Guards against problems that do not state the file and the key.
#[test]
fn problems_name_file() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("agent.yaml");
    fs::write(&path, set(AGENT, "slot_count", "0")).unwrap();
    let problems = check(&path);
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].file.as_deref(), Some(path.as_path()));
    assert_eq!(problems[0].path, "slot_count");
}

/// Guards against an error that omits the path of a file that cannot be read.
#[test]
fn missing_file_named() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("none.yaml");
    let message = load(&path).unwrap_err().to_string();
    assert!(message.contains("none.yaml"), "{message}");
    assert_eq!(check(&path).len(), 1);
}

/// Guards against struct fields that validation rejects as unknown, and against defaults that
/// differ between validation and the structs.
#[test]
fn schema_matches_structs() {
    for (role, text) in [(Role::Control, CONTROL), (Role::Entry, ENTRY), (Role::Agent, AGENT)] {
        let settings = load_text(text).unwrap();
        let serialized = serde_yaml_ng::to_value(&settings).unwrap();
        let keys: Vec<&str> = serialized
            .as_mapping()
            .unwrap()
            .keys()
            .map(|key| key.as_str().unwrap())
            .filter(|key| *key != "role")
            .collect();
        let fields: Vec<&str> = role.fields().iter().map(|field| field.key).collect();
        assert_eq!(keys, fields, "role {}", role.name());
        for field in role.fields() {
            if let yuccatack_settings::Presence::Default(number) = field.presence {
                assert_eq!(
                    serialized[field.key].as_u64(),
                    Some(number),
                    "default of {}",
                    field.key
                );
            }
        }
    }
}

//! Guards against a reference page (`docs/settings.md`) that omits a setting or states a wrong
//! default or range.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeSet;
use std::path::Path;

use yuccatack_settings::{Field, FieldKind, Presence, REPLICA_FIELDS, Role};

fn reference_page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    std::fs::read_to_string(path).unwrap()
}

/// Formats the table row that the page must have for a setting.
fn expected_row(field: &Field) -> String {
    let (kind, range) = match field.kind {
        FieldKind::Name => ("name", String::new()),
        FieldKind::Address => ("address", String::new()),
        FieldKind::Addresses => ("list of addresses", String::new()),
        FieldKind::Folder => ("absolute path", String::new()),
        FieldKind::Replicas => ("list of replicas", String::new()),
        FieldKind::Integer { minimum, maximum: u64::MAX } => {
            ("whole number", format!("{minimum} or more"))
        }
        FieldKind::Integer { minimum, maximum } => {
            ("whole number", format!("{minimum} to {maximum}"))
        }
    };
    let default = match field.presence {
        Presence::Required => "required".to_owned(),
        Presence::Optional => "off".to_owned(),
        Presence::Default(number) => number.to_string(),
    };
    let (key, unit, meaning) = (field.key, field.unit(), field.meaning);
    format!("| `{key}` | {kind} | {unit} | {range} | {default} | {meaning} |")
}

/// Returns the table rows of the section under `heading`.
fn rows_under(page: &str, heading: &str) -> Vec<String> {
    let section = page.split(&format!("\n{heading}\n")).nth(1).unwrap_or_default();
    let section = section.split("\n## ").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    rows.map(ToOwned::to_owned).collect()
}

#[track_caller]
fn assert_section(heading: &str, fields: &[Field]) {
    let expected: Vec<String> = fields.iter().map(expected_row).collect();
    let found = rows_under(&reference_page(), heading);
    assert!(
        found == expected,
        "docs/settings.md, section {heading}, must have these rows:\n{}",
        expected.join("\n")
    );
}

#[test]
fn control_section() {
    assert_section("## Role `control`", Role::Control.fields());
}

#[test]
fn replica_section() {
    assert_section("## Elements of `initial_replicas`", REPLICA_FIELDS);
}

#[test]
fn entry_section() {
    assert_section("## Role `entry`", Role::Entry.fields());
}

#[test]
fn agent_section() {
    assert_section("## Role `agent`", Role::Agent.fields());
}

/// Guards against numeric keys that do not state their unit, identifiers aside.
#[test]
fn numbers_state_unit() {
    for role in Role::ALL {
        for field in role.fields() {
            let number = matches!(field.kind, FieldKind::Integer { .. });
            let identifier = field.key.ends_with("_id");
            assert_eq!(number && !identifier, !field.unit().is_empty(), "{}", field.key);
        }
    }
}

/// Guards against two settings of a role with the same key, of which only the first would apply.
#[test]
fn keys_are_unique() {
    for role in Role::ALL {
        let keys: BTreeSet<&str> = role.fields().iter().map(|field| field.key).collect();
        assert_eq!(keys.len(), role.fields().len(), "role {}", role.name());
    }
}

//! Remedies for unknown keys.

use super::Role;
use crate::Field;

/// Key suffixes that state a unit, longest first so that a longer suffix takes precedence.
const UNIT_SUFFIXES: [&str; 21] = [
    "_milliseconds",
    "_microseconds",
    "_seconds",
    "_minutes",
    "_hours",
    "_bytes",
    "_millis",
    "_count",
    "_secs",
    "_mins",
    "_days",
    "_kib",
    "_mib",
    "_gib",
    "_min",
    "_kb",
    "_mb",
    "_gb",
    "_ms",
    "_us",
    "_s",
];

/// Minimum Jaro-Winkler similarity of a suggestion; less similar keys are rarely the intended one.
const MIN_SUGGESTION_SIMILARITY_RATIO: f64 = 0.8;

/// Returns the instruction that corrects the unknown `key`.
pub(super) fn remedy(key: &str, fields: &[Field]) -> String {
    if let Some(field) = field_with_same_stem(key, fields) {
        let unit = field.unit();
        return format!("use `{}`, in {unit}", field.key);
    }
    if let Some(role) = role_with_key(key) {
        return format!("remove it; it is a setting of the role `{}`", role.name());
    }
    match most_similar_key(key, fields) {
        Some(known) => format!("did you mean `{known}`?"),
        None => "remove it; the reference page of the settings lists the known keys".to_owned(),
    }
}

/// Returns the role whose schema contains `key`.
fn role_with_key(key: &str) -> Option<Role> {
    Role::ALL.into_iter().find(|role| role.fields().iter().any(|field| field.key == key))
}

/// Returns the field that differs from `key` only in its unit suffix.
fn field_with_same_stem(key: &str, fields: &[Field]) -> Option<Field> {
    let stem = stem(key);
    let mut with_unit = fields.iter().copied().filter(|field| !field.unit().is_empty());
    with_unit.find(|field| self::stem(field.key) == stem)
}

fn stem(key: &str) -> &str {
    UNIT_SUFFIXES.iter().find_map(|suffix| key.strip_suffix(suffix)).unwrap_or(key)
}

fn most_similar_key(key: &str, fields: &[Field]) -> Option<&'static str> {
    let similarity = |field: &Field| strsim::jaro_winkler(key, field.key);
    let best = fields.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(best) >= MIN_SUGGESTION_SIMILARITY_RATIO).then_some(best.key)
}

//! Remedies for keys that no setting has.

use super::Role;
use crate::Field;

/// Endings that state a unit, longest first so that `_kib` is not taken for `_b`.
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

/// Below this similarity a suggestion is more likely to mislead than to help.
const SUGGESTION_SIMILARITY: f64 = 0.8;

/// Says how to put the unknown `key` right.
pub(super) fn remedy(key: &str, fields: &[Field]) -> String {
    if let Some(field) = same_stem(key, fields) {
        let unit = field.unit();
        return format!("use `{}`, in {unit}", field.key);
    }
    if let Some(role) = role_with(key) {
        return format!("remove it; it is a setting of the role `{}`", role.name());
    }
    match nearest(key, fields) {
        Some(known) => format!("did you mean `{known}`?"),
        None => "remove it; the reference page of the settings lists the known keys".to_owned(),
    }
}

/// The role that has the setting `key`.
fn role_with(key: &str) -> Option<Role> {
    Role::ALL.into_iter().find(|role| role.fields().iter().any(|field| field.key == key))
}

/// The field that differs from `key` in nothing but the unit.
fn same_stem(key: &str, fields: &[Field]) -> Option<Field> {
    let stem = stem(key);
    let mut with_unit = fields.iter().copied().filter(|field| !field.unit().is_empty());
    with_unit.find(|field| self::stem(field.key) == stem)
}

fn stem(key: &str) -> &str {
    UNIT_SUFFIXES.iter().find_map(|suffix| key.strip_suffix(suffix)).unwrap_or(key)
}

fn nearest(key: &str, fields: &[Field]) -> Option<&'static str> {
    let similarity = |field: &Field| strsim::jaro_winkler(key, field.key);
    let best = fields.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(best) >= SUGGESTION_SIMILARITY).then_some(best.key)
}

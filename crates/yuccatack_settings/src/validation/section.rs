//! Validation of a mapping of a settings file against its schema.

use std::net::SocketAddr;

use serde_yaml_ng::{Mapping, Value};

use super::{control, describe, key, value};
use crate::{Field, FieldKind, Presence, Problem};

/// Mapping of a settings file, together with the schema of its keys.
pub(super) struct Section<'a> {
    mapping: &'a Mapping,
    fields: &'static [Field],
    prefix: &'a str,
}

/// Parsed address, together with the path of the key that holds it.
#[derive(Clone, Debug)]
pub(super) struct AddressSetting {
    pub(super) path: String,
    pub(super) address: SocketAddr,
}

impl<'a> Section<'a> {
    pub(super) fn new(mapping: &'a Mapping, fields: &'static [Field], prefix: &'a str) -> Self {
        Self { mapping, fields, prefix }
    }

    /// Returns the path of `key` from the top of the file.
    pub(super) fn path(&self, key: &str) -> String {
        format!("{}{key}", self.prefix)
    }

    /// Checks each key individually: it is known, present if required, and has a valid value.
    pub(super) fn check_fields(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        for (key, value) in self.mapping {
            let key = key.as_str().map_or_else(|| describe(key), ToOwned::to_owned);
            match self.fields.iter().find(|field| field.key == key) {
                Some(field) => self.check_value(field, value, &mut problems),
                None => problems.push(Problem::new(
                    self.path(&key),
                    "no such setting",
                    key::remedy(&key, self.fields),
                )),
            }
        }
        for field in self.fields {
            if field.presence == Presence::Required && !self.mapping.contains_key(field.key) {
                let remedy = format!("add it: {}", first_sentence(field.meaning));
                problems.push(Problem::new(self.path(field.key), "the key is missing", remedy));
            }
        }
        problems
    }

    fn check_value(&self, field: &Field, value: &Value, problems: &mut Vec<Problem>) {
        let path = self.path(field.key);
        if value.is_null() && field.presence == Presence::Optional {
            return;
        }
        match field.kind {
            FieldKind::Addresses => check_addresses(&path, value, problems),
            FieldKind::Replicas => control::check_replicas(&path, value, problems),
            _ => problems.extend(value::check(field, &path, value)),
        }
    }

    /// Returns the value of an integer key or its default; `None` if the value is not an unsigned
    /// integer.
    pub(super) fn integer(&self, key: &str) -> Option<u64> {
        match self.mapping.get(key) {
            Some(value) => value.as_u64(),
            None => self.default_value(key),
        }
    }

    fn default_value(&self, key: &str) -> Option<u64> {
        let field = self.fields.iter().find(|field| field.key == key)?;
        match field.presence {
            Presence::Default(number) => Some(number),
            Presence::Required | Presence::Optional => None,
        }
    }

    /// Returns the unparsed value of a key.
    pub(super) fn value(&self, key: &str) -> Option<&'a Value> {
        self.mapping.get(key)
    }

    /// Returns the addresses of a key that holds one address or a list of them. Values that are not
    /// addresses are left out.
    pub(super) fn addresses(&self, key: &str) -> Vec<AddressSetting> {
        let path = self.path(key);
        match self.mapping.get(key) {
            Some(Value::Sequence(elements)) => elements
                .iter()
                .enumerate()
                .filter_map(|(index, element)| parse_address(format!("{path}[{index}]"), element))
                .collect(),
            Some(value) => parse_address(path, value).into_iter().collect(),
            None => Vec::new(),
        }
    }
}

/// Reports each address that more than one key holds.
pub(super) fn check_distinct(addresses: &[AddressSetting], problems: &mut Vec<Problem>) {
    for (index, setting) in addresses.iter().enumerate() {
        let mut earlier = addresses[..index].iter();
        if let Some(first) = earlier.find(|other| other.address == setting.address) {
            let found = format!("`{}` is also the value of `{}`", setting.address, first.path);
            problems.push(Problem::new(&setting.path, found, "give each its own address"));
        }
    }
}

/// Reports addresses that are advertised to other processes but do not identify a host: unspecified
/// and multicast addresses.
pub(super) fn check_reachable(addresses: &[AddressSetting], problems: &mut Vec<Problem>) {
    for setting in addresses {
        if setting.address.ip().is_unspecified() || setting.address.ip().is_multicast() {
            let found = format!("found `{}`, which does not identify a host", setting.address);
            problems.push(Problem::new(
                &setting.path,
                found,
                "give the IP address of this machine",
            ));
        }
    }
}

pub(super) fn parse_address(path: String, value: &Value) -> Option<AddressSetting> {
    let address = value.as_str()?.parse().ok()?;
    Some(AddressSetting { path, address })
}

fn check_addresses(path: &str, value: &Value, problems: &mut Vec<Problem>) {
    match value {
        Value::Sequence(elements) if !elements.is_empty() => {
            for (index, element) in elements.iter().enumerate() {
                problems.extend(value::check_address(&format!("{path}[{index}]"), element));
            }
        }
        Value::Sequence(_) => {
            problems.push(Problem::new(path, "the list is empty", "list at least one address"));
        }
        other => problems.push(Problem::new(
            path,
            format!("found {}", describe(other)),
            "give a list of addresses, one `- IP:port` a line",
        )),
    }
}

fn first_sentence(text: &str) -> &str {
    text.split_once(". ").map_or(text, |(sentence, _)| sentence).trim_end_matches('.')
}

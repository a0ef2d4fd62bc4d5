//! Decoding of a document of any kind and schema version; reports all of its problems at once.

use serde::de::{self, DeserializeOwned, Deserializer, MapAccess, Visitor};
use serde::{Deserialize, forward_to_deserialize_any};
use serde_json::{Map, Value};
use yuccatack_core::prelude::*;

use super::{v1, v2, v2_membership};
use crate::problem::RecordProblem;
use crate::record::{Record, RecordKey, RecordKind};

/// Newest schema version that this program reads.
pub const NEWEST_SCHEMA_VERSION: u64 = 2;
/// Maximum length of a document; 64 KiB are enough for a long command line.
pub const MAX_DOCUMENT_LENGTH_BYTES: usize = 64 * 1024;
/// Number of problems after which unknown keys get no hint. A document of 64 KiB can contain
/// thousands of keys, and comparing each of them with all known ones would block a replica for tens
/// of milliseconds.
const MAX_HINT_COUNT: usize = 32;
/// Minimum Jaro-Winkler similarity at which the most similar key is suggested; 1 means equal.
const MIN_SIMILARITY_RATIO: f64 = 0.8;

/// A document that was decoded without problems.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedDocument {
    /// Schema version that the document is written in.
    pub schema_version: u64,
    /// Kind and name that the document states.
    pub key: RecordKey,
    /// Content, converted to the internal type.
    pub record: Record,
}

/// Decodes a document of any kind and supported schema version.
pub fn decode(document: &[u8]) -> Result<Record, Vec<RecordProblem>> {
    decode_document(document).map(|decoded| decoded.record)
}

/// Decodes a document and returns its key and schema version as well.
pub fn decode_document(document: &[u8]) -> Result<DecodedDocument, Vec<RecordProblem>> {
    let TopLevel { mut fields, mut problems } = parse(document)?;
    let version = take_version(&mut fields, &mut problems);
    let kind = take_kind(&mut fields, &mut problems);
    let (Some(version), Some(kind)) = (version, kind) else { return Err(problems) };
    let name = fields.get("name").and_then(Value::as_str).map(str::to_owned);
    let record = match version {
        1 => read_v1(kind, fields, &mut problems),
        _ => read_v2(kind, fields, &mut problems),
    };
    let name = name.and_then(|name| RecordName::new(&name).ok());
    match (record, name) {
        (Some(record), Some(name)) if problems.is_empty() => {
            let key = RecordKey { kind, name };
            Ok(DecodedDocument { schema_version: version, key, record })
        }
        _ => Err(problems),
    }
}

/// Decodes only the kind and name of a document, which is all that a withdrawal needs.
pub fn decode_key(document: &[u8]) -> Result<RecordKey, Vec<RecordProblem>> {
    let TopLevel { mut fields, mut problems } = parse(document)?;
    let kind = take_kind(&mut fields, &mut problems);
    let name = fields.get("name").and_then(Value::as_str);
    let name = match name.map(RecordName::new) {
        Some(Ok(name)) => Some(name),
        Some(Err(error)) => {
            let detail = error.to_string();
            problems.push(RecordProblem::InvalidName { field: "name".to_owned(), detail });
            None
        }
        None => {
            problems.push(RecordProblem::Missing { field: "name".to_owned() });
            None
        }
    };
    match (kind, name) {
        (Some(kind), Some(name)) if problems.is_empty() => Ok(RecordKey { kind, name }),
        _ => Err(problems),
    }
}

fn read_v1(
    kind: RecordKind,
    fields: Map<String, Value>,
    problems: &mut Vec<RecordProblem>,
) -> Option<Record> {
    match kind {
        RecordKind::Organisation => {
            read::<v1::OrganisationV1, v2::OrganisationV2, _>(fields, problems)
                .map(Record::Organisation)
        }
        RecordKind::Guarantee => {
            read::<v1::GuaranteeV1, v2::GuaranteeV2, _>(fields, problems).map(Record::Guarantee)
        }
        RecordKind::Job => read::<v1::JobV1, v2::JobV2, _>(fields, problems).map(Record::Job),
        RecordKind::Policy => {
            read::<v1::PolicyV1, v2::PolicyV2, _>(fields, problems).map(Record::Policy)
        }
        RecordKind::Service => {
            read::<v1::ServiceV1, v2::ServiceV2, _>(fields, problems).map(Record::Service)
        }
        RecordKind::Objective => {
            read::<v1::ObjectiveV1, v2::ObjectiveV2, _>(fields, problems).map(Record::Objective)
        }
        RecordKind::Membership => {
            read::<v1::MembershipV1, v2_membership::MembershipV2, _>(fields, problems)
                .map(Record::Membership)
        }
    }
}

fn read_v2(
    kind: RecordKind,
    fields: Map<String, Value>,
    problems: &mut Vec<RecordProblem>,
) -> Option<Record> {
    match kind {
        RecordKind::Organisation => {
            read::<v2::OrganisationV2, v1::OrganisationV1, _>(fields, problems)
                .map(Record::Organisation)
        }
        RecordKind::Guarantee => {
            read::<v2::GuaranteeV2, v1::GuaranteeV1, _>(fields, problems).map(Record::Guarantee)
        }
        RecordKind::Job => read::<v2::JobV2, v1::JobV1, _>(fields, problems).map(Record::Job),
        RecordKind::Policy => {
            read::<v2::PolicyV2, v1::PolicyV1, _>(fields, problems).map(Record::Policy)
        }
        RecordKind::Service => {
            read::<v2::ServiceV2, v1::ServiceV1, _>(fields, problems).map(Record::Service)
        }
        RecordKind::Objective => {
            read::<v2::ObjectiveV2, v1::ObjectiveV1, _>(fields, problems).map(Record::Objective)
        }
        RecordKind::Membership => {
            read::<v2_membership::MembershipV2, v1::MembershipV1, _>(fields, problems)
                .map(Record::Membership)
        }
    }
}

/// Deserializes a wire type and converts it to the internal type.
///
/// A key that fails is reported and removed, and deserialization is retried with the rest, so that
/// one pass reports all problems. `OtherWire` is the other schema version of the kind; its keys are
/// reported with a hint at the version.
fn read<Wire, OtherWire, Internal>(
    mut fields: Map<String, Value>,
    problems: &mut Vec<RecordProblem>,
) -> Option<Internal>
where
    Wire: DeserializeOwned,
    OtherWire: DeserializeOwned,
    Internal: TryFrom<Wire, Error = Vec<RecordProblem>>,
{
    let known = known_keys::<Wire>();
    let other = known_keys::<OtherWire>();
    for key in fields.keys().filter(|key| !known.contains(&key.as_str())) {
        let hint = if problems.len() >= MAX_HINT_COUNT {
            "remove it".to_owned()
        } else if other.contains(&key.as_str()) {
            format!(
                "it belongs to another schema version; here known keys are {}",
                known.join(", ")
            )
        } else {
            suggest_key(key, known)
        };
        problems.push(RecordProblem::UnknownKey { field: key.clone(), hint });
    }
    fields.retain(|key, _| known.contains(&key.as_str()));
    // Each iteration removes one key, so the loop terminates.
    let wire: Wire = loop {
        let value = Value::Object(fields.clone());
        let error = match serde_path_to_error::deserialize(value) {
            Ok(wire) => break wire,
            Err(error) => error,
        };
        let path = error.path().to_string();
        let key = path.split(['.', '[']).next().unwrap_or_default().to_owned();
        let detail = error.into_inner().to_string();
        problems.push(match nested_unknown_key(&path, &detail) {
            Some(problem) => problem,
            None => RecordProblem::WrongType { field: path, detail },
        });
        fields.shift_remove(&key)?;
    };
    match Internal::try_from(wire) {
        Ok(record) => Some(record),
        Err(found) => {
            let already_reported = |problem: &RecordProblem| match problem {
                RecordProblem::Missing { field } => problems.iter().any(|earlier| {
                    let earlier = earlier.field().unwrap_or_default();
                    earlier.split(['.', '[']).next() == Some(field)
                }),
                _ => false,
            };
            let found: Vec<_> =
                found.into_iter().filter(|problem| !already_reported(problem)).collect();
            problems.extend(found);
            None
        }
    }
}

/// Converts serde's message about an unknown key of a nested object to a problem with a hint.
fn nested_unknown_key(path: &str, detail: &str) -> Option<RecordProblem> {
    let rest = detail.strip_prefix("unknown field `")?;
    // Every second part is quoted in backticks; the first one is the unknown key.
    let mut quoted = rest.split('`').step_by(2);
    let key = quoted.next()?;
    let known: Vec<&str> = quoted.filter(|part| !part.is_empty()).collect();
    Some(RecordProblem::UnknownKey { field: path.to_owned(), hint: suggest_key(key, &known) })
}

/// Returns a hint with the most similar known key, or with all known keys if none is similar.
fn suggest_key(key: &str, known: &[&str]) -> String {
    let similarity = |candidate: &str| strsim::jaro_winkler(key, candidate);
    let nearest = known.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    match nearest {
        Some(nearest) if similarity(nearest) >= MIN_SIMILARITY_RATIO => {
            format!("did you mean `{nearest}`?")
        }
        _ => format!("known keys are {}", known.join(", ")),
    }
}

fn take_version(fields: &mut Map<String, Value>, problems: &mut Vec<RecordProblem>) -> Option<u64> {
    let field = "schema_version".to_owned();
    let Some(value) = fields.shift_remove("schema_version") else {
        problems.push(RecordProblem::Missing { field });
        return None;
    };
    match value.as_u64() {
        Some(version @ 1..=NEWEST_SCHEMA_VERSION) => return Some(version),
        Some(0) => problems.push(RecordProblem::OutOfRange {
            field,
            found: "0".to_owned(),
            min: "1".to_owned(),
            max: NEWEST_SCHEMA_VERSION.to_string(),
        }),
        Some(found) => {
            let newest = NEWEST_SCHEMA_VERSION;
            problems.push(RecordProblem::NewerSchemaVersion { found, newest });
        }
        None => problems.push(RecordProblem::WrongType {
            field,
            detail: format!("{value} is not a whole number from 1 to {NEWEST_SCHEMA_VERSION}"),
        }),
    }
    None
}

fn take_kind(
    fields: &mut Map<String, Value>,
    problems: &mut Vec<RecordProblem>,
) -> Option<RecordKind> {
    let field = "kind".to_owned();
    let Some(value) = fields.shift_remove("kind") else {
        problems.push(RecordProblem::Missing { field });
        return None;
    };
    let Some(found) = value.as_str() else {
        let detail = format!("{value} is not a text");
        problems.push(RecordProblem::WrongType { field, detail });
        return None;
    };
    let kind = RecordKind::from_name(found);
    if kind.is_none() {
        let allowed = RecordKind::ALL.map(RecordKind::as_str).join(", ");
        let found = found.to_owned();
        problems.push(RecordProblem::UnknownValue { field, found, allowed });
    }
    kind
}

/// The top-level keys of a document; keys that occur more than once are reported as problems.
struct TopLevel {
    fields: Map<String, Value>,
    problems: Vec<RecordProblem>,
}

fn parse(document: &[u8]) -> Result<TopLevel, Vec<RecordProblem>> {
    if document.len() > MAX_DOCUMENT_LENGTH_BYTES {
        return Err(vec![RecordProblem::DocumentTooLong {
            length_bytes: document.len(),
            max_bytes: MAX_DOCUMENT_LENGTH_BYTES,
        }]);
    }
    serde_json::from_slice(document)
        .map_err(|error| vec![RecordProblem::NotAnObject { detail: error.to_string() }])
}

impl<'de> Deserialize<'de> for TopLevel {
    fn deserialize<Source>(source: Source) -> Result<Self, Source::Error>
    where
        Source: Deserializer<'de>,
    {
        struct TopLevelVisitor;

        impl<'de> Visitor<'de> for TopLevelVisitor {
            type Value = TopLevel;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("a JSON object")
            }

            fn visit_map<Access>(self, mut access: Access) -> Result<TopLevel, Access::Error>
            where
                Access: MapAccess<'de>,
            {
                let mut top_level = TopLevel { fields: Map::new(), problems: Vec::new() };
                while let Some((key, value)) = access.next_entry::<String, Value>()? {
                    if top_level.fields.contains_key(&key) {
                        top_level.problems.push(RecordProblem::DuplicateKey { field: key.clone() });
                    }
                    top_level.fields.insert(key, value);
                }
                Ok(top_level)
            }
        }

        source.deserialize_map(TopLevelVisitor)
    }
}

/// Returns the keys that a wire type deserializes, so that they are declared only once.
fn known_keys<Wire>() -> &'static [&'static str]
where
    Wire: DeserializeOwned,
{
    let mut keys: &'static [&'static str] = &[];
    // `KeyRecorder` always fails after recording the keys.
    let _ = Wire::deserialize(KeyRecorder { keys: &mut keys });
    keys
}

/// A deserializer that records the field names of a struct and yields no value.
struct KeyRecorder<'a> {
    keys: &'a mut &'static [&'static str],
}

impl<'de> Deserializer<'de> for KeyRecorder<'_> {
    type Error = de::value::Error;

    fn deserialize_any<V>(self, _visitor: V) -> Result<V::Value, Self::Error>
    where
        V: Visitor<'de>,
    {
        Err(de::Error::custom("the key recorder yields no value"))
    }

    fn deserialize_struct<V>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Self::Error>
    where
        V: Visitor<'de>,
    {
        *self.keys = fields;
        self.deserialize_any(visitor)
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf option
        unit unit_struct newtype_struct seq tuple tuple_struct map enum identifier ignored_any
    }
}

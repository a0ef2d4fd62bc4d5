//! Encoding of log lines as JSON.

use std::sync::Arc;

use chrono::{DateTime, SecondsFormat, Utc};
use log::kv::{self, Key, Value as LogValue, VisitSource};
use log::{Level, Record};
use serde_json::{Map, Value};
use yuccatack_core::NodeName;

use super::Summary;

/// Event name of lines without an event name, such as those of libraries.
pub const UNNAMED_EVENT: &str = "library_message";

/// Event name of summaries of repeated lines.
const SUMMARY_EVENT: &str = "repeated_lines";

/// Fields that all lines of a process have in common.
#[derive(Clone, Debug)]
pub struct LineContext {
    node: NodeName,
}

impl LineContext {
    /// Creates the context for the log lines of `node`.
    pub fn new(node: NodeName) -> Self {
        Self { node }
    }

    /// Encodes a log record as one line without a line feed.
    pub fn encode(&self, record: &Record<'_>, time: DateTime<Utc>) -> String {
        let event = event_name(record);
        let mut line = self.start(time, record.level(), &event);
        if &*event == UNNAMED_EVENT {
            line.insert("target".to_owned(), record.target().into());
        }
        line.insert("message".to_owned(), record.args().to_string().into());
        // The visit fails only if a value cannot be read; the other key-value pairs are kept.
        let _ = record.key_values().visit(&mut KeyValues { line: &mut line });
        Value::Object(line).to_string()
    }

    /// Encodes the line that stands for lines that were suppressed, or dropped from a full queue.
    pub fn encode_summary(&self, summary: &Summary, time: DateTime<Utc>) -> String {
        let mut line = self.start(time, summary.level, SUMMARY_EVENT);
        let message = "lines of one event were suppressed";
        line.insert("message".to_owned(), message.into());
        line.insert("repeated_event".to_owned(), (&*summary.event).into());
        line.insert("suppressed_count".to_owned(), summary.suppressed_count.into());
        line.insert("window_ms".to_owned(), summary.window.get().into());
        Value::Object(line).to_string()
    }

    fn start(&self, time: DateTime<Utc>, level: Level, event: &str) -> Map<String, Value> {
        let mut line = Map::new();
        let time = time.to_rfc3339_opts(SecondsFormat::Millis, true);
        line.insert("time".to_owned(), time.into());
        line.insert("level".to_owned(), level.as_str().to_lowercase().into());
        line.insert("node".to_owned(), self.node.as_str().into());
        line.insert("event".to_owned(), event.into());
        line
    }
}

/// Returns the stable event name of `record`, or [`UNNAMED_EVENT`] if it has none.
pub fn event_name(record: &Record<'_>) -> Arc<str> {
    let value = record.key_values().get(Key::from_str("event"));
    match value {
        Some(value) => Arc::from(value.to_string()),
        None => Arc::from(UNNAMED_EVENT),
    }
}

struct KeyValues<'line> {
    line: &'line mut Map<String, Value>,
}

impl<'kvs> VisitSource<'kvs> for KeyValues<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: LogValue<'kvs>) -> Result<(), kv::Error> {
        // Keys that every line has cannot be overwritten.
        if !self.line.contains_key(key.as_str()) {
            self.line.insert(key.as_str().to_owned(), json_value(&value));
        }
        Ok(())
    }
}

fn json_value(value: &LogValue<'_>) -> Value {
    if let Some(flag) = value.to_bool() {
        return flag.into();
    }
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    if let Some(text) = value.to_borrowed_str() {
        return text.into();
    }
    match value.to_f64() {
        Some(number) => number.into(),
        None => value.to_string().into(),
    }
}

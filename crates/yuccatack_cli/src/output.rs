//! Formats results as text: tables and lists of keys and values.

use serde_json::{Map, Value};

/// Formats rows as a table below upper-case headings, each column as wide as its widest cell.
pub(crate) fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headings.iter().map(|heading| heading.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let headings: Vec<String> = headings.iter().map(|heading| heading.to_uppercase()).collect();
    let mut text = line(&headings, &widths);
    for row in rows {
        text.push_str(&line(row, &widths));
    }
    text
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    let line: Vec<String> = padded.collect();
    format!("{}\n", line.join("  ").trim_end())
}

/// Formats a JSON document: scalar values as `key  value` lines, lists of objects as tables.
pub(crate) fn document(document: &Value) -> String {
    let Value::Object(entries) = document else {
        return format!("{}\n", cell(document));
    };
    let mut scalars = Vec::new();
    collect_scalars("", entries, &mut scalars);
    let width = scalars.iter().map(|(key, _)| key.chars().count()).max().unwrap_or(0);
    let mut text = String::new();
    for (key, value) in &scalars {
        text.push_str(&format!("{key:<width$}  {value}\n"));
    }
    append_tables("", entries, &mut text);
    text
}

fn collect_scalars(
    prefix: &str,
    entries: &Map<String, Value>,
    scalars: &mut Vec<(String, String)>,
) {
    for (key, value) in entries {
        let path = format!("{prefix}{key}");
        match value {
            Value::Object(inner) => collect_scalars(&format!("{path}."), inner, scalars),
            _ if is_table(value) => {}
            _ => scalars.push((path, cell(value))),
        }
    }
}

fn append_tables(prefix: &str, entries: &Map<String, Value>, text: &mut String) {
    for (key, value) in entries {
        let path = format!("{prefix}{key}");
        match value {
            Value::Object(inner) => append_tables(&format!("{path}."), inner, text),
            Value::Array(elements) if is_table(value) => {
                if !text.is_empty() {
                    text.push('\n');
                }
                text.push_str(&format!("{path}\n{}", object_table(elements)));
            }
            _ => {}
        }
    }
}

fn is_table(value: &Value) -> bool {
    match value {
        Value::Array(elements) => !elements.is_empty() && elements.iter().all(Value::is_object),
        _ => false,
    }
}

fn object_table(elements: &[Value]) -> String {
    let objects: Vec<&Map<String, Value>> = elements.iter().filter_map(Value::as_object).collect();
    let mut headings: Vec<&str> = Vec::new();
    for object in &objects {
        for key in object.keys() {
            if !headings.contains(&key.as_str()) {
                headings.push(key);
            }
        }
    }
    let row = |object: &&Map<String, Value>| {
        headings.iter().map(|key| object.get(*key).map_or_else(String::new, cell)).collect()
    };
    let rows: Vec<Vec<String>> = objects.iter().map(row).collect();
    table(&headings, &rows)
}

/// Formats a value as the text of one table cell; `-` stands for null and the empty list.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(elements) if elements.is_empty() => "-".to_owned(),
        Value::Array(elements) if elements.iter().all(|element| !element.is_object()) => {
            let cells: Vec<String> = elements.iter().map(cell).collect();
            cells.join(", ")
        }
        other => other.to_string(),
    }
}

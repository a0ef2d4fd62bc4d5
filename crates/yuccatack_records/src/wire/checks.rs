//! Checks that collect all problems of a document instead of stopping at the first one.

use std::fmt::{Debug, Display};

use yuccatack_core::prelude::*;

use crate::problem::RecordProblem;

/// Maximum number of tasks in a gang; the design size has no wider ones.
pub const MAX_TASK_COUNT: u32 = 64;
/// Maximum number of accelerators of a task; no known worker has more.
pub const MAX_ACCELERATORS_PER_TASK: u32 = 64;
/// Maximum CPU share of a task, in thousandths of a core; no known worker has 4,096 cores.
pub const MAX_CORES_MILLI: u64 = 4_096_000;
/// Maximum memory of a task, 64 TiB; no known worker has as much.
pub const MAX_MEMORY_BYTES: u64 = 64 << 40;
/// Maximum declared run time, one leap year. A longer one is most likely in the wrong unit.
pub const MAX_RUN_TIME_S: u64 = 366 * 24 * 3600;
/// Maximum value of other counts; the sum of a few thousand of them does not overflow 64 bits.
pub const MAX_COUNT: u32 = 1_000_000_000;

/// CPU share per accelerator of a task whose document does not set cores, in thousandths of a core.
pub const DEFAULT_CORES_MILLI_PER_ACCELERATOR: u64 = 1_000;
/// Memory per accelerator of a task whose document does not set memory.
pub const DEFAULT_MEMORY_BYTES_PER_ACCELERATOR: u64 = 1 << 30;

/// Collects the problems of one document.
#[derive(Debug, Default)]
pub struct Checker {
    problems: Vec<RecordProblem>,
}

impl Checker {
    /// Adds a problem to the report.
    pub fn report(&mut self, problem: RecordProblem) {
        self.problems.push(problem);
    }

    /// Adds a problem that only a free text describes.
    pub fn report_inconsistent(&mut self, field: &str, detail: impl Into<String>) {
        self.report(RecordProblem::Inconsistent { field: field.to_owned(), detail: detail.into() });
    }

    /// Returns a required value, and reports the key as missing if it is absent.
    pub fn required<Value>(&mut self, field: &str, value: Option<Value>) -> Option<Value> {
        if value.is_none() {
            self.report(RecordProblem::Missing { field: field.to_owned() });
        }
        value
    }

    /// Returns a number that lies within `min..=max`, and reports one that does not.
    pub fn range<Number>(
        &mut self,
        field: &str,
        found: Option<Number>,
        min: Number,
        max: Number,
    ) -> Option<Number>
    where
        Number: Copy + Debug + PartialOrd,
    {
        let found = found?;
        if found >= min && found <= max {
            return Some(found);
        }
        self.report(RecordProblem::OutOfRange {
            field: field.to_owned(),
            // `Debug` writes large floating-point numbers with an exponent, `Display` with all
            // digits.
            found: format!("{found:?}"),
            min: format!("{min:?}"),
            max: format!("{max:?}"),
        });
        None
    }

    /// Returns a required number within `min..=max`, and reports an absent or invalid one.
    pub fn required_range<Number>(
        &mut self,
        field: &str,
        found: Option<Number>,
        min: Number,
        max: Number,
    ) -> Option<Number>
    where
        Number: Copy + Debug + PartialOrd,
    {
        let found = self.required(field, found);
        self.range(field, found, min, max)
    }

    /// Parses an optional name of any type, and reports one with invalid syntax.
    pub fn name<Name>(&mut self, field: &str, text: Option<String>) -> Option<Name>
    where
        Name: TryFrom<String>,
        Name::Error: Display,
    {
        match Name::try_from(text?) {
            Ok(name) => Some(name),
            Err(error) => {
                let detail = error.to_string();
                self.report(RecordProblem::InvalidName { field: field.to_owned(), detail });
                None
            }
        }
    }

    /// Parses a required name of any type, and reports an absent or invalid one.
    pub fn required_name<Name>(&mut self, field: &str, text: Option<String>) -> Option<Name>
    where
        Name: TryFrom<String>,
        Name::Error: Display,
    {
        let text = self.required(field, text);
        self.name(field, text)
    }

    /// Returns the value of an identifier from a closed set, and reports an unknown one.
    pub fn one_of<Value>(
        &mut self,
        field: &str,
        found: &str,
        known: &[(&str, Value)],
    ) -> Option<Value>
    where
        Value: Copy,
    {
        if let Some((_, value)) = known.iter().find(|(text, _)| *text == found) {
            return Some(*value);
        }
        let allowed: Vec<&str> = known.iter().map(|(text, _)| *text).collect();
        self.report(RecordProblem::UnknownValue {
            field: field.to_owned(),
            found: found.to_owned(),
            allowed: allowed.join(", "),
        });
        None
    }

    /// Returns the priority class with this identifier, and reports an unknown one.
    pub fn priority_class(&mut self, field: &str, found: &str) -> Option<PriorityClass> {
        let known = [
            ("urgent", PriorityClass::Urgent),
            ("standard", PriorityClass::Standard),
            ("batch", PriorityClass::Batch),
        ];
        self.one_of(field, found, &known)
    }

    /// Returns the value if no problem was reported, otherwise all problems.
    pub fn finish<Value>(self, value: Option<Value>) -> Result<Value, Vec<RecordProblem>> {
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(self.problems),
        }
    }
}

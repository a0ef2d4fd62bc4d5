//! Checks that collect every problem of a document instead of stopping at the first.

use std::fmt::{Debug, Display};

use yuccatack_core::prelude::*;

use crate::problem::RecordProblem;

/// The widest gang, from the design size.
pub const MAX_TASK_COUNT: u32 = 64;
/// No known worker has more accelerators than this.
pub const MAX_ACCELERATORS_PER_TASK: u32 = 64;
/// More cores than any known worker has.
pub const MAX_CORES_MILLI: u64 = 4_096_000;
/// More memory than any known worker has.
pub const MAX_MEMORY_BYTES: u64 = 64 << 40;
/// The longest declared run time: a year. A longer one is a mistake of units.
pub const MAX_RUN_TIME_S: u64 = 366 * 24 * 3600;
/// The largest count of anything else; sums of a few thousand of them stay within 64 bits.
pub const MAX_COUNT: u32 = 1_000_000_000;

/// What a task gets for each accelerator when the document states no cores.
pub const DEFAULT_CORES_MILLI_PER_ACCELERATOR: u64 = 1_000;
/// What a task gets for each accelerator when the document states no memory.
pub const DEFAULT_MEMORY_BYTES_PER_ACCELERATOR: u64 = 1 << 30;

/// The problems found so far in one document.
#[derive(Debug, Default)]
pub struct Checker {
    problems: Vec<RecordProblem>,
}

impl Checker {
    /// Adds a problem.
    pub fn report(&mut self, problem: RecordProblem) {
        self.problems.push(problem);
    }

    /// Adds a problem in free words.
    pub fn inconsistent(&mut self, field: &str, detail: impl Into<String>) {
        self.report(RecordProblem::Inconsistent { field: field.to_owned(), detail: detail.into() });
    }

    /// Unwraps a required value.
    pub fn required<Value>(&mut self, field: &str, value: Option<Value>) -> Option<Value> {
        if value.is_none() {
            self.report(RecordProblem::Missing { field: field.to_owned() });
        }
        value
    }

    /// Checks that a number lies within a range.
    pub fn range<Number>(
        &mut self,
        field: &str,
        found: Option<Number>,
        least: Number,
        most: Number,
    ) -> Option<Number>
    where
        Number: Copy + Debug + PartialOrd,
    {
        let found = found?;
        if found >= least && found <= most {
            return Some(found);
        }
        self.report(RecordProblem::OutOfRange {
            field: field.to_owned(),
            // `Debug` writes large floating point numbers with an exponent.
            found: format!("{found:?}"),
            least: format!("{least:?}"),
            most: format!("{most:?}"),
        });
        None
    }

    /// Checks a required number.
    pub fn required_range<Number>(
        &mut self,
        field: &str,
        found: Option<Number>,
        least: Number,
        most: Number,
    ) -> Option<Number>
    where
        Number: Copy + Debug + PartialOrd,
    {
        let found = self.required(field, found);
        self.range(field, found, least, most)
    }

    /// Checks a name of any type.
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

    /// Checks a required name.
    pub fn required_name<Name>(&mut self, field: &str, text: Option<String>) -> Option<Name>
    where
        Name: TryFrom<String>,
        Name::Error: Display,
    {
        let text = self.required(field, text);
        self.name(field, text)
    }

    /// Looks a word up in a closed set.
    pub fn word<Value: Copy>(
        &mut self,
        field: &str,
        word: &str,
        known: &[(&str, Value)],
    ) -> Option<Value> {
        if let Some((_, value)) = known.iter().find(|(text, _)| *text == word) {
            return Some(*value);
        }
        let allowed: Vec<&str> = known.iter().map(|(text, _)| *text).collect();
        self.report(RecordProblem::UnknownWord {
            field: field.to_owned(),
            found: word.to_owned(),
            allowed: allowed.join(", "),
        });
        None
    }

    /// The class that a word stands for.
    pub fn class(&mut self, field: &str, word: &str) -> Option<PriorityClass> {
        let known = [
            ("urgent", PriorityClass::Urgent),
            ("standard", PriorityClass::Standard),
            ("batch", PriorityClass::Batch),
        ];
        self.word(field, word, &known)
    }

    /// The value if no problem was found, otherwise all problems.
    pub fn finish<Value>(self, value: Option<Value>) -> Result<Value, Vec<RecordProblem>> {
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(self.problems),
        }
    }
}

//! Set of occurrences of a job, stored as ranges.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Set of occurrences. Its size depends on the number of gaps, not of occurrences.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OccurrenceSet {
    /// Ends of the ranges, exclusive, by their starts. Ranges neither overlap nor touch.
    ranges: BTreeMap<u32, u32>,
}

impl OccurrenceSet {
    /// Returns `true` if the set contains no occurrence.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns `true` if the set contains the occurrence.
    pub fn contains(&self, occurrence: u32) -> bool {
        self.range_at(occurrence).is_some()
    }

    /// Returns the number of occurrences in the set.
    pub fn count(&self) -> u32 {
        self.ranges.iter().map(|(start, end)| end - start).sum()
    }

    /// Returns the number of ranges that the set consists of.
    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// Adds an occurrence.
    pub fn insert(&mut self, occurrence: u32) {
        if self.contains(occurrence) {
            return;
        }
        let next = occurrence.saturating_add(1);
        let end = self.ranges.remove(&next).unwrap_or(next);
        let before = self.ranges.range_mut(..occurrence).next_back();
        match before.filter(|(_, before_end)| **before_end == occurrence) {
            Some((_, before_end)) => *before_end = end,
            None => {
                self.ranges.insert(occurrence, end);
            }
        }
    }

    /// Returns the first occurrence at or after `from` that the set does not contain.
    pub fn next_absent(&self, from: u32) -> u32 {
        self.range_at(from).unwrap_or(from)
    }

    /// Iterates over the gaps between the ranges, as starts and exclusive ends.
    pub(crate) fn gaps(&self) -> impl Iterator<Item = (u32, u32)> {
        let starts = std::iter::once(0).chain(self.ranges.values().copied());
        let ends = self.ranges.keys().copied().chain(std::iter::once(u32::MAX));
        starts.zip(ends).filter(|(start, end)| start < end)
    }

    /// Returns the end of the range that contains the occurrence.
    fn range_at(&self, occurrence: u32) -> Option<u32> {
        let (_, end) = self.ranges.range(..=occurrence).next_back()?;
        (occurrence < *end).then_some(*end)
    }
}

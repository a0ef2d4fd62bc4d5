//! The cap on repeated lines.

use std::collections::BTreeMap;
use std::sync::Arc;

use log::Level;
use yuccatack_core::{DurationMs, TimestampMs};

/// How many kinds of line are counted at once; event names are fixed texts, of which there are
/// fewer. Lines of further kinds are written without a cap.
const MAXIMUM_KIND_COUNT: usize = 1024;

/// Caps the lines of the same event and level in each window of time.
///
/// A fault that hits every request would otherwise fill the disk with equal lines.
#[derive(Debug)]
pub struct RepeatLimiter {
    line_limit_count: u64,
    window: DurationMs,
    windows: BTreeMap<(Arc<str>, Level), Window>,
}

#[derive(Debug)]
struct Window {
    started_at: TimestampMs,
    line_count: u64,
}

/// What to do with one line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Write it.
    Write,
    /// Leave it out; a summary follows when its window ends.
    Suppress,
}

/// How many lines of one kind were left out in one window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// The event of the lines.
    pub event: Arc<str>,
    /// The level of the lines.
    pub level: Level,
    /// How many were left out.
    pub suppressed_count: u64,
    /// The length of the window.
    pub window: DurationMs,
}

impl RepeatLimiter {
    /// Lets through `line_limit_count` lines of each kind in each `window`.
    pub fn new(line_limit_count: u64, window: DurationMs) -> Self {
        Self { line_limit_count, window, windows: BTreeMap::new() }
    }

    /// Counts one line. Call [`Self::expire`] first, so that no ended window counts it.
    pub fn check(&mut self, event: &Arc<str>, level: Level, now: TimestampMs) -> Decision {
        let key = (Arc::clone(event), level);
        if self.windows.len() >= MAXIMUM_KIND_COUNT && !self.windows.contains_key(&key) {
            return Decision::Write;
        }
        let window = self.windows.entry(key).or_insert(Window { started_at: now, line_count: 0 });
        window.line_count += 1;
        if window.line_count > self.line_limit_count { Decision::Suppress } else { Decision::Write }
    }

    /// Ends the windows that are over and summarises those that left lines out.
    pub fn expire(&mut self, now: TimestampMs) -> Vec<Summary> {
        let length = self.window;
        self.end_windows(|window| now.since(window.started_at) >= length)
    }

    /// Ends every window, for the end of the process.
    pub fn finish(&mut self) -> Vec<Summary> {
        self.end_windows(|_| true)
    }

    fn end_windows<Ended>(&mut self, ended: Ended) -> Vec<Summary>
    where
        Ended: Fn(&Window) -> bool,
    {
        let (limit, window) = (self.line_limit_count, self.window);
        let mut summaries = Vec::new();
        self.windows.retain(|(event, level), counted| {
            if !ended(counted) {
                return true;
            }
            let suppressed_count = counted.line_count.saturating_sub(limit);
            if suppressed_count > 0 {
                let (event, level) = (Arc::clone(event), *level);
                summaries.push(Summary { event, level, suppressed_count, window });
            }
            false
        });
        summaries
    }

    /// When the first window with lines left out ends; `None` if no summary is due.
    pub fn next_summary_at(&self) -> Option<TimestampMs> {
        let over = |window: &&Window| window.line_count > self.line_limit_count;
        let ends = self.windows.values().filter(over).map(|window| window.started_at + self.window);
        ends.min()
    }
}

//! Rate limit of repeated log lines.

use std::collections::BTreeMap;
use std::sync::Arc;

use log::Level;
use yuccatack_core::{DurationMs, TimestampMs};

/// Maximum number of pairs of event and level that are counted at once. Event names are fixed
/// texts, of which there are fewer; lines of further pairs are written without a limit.
const MAXIMUM_WINDOW_COUNT: usize = 1024;

/// Limits the lines with the same event and level in each window of time.
///
/// An error that affects every request would otherwise fill the disk with equal lines.
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

/// Decision of the limiter on one line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Write the line.
    Write,
    /// Suppress the line; a summary follows when its window ends.
    Suppress,
}

/// Summary of the suppressed lines with one event and level in one window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// Event name of the suppressed lines.
    pub event: Arc<str>,
    /// Level of the suppressed lines.
    pub level: Level,
    /// Number of suppressed lines.
    pub suppressed_count: u64,
    /// Length of the window; zero for lines that were dropped because the queue was full.
    pub window: DurationMs,
}

impl RepeatLimiter {
    /// Creates a limiter that permits `line_limit_count` lines of each event and level in each
    /// `window`.
    pub fn new(line_limit_count: u64, window: DurationMs) -> Self {
        Self { line_limit_count, window, windows: BTreeMap::new() }
    }

    /// Counts one line and decides whether it is written. Call [`Self::expire`] first, so that
    /// the line is not counted in a window that has ended.
    pub fn check(&mut self, event: &Arc<str>, level: Level, now: TimestampMs) -> Decision {
        let key = (Arc::clone(event), level);
        if self.windows.len() >= MAXIMUM_WINDOW_COUNT && !self.windows.contains_key(&key) {
            return Decision::Write;
        }
        let window = self.windows.entry(key).or_insert(Window { started_at: now, line_count: 0 });
        window.line_count += 1;
        if window.line_count > self.line_limit_count { Decision::Suppress } else { Decision::Write }
    }

    /// Ends the windows that are over and returns summaries of their suppressed lines.
    pub fn expire(&mut self, now: TimestampMs) -> Vec<Summary> {
        let length = self.window;
        self.end_windows(|window| now.since(window.started_at) >= length)
    }

    /// Ends every window, for a flush or the end of the process, and returns the summaries.
    pub fn finish(&mut self) -> Vec<Summary> {
        self.end_windows(|_| true)
    }

    fn end_windows<Ended>(&mut self, ended: Ended) -> Vec<Summary>
    where
        Ended: Fn(&Window) -> bool,
    {
        let (limit, window) = (self.line_limit_count, self.window);
        let mut summaries = Vec::new();
        self.windows.retain(|(event, level), state| {
            if !ended(state) {
                return true;
            }
            let suppressed_count = state.line_count.saturating_sub(limit);
            if suppressed_count > 0 {
                let (event, level) = (Arc::clone(event), *level);
                summaries.push(Summary { event, level, suppressed_count, window });
            }
            false
        });
        summaries
    }

    /// Returns the end of the first window with suppressed lines; `None` if no summary is due.
    pub fn next_summary_at(&self) -> Option<TimestampMs> {
        let over_limit = |window: &&Window| window.line_count > self.line_limit_count;
        let ends =
            self.windows.values().filter(over_limit).map(|window| window.started_at + self.window);
        ends.min()
    }
}

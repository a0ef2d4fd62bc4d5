//! Counts of one objective over the last six hours.

use yuccatack_core::{DurationMs, TimestampMs};

use super::Counts;
use super::counts::SlotRing;

/// Length of a slot in the ring for the short windows: a twentieth of the shortest window.
const FINE_SLOT_DURATION: DurationMs = DurationMs::from_seconds(15);

/// Length of a slot in the ring for the longest window and the plots.
pub const PLOT_SLOT_DURATION: DurationMs = DurationMs::from_seconds(300);

/// Number of fine slots: one hour. Both rings together take 2.5 KB, so that 2,000 series (190
/// organisations with ten objectives each) take 5 MB.
const FINE_SLOT_COUNT: usize = 240;

/// Number of plot slots: six hours.
const PLOT_SLOT_COUNT: usize = 72;

/// Window of the burn report.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Window {
    /// Five minutes; the short window of pages.
    FiveMinutes,
    /// Thirty minutes; the short window of tickets.
    ThirtyMinutes,
    /// One hour; the long window of pages.
    OneHour,
    /// Six hours; the long window of tickets.
    SixHours,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Self; 4] =
        [Self::FiveMinutes, Self::ThirtyMinutes, Self::OneHour, Self::SixHours];

    /// Returns the length of the window.
    pub const fn length(self) -> DurationMs {
        DurationMs::from_seconds(match self {
            Self::FiveMinutes => 300,
            Self::ThirtyMinutes => 1_800,
            Self::OneHour => 3_600,
            Self::SixHours => 21_600,
        })
    }
}

/// Counts of one objective over the last six hours, in bounded memory.
#[derive(Clone, Debug)]
pub struct CountSeries {
    fine: SlotRing,
    plot: SlotRing,
}

impl CountSeries {
    /// Creates a series without events.
    pub fn new(now: TimestampMs) -> Self {
        Self {
            fine: SlotRing::new(FINE_SLOT_DURATION, FINE_SLOT_COUNT, now),
            plot: SlotRing::new(PLOT_SLOT_DURATION, PLOT_SLOT_COUNT, now),
        }
    }

    /// Adds events that were counted since the last call.
    pub fn add(&mut self, counts: Counts, now: TimestampMs) {
        self.fine.add(counts, now);
        self.plot.add(counts, now);
    }

    /// Returns the events of a window that ends at `now`. The window begins at the start of a slot,
    /// so that it is up to one slot shorter than its length.
    pub fn sum(&mut self, window: Window, now: TimestampMs) -> Counts {
        self.fine.advance(now);
        self.plot.advance(now);
        match window {
            Window::FiveMinutes | Window::ThirtyMinutes | Window::OneHour => {
                self.fine.sum(window.length())
            }
            Window::SixHours => self.plot.sum(window.length()),
        }
    }

    /// Returns the events of the last six hours in slots of [`PLOT_SLOT_DURATION`], oldest first.
    pub fn plot(&self) -> Vec<Counts> {
        let latest: Vec<Counts> = self.plot.latest(PLOT_SLOT_COUNT as u64).collect();
        // Fewer slots exist if the clock started less than six hours ago.
        let mut plot = vec![Counts::default(); PLOT_SLOT_COUNT - latest.len()];
        plot.extend(latest);
        plot
    }
}

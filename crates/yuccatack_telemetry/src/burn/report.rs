//! Contents of the burn report and calculation of its alerts.

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use super::{Counts, Window};

/// Burn rate above which, over both windows, an operator is paged: 2% of the budget of 30 days in
/// one hour.
const PAGE_BURN_RATE: f64 = 14.4;

/// Burn rate above which, over both windows, a ticket is opened: 5% of the budget of 30 days in six
/// hours.
const TICKET_BURN_RATE: f64 = 6.0;

/// Action that the report requests from operators, in order of urgency.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// No action.
    #[default]
    None,
    /// Investigate within days.
    Ticket,
    /// Investigate immediately.
    Page,
}

/// Counts and burn rate of one objective over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowReport {
    /// Length of the window.
    pub window_s: u64,
    /// Events within the window.
    #[serde(flatten)]
    pub counts: Counts,
    /// Ratio of the share of bad events to the share that the target permits.
    pub burn_rate: f64,
}

/// Report on one objective for one organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeriesReport {
    /// Name of the objective.
    pub objective: RecordName,
    /// Organisation; `None` for the objective of a guarantee, which has one holder.
    pub organisation: Option<OrganisationName>,
    /// Human-readable description of the indicator.
    pub indicator: String,
    /// Share of good events that the objective requires.
    pub target_ratio: f64,
    /// Longest time that a good event may take.
    pub threshold_ms: u64,
    /// Alert that follows from the burn rates.
    pub alert: Alert,
    /// Windows of [`Window::ALL`], shortest first.
    pub windows: Vec<WindowReport>,
    /// Events of the last six hours in slots of five minutes, oldest first.
    pub plot: Vec<Counts>,
}

/// Report on all objectives of one process, or of several processes merged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time for which the process has counted; longer windows are incomplete.
    pub observed_s: u64,
    /// Objectives, sorted by name and organisation.
    pub series: Vec<SeriesReport>,
}

impl SeriesReport {
    /// Calculates burn rates and the alert from the counts of every window.
    pub(super) fn with_counts(mut self, counts: [Counts; Window::ALL.len()]) -> Self {
        let target_ratio = self.target_ratio;
        let report = |(window, counts): (Window, Counts)| WindowReport {
            window_s: window.length().get() / 1000,
            counts,
            burn_rate: counts.burn_rate(target_ratio),
        };
        self.windows = Window::ALL.into_iter().zip(counts).map(report).collect();
        self.alert = self.calculate_alert();
        self
    }

    /// Returns the burn rate of a window; 0 if the report lacks the window.
    pub fn burn_rate(&self, window: Window) -> f64 {
        let window_s = window.length().get() / 1000;
        let report = self.windows.iter().find(|report| report.window_s == window_s);
        report.map_or(0.0, |report| report.burn_rate)
    }

    fn calculate_alert(&self) -> Alert {
        let above = |rate: f64, windows: [Window; 2]| {
            windows.into_iter().all(|window| self.burn_rate(window) > rate)
        };
        if above(PAGE_BURN_RATE, [Window::FiveMinutes, Window::OneHour]) {
            return Alert::Page;
        }
        if above(TICKET_BURN_RATE, [Window::ThirtyMinutes, Window::SixHours]) {
            Alert::Ticket
        } else {
            Alert::None
        }
    }

    fn counts(&self) -> [Counts; Window::ALL.len()] {
        Window::ALL.map(|window| {
            let window_s = window.length().get() / 1000;
            let report = self.windows.iter().find(|report| report.window_s == window_s);
            report.map_or_else(Counts::default, |report| report.counts)
        })
    }

    /// Returns `true` if both series have the same objective and organisation.
    fn same_objective(&self, other: &Self) -> bool {
        self.objective == other.objective && self.organisation == other.organisation
    }

    fn add_counts(self, other: &Self) -> Self {
        let mut counts = self.counts();
        for (sum, more) in counts.iter_mut().zip(other.counts()) {
            *sum += more;
        }
        let mut merged = self;
        let offset = merged.plot.len().saturating_sub(other.plot.len());
        for (sum, more) in merged.plot.iter_mut().skip(offset).zip(&other.plot) {
            *sum += *more;
        }
        merged.with_counts(counts)
    }
}

impl BurnReport {
    /// Adds the counts of another process and recalculates burn rates and alerts.
    ///
    /// The slots of the two processes are aligned at the newest slot, so that plots may be shifted
    /// by one slot.
    pub fn merge(mut self, other: Self) -> Self {
        for theirs in other.series {
            let position = self.series.iter().position(|ours| ours.same_objective(&theirs));
            match position {
                Some(index) => {
                    let ours = self.series.swap_remove(index);
                    self.series.push(ours.add_counts(&theirs));
                }
                None => self.series.push(theirs),
            }
        }
        self.series
            .sort_by(|a, b| (&a.objective, &a.organisation).cmp(&(&b.objective, &b.organisation)));
        self.observed_s = self.observed_s.min(other.observed_s);
        self
    }

    /// Returns the most urgent alert of all series.
    pub fn alert(&self) -> Alert {
        self.series.iter().map(|series| series.alert).max().unwrap_or_default()
    }
}

//! What the burn report says.

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use super::{Counts, Window};

/// Above this rate over both windows somebody is called: 2% of the budget of 30 days in one hour.
const PAGE_BURN_RATE: f64 = 14.4;

/// Above this rate over both windows a ticket is opened: 5% of the budget of 30 days in six hours.
const TICKET_BURN_RATE: f64 = 6.0;

/// What the report asks operators to do.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Nothing.
    #[default]
    None,
    /// Look at it within days.
    Ticket,
    /// Look at it now.
    Page,
}

/// One window of one objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowReport {
    /// Its length.
    pub window_s: u64,
    /// What was counted.
    #[serde(flatten)]
    pub counts: Counts,
    /// How many times faster than promised the error budget is used.
    pub burn_rate: f64,
}

/// One objective for one organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeriesReport {
    /// The objective.
    pub objective: RecordName,
    /// The organisation; `None` for the objective of a guarantee, which has one holder.
    pub organisation: Option<OrganisationName>,
    /// What is measured, for people.
    pub indicator: String,
    /// The promised share of good events.
    pub target_ratio: f64,
    /// The slowest good event.
    pub threshold_ms: u64,
    /// What to do.
    pub alert: Alert,
    /// The windows, shortest first.
    pub windows: Vec<WindowReport>,
    /// The last six hours in slots of five minutes, oldest first.
    pub plot: Vec<Counts>,
}

/// All objectives of a process, or of several together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// How long the process has counted; windows that reach further back are incomplete.
    pub observed_s: u64,
    /// The objectives, in the order of their names and organisations.
    pub series: Vec<SeriesReport>,
}

impl SeriesReport {
    /// Calculates rates and alert from the counts of every window.
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

    /// The burn rate of a window; 0 if the report lacks it.
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

    /// Whether two processes count under the same objective.
    fn same_objective(&self, other: &Self) -> bool {
        self.objective == other.objective && self.organisation == other.organisation
    }

    fn absorb(self, other: &Self) -> Self {
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
    /// Adds the counts of another process, and calculates rates and alerts anew.
    ///
    /// The slots of two processes are aligned at their newest one, so that plots may be shifted by
    /// one slot.
    pub fn merge(mut self, other: Self) -> Self {
        for theirs in other.series {
            let position = self.series.iter().position(|ours| ours.same_objective(&theirs));
            match position {
                Some(index) => {
                    let ours = self.series.swap_remove(index);
                    self.series.push(ours.absorb(&theirs));
                }
                None => self.series.push(theirs),
            }
        }
        self.series
            .sort_by(|a, b| (&a.objective, &a.organisation).cmp(&(&b.objective, &b.organisation)));
        self.observed_s = self.observed_s.min(other.observed_s);
        self
    }

    /// The most urgent alert.
    pub fn alert(&self) -> Alert {
        self.series.iter().map(|series| series.alert).max().unwrap_or_default()
    }
}

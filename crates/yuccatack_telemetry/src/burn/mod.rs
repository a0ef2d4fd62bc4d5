//! Burn report: the rate at which each objective uses its error budget.
//!
//! An objective sets a target share of good events; the remaining share is its error budget. A burn
//! rate of 1 uses exactly the budget; 14.4 uses the budget of 30 days in 50 hours. An alert needs a
//! high burn rate over a long window, so that a short disturbance does not raise it, and over a
//! short window, so that it ends soon after the disturbance.
//!
//! Counts come from [`ObjectiveMetrics`](crate::metrics::ObjectiveMetrics). Sampling and
//! calculation perform no I/O; [`BurnReporter`] is the task that runs them periodically.

mod counts;
mod html;
mod report;
mod reporter;
mod sampler;
mod series;

pub use counts::Counts;
pub use html::html_page;
pub use report::{Alert, BurnReport, SeriesReport, WindowReport};
pub use reporter::BurnReporter;
pub use sampler::{BurnSampler, ObjectiveReading};
pub use series::{CountSeries, PLOT_SLOT_DURATION, Window};

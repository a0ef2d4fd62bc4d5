//! The burn report: how fast each objective uses up its error budget.
//!
//! An objective promises a share of good events, and the rest is its error budget. A burn rate of 1
//! uses exactly the budget; 14.4 uses the budget of 30 days in 50 hours. Each alert needs a high
//! rate over a long window, so that a short disturbance does not raise it, and over a short one, so
//! that it ends soon after the disturbance.
//!
//! Counts come from [`ObjectiveMetrics`](crate::metrics::ObjectiveMetrics). Sampling and
//! calculation are pure; [`BurnReporter`] is the task around them.

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

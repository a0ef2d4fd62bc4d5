//! Fair queues, limits, load shedding and retry budgets.
//!
//! The crate performs no I/O and reads no clock: callers pass the current time.

mod fair_queue;
mod quota;
mod retry_budget;

pub use fair_queue::{Dequeued, FairQueue, QueueLimits, QueuedRequest};
pub use quota::{OrganisationLimits, QuotaRefusal, QuotaTable};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};

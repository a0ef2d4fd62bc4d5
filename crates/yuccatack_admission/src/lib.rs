//! Fair queues, limits, load shedding and retry budgets.
//!
//! Everything here is pure: the current time is an argument.

mod fair_queue;
mod quota;
mod retry_budget;

pub use fair_queue::{Dequeued, FairQueue, QueueLimits, QueuedRequest};
pub use quota::{OrganisationLimits, QuotaRefusal, QuotaTable};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};

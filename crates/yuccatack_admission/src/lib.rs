//! Fair queues, limits, load shedding and retry budgets.

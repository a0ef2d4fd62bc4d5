//! Limit on retries and hedged requests relative to first attempts.

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries that each first attempt adds to the budget, in thousandths.
    pub per_request_milli: u64,
    /// Maximum number of retries in the budget. The limit keeps a long period with few failures
    /// from paying for a retry storm.
    pub burst_count: u64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { per_request_milli: 100, burst_count: 20 }
    }
}

/// Token bucket that limits retries to a share of the first attempts, so that retries cannot
/// amplify an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    balance_milli: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, balance_milli: settings.burst_count * 1000 }
    }

    /// Adds the share of a first attempt to the budget.
    pub fn deposit(&mut self) {
        let limit = self.settings.burst_count * 1000;
        self.balance_milli = (self.balance_milli + self.settings.per_request_milli).min(limit);
    }

    /// Takes one retry from the budget; returns `false` if the budget is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance_milli < 1000 {
            return false;
        }
        self.balance_milli -= 1000;
        true
    }
}

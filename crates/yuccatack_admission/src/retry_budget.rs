//! A bound on retries and hedges relative to first attempts.

/// Bounds of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// The retries that each first attempt adds, in thousandths.
    pub per_request_milli: u64,
    /// The most retries that can be saved up, so that a quiet hour does not pay for a storm.
    pub burst_count: u64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { per_request_milli: 100, burst_count: 20 }
    }
}

/// Allows retries up to a share of the first attempts, so that retries cannot multiply an
/// overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    balance_milli: u64,
}

impl RetryBudget {
    /// A budget that starts with what can be saved up.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, balance_milli: settings.burst_count * 1000 }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        let limit = self.settings.burst_count * 1000;
        self.balance_milli = (self.balance_milli + self.settings.per_request_milli).min(limit);
    }

    /// Takes one retry out of the budget, or says that there is none.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance_milli < 1000 {
            return false;
        }
        self.balance_milli -= 1000;
        true
    }
}

//! Rate and concurrency limits per organisation, and the retry budget.

#![allow(clippy::unwrap_used, missing_docs)]

use yuccatack_admission::{
    OrganisationLimits, QuotaRefusal, QuotaTable, RetryBudget, RetryBudgetSettings,
};
use yuccatack_core::prelude::*;

const LIMITS: OrganisationLimits = OrganisationLimits { rate_per_s: 10, concurrency_count: 100 };

/// Guards against admitting more than the rate limit over time, and against throttling below it.
#[test]
fn request_rate() {
    let mut table = QuotaTable::new();
    let name = OrganisationName::new("lender").unwrap();
    let mut accepted = 0;
    for now_ms in 0..5_000 {
        if table.acquire(&name, LIMITS, TimestampMs::new(now_ms)).is_ok() {
            accepted += 1;
            table.release(&name);
        }
    }
    // A burst of one second's requests, then ten requests per second for five seconds.
    assert!((59..=60).contains(&accepted), "{accepted}");
}

/// Guards against a retry time that is too early to succeed or later than necessary.
#[test]
fn retry_after() {
    let mut table = QuotaTable::new();
    let name = OrganisationName::new("lender").unwrap();
    for _ in 0..10 {
        table.acquire(&name, LIMITS, TimestampMs::new(0)).unwrap();
    }
    let refusal = table.acquire(&name, LIMITS, TimestampMs::new(0)).unwrap_err();
    assert_eq!(refusal, QuotaRefusal::Rate { retry_after_ms: 100 });
    table.acquire(&name, LIMITS, TimestampMs::new(100)).unwrap();
}

/// Guards against a concurrency limit that applies across organisations or is not released.
#[test]
fn request_concurrency() {
    let limits = OrganisationLimits { rate_per_s: 1_000, concurrency_count: 2 };
    let mut table = QuotaTable::new();
    let name = OrganisationName::new("lender").unwrap();
    let now = TimestampMs::new(0);
    table.acquire(&name, limits, now).unwrap();
    table.acquire(&name, limits, now).unwrap();
    assert_eq!(table.acquire(&name, limits, now), Err(QuotaRefusal::Concurrency));
    let other = OrganisationName::new("other").unwrap();
    table.acquire(&other, limits, now).unwrap();
    table.release(&name);
    table.acquire(&name, limits, now).unwrap();
}

/// Guards against retries that amplify an overload because they exceed their share.
#[test]
fn retry_budget() {
    let settings = RetryBudgetSettings { per_request_milli: 100, burst_count: 5 };
    let mut budget = RetryBudget::new(settings);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += usize::from(budget.try_withdraw());
    }
    assert!((100..=105).contains(&retries), "{retries}");
}

//! Rate and concurrency limits per organisation.

use yuccatack_core::prelude::*;

/// Number of tracked organisations at which those without requests in flight are evicted.
const ORGANISATION_COUNT_LIMIT: usize = 4096;

/// Limits on the requests of one organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrganisationLimits {
    /// Maximum number of requests per second, which is also the maximum burst.
    pub rate_per_s: u32,
    /// Maximum number of requests in flight.
    pub concurrency_count: u32,
}

/// Limit that a refused request exceeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaRefusal {
    /// The rate limit is exceeded.
    Rate {
        /// Time in milliseconds until the next request can be admitted.
        retry_after_ms: u64,
    },
    /// The concurrency limit is reached; a request must complete before the next can start.
    Concurrency,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    tokens_milli: u64,
    refilled_at: TimestampMs,
    in_flight_count: u32,
}

/// Token buckets and in-flight counters of the organisations that send requests to this entry.
#[derive(Clone, Debug, Default)]
pub struct QuotaTable {
    usages: FastHashMap<OrganisationName, Usage>,
}

impl Usage {
    fn refill(&mut self, limits: OrganisationLimits, now: TimestampMs) {
        let elapsed_ms = now.since(self.refilled_at).get();
        let capacity_milli = u64::from(limits.rate_per_s) * 1000;
        // A rate of one token per second equals one thousandth of a token per millisecond.
        let refill_milli = elapsed_ms.saturating_mul(u64::from(limits.rate_per_s));
        self.tokens_milli = self.tokens_milli.saturating_add(refill_milli).min(capacity_milli);
        self.refilled_at = now;
    }
}

impl QuotaTable {
    /// Creates a table without organisations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests of an organisation in flight.
    pub fn in_flight_count(&self, organisation: &OrganisationName) -> u32 {
        self.usages.get(organisation).map_or(0, |usage| usage.in_flight_count)
    }

    /// Returns the organisations with requests in flight and the number of these requests.
    pub fn in_flight(&self) -> impl Iterator<Item = (&OrganisationName, u32)> {
        let counts = self.usages.iter().map(|(name, usage)| (name, usage.in_flight_count));
        counts.filter(|(_, count)| *count > 0)
    }

    /// Admits a request, which counts as in flight until [`release`](Self::release), or returns the
    /// limit that it exceeds.
    pub fn acquire(
        &mut self,
        organisation: &OrganisationName,
        limits: OrganisationLimits,
        now: TimestampMs,
    ) -> Result<(), QuotaRefusal> {
        self.evict_idle();
        let usage = self.usages.entry(organisation.clone()).or_insert(Usage {
            tokens_milli: u64::from(limits.rate_per_s) * 1000,
            refilled_at: now,
            in_flight_count: 0,
        });
        usage.refill(limits, now);
        if usage.in_flight_count >= limits.concurrency_count {
            return Err(QuotaRefusal::Concurrency);
        }
        if usage.tokens_milli < 1000 {
            let missing_milli = 1000 - usage.tokens_milli;
            let retry_after_ms = missing_milli.div_ceil(u64::from(limits.rate_per_s.max(1)));
            return Err(QuotaRefusal::Rate { retry_after_ms });
        }
        usage.tokens_milli -= 1000;
        usage.in_flight_count += 1;
        Ok(())
    }

    /// Marks an admitted request as completed.
    pub fn release(&mut self, organisation: &OrganisationName) {
        if let Some(usage) = self.usages.get_mut(organisation) {
            usage.in_flight_count = usage.in_flight_count.saturating_sub(1);
        }
    }

    /// Evicts idle organisations from a full table. Callers choose organisation names, so the table
    /// must not grow without bound.
    fn evict_idle(&mut self) {
        if self.usages.len() >= ORGANISATION_COUNT_LIMIT {
            self.usages.retain(|_, usage| usage.in_flight_count > 0);
        }
    }
}

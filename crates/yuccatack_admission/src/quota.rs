//! Limits on rate and concurrency per organisation.

use yuccatack_core::prelude::*;

/// The organisations that are tracked; idle ones are dropped beyond it.
const ORGANISATION_COUNT_LIMIT: usize = 4096;

/// Limits of one organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrganisationLimits {
    /// The most requests a second; a second's worth may come at once.
    pub rate_per_s: u32,
    /// The most requests in flight.
    pub concurrency_count: u32,
}

/// Why a request is over a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaRefusal {
    /// Too many requests a second.
    Rate {
        /// When the next one may come.
        retry_after_ms: u64,
    },
    /// Too many requests in flight.
    Concurrency,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    tokens_milli: u64,
    refilled_at: TimestampMs,
    in_flight_count: u32,
}

/// Token buckets and counters of the organisations seen by this entry.
#[derive(Clone, Debug, Default)]
pub struct QuotaTable {
    usages: FastHashMap<OrganisationName, Usage>,
}

impl Usage {
    fn refill(&mut self, limits: OrganisationLimits, now: TimestampMs) {
        let elapsed_ms = now.since(self.refilled_at).get();
        let full = u64::from(limits.rate_per_s) * 1000;
        // One token a second is one thousandth of a token a millisecond.
        let gained = elapsed_ms.saturating_mul(u64::from(limits.rate_per_s));
        self.tokens_milli = self.tokens_milli.saturating_add(gained).min(full);
        self.refilled_at = now;
    }
}

impl QuotaTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The requests of an organisation in flight.
    pub fn in_flight_count(&self, organisation: &OrganisationName) -> u32 {
        self.usages.get(organisation).map_or(0, |usage| usage.in_flight_count)
    }

    /// The organisations with requests in flight, and how many.
    pub fn in_flight(&self) -> impl Iterator<Item = (&OrganisationName, u32)> {
        let counts = self.usages.iter().map(|(name, usage)| (name, usage.in_flight_count));
        counts.filter(|(_, count)| *count > 0)
    }

    /// Counts a request, which is in flight until [`release`](Self::release), or refuses it.
    pub fn acquire(
        &mut self,
        organisation: &OrganisationName,
        limits: OrganisationLimits,
        now: TimestampMs,
    ) -> Result<(), QuotaRefusal> {
        self.bound();
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
            let missing = 1000 - usage.tokens_milli;
            let retry_after_ms = missing.div_ceil(u64::from(limits.rate_per_s.max(1)));
            return Err(QuotaRefusal::Rate { retry_after_ms });
        }
        usage.tokens_milli -= 1000;
        usage.in_flight_count += 1;
        Ok(())
    }

    /// Ends a request that was counted.
    pub fn release(&mut self, organisation: &OrganisationName) {
        if let Some(usage) = self.usages.get_mut(organisation) {
            usage.in_flight_count = usage.in_flight_count.saturating_sub(1);
        }
    }

    /// Callers choose organisation names, so the table must not grow without bound.
    fn bound(&mut self) {
        if self.usages.len() >= ORGANISATION_COUNT_LIMIT {
            self.usages.retain(|_, usage| usage.in_flight_count > 0);
        }
    }
}

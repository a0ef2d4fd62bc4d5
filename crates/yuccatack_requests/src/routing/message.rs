//! What the router is told.

use yuccatack_core::prelude::*;

use crate::dispatch::Target;

/// A minion as the view shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct MinionLoad {
    /// Its agent.
    pub target: Target,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Whether it takes new work.
    pub ready: bool,
    /// The requests that it runs at once.
    pub slot_count: u32,
    /// The requests that it ran when the agent last reported, from all entries; a hint.
    pub slots_in_use: u32,
    /// A moving average of its answer times; zero when unknown.
    pub latency_us: u64,
}

/// How an attempt ended, seen from the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feedback {
    /// The minion answered.
    Completed {
        /// The time from dispatch to answer.
        latency_us: u64,
    },
    /// Every slot was in use.
    NoSlot,
    /// The agent refused for another reason, so that it takes no work for a while.
    Refused,
    /// The agent or its minion could not be reached, or the attempt was lost.
    Failed,
    /// The attempt was given up, or never sent, and says nothing about the minion.
    Neutral,
}

/// How a minion is picked among those that may be; the others are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoutingPolicy {
    /// The less loaded of two random ones, by load and answer time.
    #[default]
    PowerOfTwoChoices,
    /// A random one.
    Random,
    /// One after the other.
    RoundRobin,
}

/// Times and bounds of the router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoutingSettings {
    /// How a minion is picked.
    pub policy: RoutingPolicy,
    /// The failures in a row after which a minion is ejected.
    pub ejection_failure_count: u32,
    /// How long the first ejection lasts; each further one in a row doubles it.
    pub ejection_base: DurationMs,
    /// The longest ejection.
    pub ejection_limit: DurationMs,
    /// The largest share of a service's minions that may be ejected, in percent. If more fail,
    /// the cause is more likely common to all, and ejecting them would take the service down.
    pub ejection_share_percent: usize,
    /// How long a minion that had no slot is taken for full, unless an attempt ends earlier.
    pub full_for: DurationMs,
    /// How long a minion that refused is passed over.
    pub refused_for: DurationMs,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::PowerOfTwoChoices,
            ejection_failure_count: 3,
            ejection_base: DurationMs::new(500),
            ejection_limit: DurationMs::from_seconds(30),
            ejection_share_percent: 50,
            full_for: DurationMs::new(20),
            refused_for: DurationMs::new(500),
        }
    }
}

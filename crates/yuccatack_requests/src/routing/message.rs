//! Inputs and settings of the router.

use yuccatack_core::prelude::*;

use crate::dispatch::Target;

/// State of a minion as published in the view.
#[derive(Clone, Debug, PartialEq)]
pub struct MinionLoad {
    /// Agent that attempts for the minion are sent to.
    pub target: Target,
    /// Data centre of the minion; the router prefers its own.
    pub data_centre: DataCentreName,
    /// Service that the minion belongs to.
    pub service: ServiceName,
    /// `true` if the minion accepts new attempts.
    pub ready: bool,
    /// Number of requests that the minion runs concurrently.
    pub slot_count: u32,
    /// Number of slots in use by all entries at the agent's last report; may be outdated.
    pub slots_in_use: u32,
    /// Moving average of the response time in microseconds; zero when unknown.
    pub latency_us: u64,
}

/// Result of an attempt, as observed by the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feedback {
    /// The minion answered.
    Completed {
        /// Time from dispatch to the complete answer, in microseconds.
        latency_us: u64,
    },
    /// The agent refused because every slot was in use.
    NoSlot,
    /// The agent refused for another reason; the router skips its minion for
    /// [`RoutingSettings::refusal_pause`].
    Refused,
    /// The agent or its minion was unreachable, or the outcome of the attempt was lost.
    Failed,
    /// The attempt was abandoned or never sent, which indicates nothing about the minion.
    Neutral,
}

/// Selection among eligible minions. All but the default serve as baselines for comparison.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoutingPolicy {
    /// Picks the cheaper of two random minions, by load and response time.
    #[default]
    PowerOfTwoChoices,
    /// Picks a minion uniformly at random.
    Random,
    /// Picks the minions in turn.
    RoundRobin,
}

/// Policy, time limits and bounds of the router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoutingSettings {
    /// Selection among the eligible minions.
    pub policy: RoutingPolicy,
    /// Number of consecutive failures after which a minion is ejected.
    pub ejection_failure_count: u32,
    /// Duration of the first ejection; each further consecutive ejection doubles it.
    pub ejection_base: DurationMs,
    /// Maximum duration of an ejection.
    pub ejection_limit: DurationMs,
    /// Maximum share of a service's minions that may be ejected, in percent. If more of them fail,
    /// they probably share a cause, and ejecting them would take the service down.
    pub ejection_share_percent: usize,
    /// Time for which a minion that had no free slot is skipped, unless an attempt completes
    /// earlier.
    pub no_slot_pause: DurationMs,
    /// Time for which a minion is skipped after its agent refused for another reason.
    pub refusal_pause: DurationMs,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::PowerOfTwoChoices,
            ejection_failure_count: 3,
            ejection_base: DurationMs::new(500),
            ejection_limit: DurationMs::from_seconds(30),
            ejection_share_percent: 50,
            no_slot_pause: DurationMs::new(20),
            refusal_pause: DurationMs::new(500),
        }
    }
}

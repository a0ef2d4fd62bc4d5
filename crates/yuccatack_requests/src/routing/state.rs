//! State and selection logic of the router.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use yuccatack_core::prelude::*;

use super::message::{Feedback, MinionLoad, RoutingPolicy, RoutingSettings};
use crate::dispatch::Target;
use crate::outcome::{NotRun, NotRunReason};

/// Divisor of the moving average: a new response time has the weight of one part in this many.
const LATENCY_SMOOTHING_DIVISOR: u64 = 8;

#[derive(Clone, Debug)]
struct Minion {
    load: MinionLoad,
    in_flight: u32,
    latency_us: u64,
    failure_count: u32,
    ejection_count: u32,
    ejected_until: Option<TimestampMs>,
    /// `true` while the single attempt that probes an ejected minion is in flight.
    probing: bool,
    skipped_until: Option<TimestampMs>,
}

impl Minion {
    fn new(load: MinionLoad) -> Self {
        Self {
            latency_us: load.latency_us,
            load,
            in_flight: 0,
            failure_count: 0,
            ejection_count: 0,
            ejected_until: None,
            probing: false,
            skipped_until: None,
        }
    }

    fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    fn usage(&self) -> u32 {
        self.in_flight.max(self.load.slots_in_use)
    }

    fn has_slot(&self) -> bool {
        // The reported count includes this entry's attempts and may be a second old, so only the
        // local count can prove that a minion is full. The agent enforces the limit.
        self.in_flight < self.load.slot_count
    }

    fn is_skipped(&self, now: TimestampMs) -> bool {
        self.skipped_until.is_some_and(|until| now < until)
    }

    fn accepts_attempt(&self, now: TimestampMs) -> bool {
        if !self.load.ready || !self.has_slot() || self.is_skipped(now) {
            return false;
        }
        match self.ejected_until {
            Some(until) => now >= until && !self.probing,
            None => true,
        }
    }

    /// Returns the expected waiting time, up to a common factor.
    fn cost(&self) -> u128 {
        let occupied = u128::from(self.usage()) + 1;
        let latency = u128::from(self.latency_us.max(1));
        occupied * latency * 1_000 / u128::from(self.load.slot_count.max(1))
    }
}

/// Selects minions by the view, the local attempts in flight and the results of past attempts.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RoutingSettings,
    data_centre: DataCentreName,
    minions: BTreeMap<NodeName, Minion>,
    round_robin_position: usize,
    random: SmallRng,
}

impl Router {
    /// Creates the router of an entry in `data_centre`.
    pub fn new(settings: RoutingSettings, data_centre: DataCentreName, seed: u64) -> Self {
        Self {
            settings,
            data_centre,
            minions: BTreeMap::new(),
            round_robin_position: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the minions by those of a new view. The local state of a minion is kept while its
    /// agent's incarnation stays the same.
    pub fn update(&mut self, loads: Vec<MinionLoad>) {
        let mut previous = std::mem::take(&mut self.minions);
        for load in loads {
            let node = load.target.node.clone();
            let retained = previous
                .remove(&node)
                .filter(|minion| minion.load.target.incarnation == load.target.incarnation);
            let minion = match retained {
                Some(minion) => Minion { load, ..minion },
                None => Minion::new(load),
            };
            self.minions.insert(node, minion);
        }
    }

    /// Returns the number of this entry's attempts in flight on a node.
    pub fn in_flight(&self, node: &NodeName) -> u32 {
        self.minions.get(node).map_or(0, |minion| minion.in_flight)
    }

    /// Returns `true` if a minion of the service accepts an attempt now, or if the service has no
    /// ready minion, in which case [`choose`](Self::choose) returns the reason.
    pub fn may_choose(&self, service: &ServiceName, now: TimestampMs) -> bool {
        let mut serving = self.serving(service).peekable();
        serving.peek().is_none() || serving.any(|minion| minion.accepts_attempt(now))
    }

    /// Returns the mean response time of the service's ready minions.
    pub fn mean_latency(&self, service: &ServiceName) -> DurationMs {
        let sum_us: u64 = self.serving(service).map(|minion| minion.latency_us).sum();
        let count = self.serving(service).count().max(1) as u64;
        DurationMs::new(sum_us / count / 1000)
    }

    fn serving(&self, service: &ServiceName) -> impl Iterator<Item = &Minion> {
        let service = service.clone();
        let minions = self.minions.values();
        minions.filter(move |minion| minion.load.ready && minion.load.service == service)
    }

    /// Selects a minion and counts the attempt as in flight until its result is passed to
    /// [`record_feedback`](Self::record_feedback).
    pub fn choose(
        &mut self,
        service: &ServiceName,
        excluded: &[NodeName],
        now: TimestampMs,
    ) -> Result<Target, NotRun> {
        let mut serving_count = 0;
        let mut local = Vec::new();
        let mut remote = Vec::new();
        for (node, minion) in &self.minions {
            if minion.load.service != *service || !minion.load.ready {
                continue;
            }
            serving_count += 1;
            if !minion.accepts_attempt(now) || excluded.contains(node) {
                continue;
            }
            if minion.load.data_centre == self.data_centre {
                local.push(node.clone());
            } else {
                remote.push(node.clone());
            }
        }
        if serving_count == 0 {
            return Err(NotRun::retryable(
                NotRunReason::NoMinion,
                1_000,
                "no minion of the service takes new work",
            ));
        }
        let candidates = if local.is_empty() { remote } else { local };
        if candidates.is_empty() && !excluded.is_empty() {
            // Falls back to the excluded minions: one that refused earlier is better than none.
            return self.choose(service, &[], now);
        }
        let Some(node) = self.pick(&candidates, now) else {
            return Err(NotRun::retryable(
                NotRunReason::NoSlot,
                50,
                "every minion of the service is full or failing",
            ));
        };
        self.start_attempt(&node).ok_or_else(|| {
            NotRun::retryable(NotRunReason::NoMinion, 1_000, "the minion has left the view")
        })
    }

    fn start_attempt(&mut self, node: &NodeName) -> Option<Target> {
        let minion = self.minions.get_mut(node)?;
        minion.in_flight += 1;
        minion.probing = minion.is_ejected();
        Some(minion.load.target.clone())
    }

    fn pick(&mut self, candidates: &[NodeName], now: TimestampMs) -> Option<NodeName> {
        if candidates.is_empty() {
            return None;
        }
        // A minion whose ejection has expired receives a single attempt as a probe.
        let probe = candidates.iter().find(|node| {
            let minion = self.minions.get(*node);
            minion.is_some_and(|minion| minion.is_ejected() && minion.accepts_attempt(now))
        });
        if let Some(node) = probe {
            return Some(node.clone());
        }
        match self.settings.policy {
            RoutingPolicy::PowerOfTwoChoices => self.less_loaded_of_two(candidates),
            RoutingPolicy::Random => {
                let index = self.random.random_range(0..candidates.len());
                candidates.get(index).cloned()
            }
            RoutingPolicy::RoundRobin => {
                self.round_robin_position += 1;
                candidates.get(self.round_robin_position % candidates.len()).cloned()
            }
        }
    }

    fn less_loaded_of_two(&mut self, candidates: &[NodeName]) -> Option<NodeName> {
        let first = self.random.random_range(0..candidates.len());
        let mut second = self.random.random_range(0..candidates.len().max(2) - 1);
        if second >= first && candidates.len() > 1 {
            second += 1;
        }
        let cost = |index: usize| {
            let node = candidates.get(index)?;
            Some((self.minions.get(node)?.cost(), node))
        };
        let first = cost(first)?;
        let second = cost(second).unwrap_or(first);
        let (_, node) = if second.0 < first.0 { second } else { first };
        Some(node.clone())
    }

    /// Updates the state of a minion with the result of an attempt.
    pub fn record_feedback(&mut self, target: &Target, feedback: Feedback, now: TimestampMs) {
        let may_eject = self.may_eject_another(&target.node);
        let settings = self.settings;
        let Some(minion) = self.minions.get_mut(&target.node) else {
            return;
        };
        if minion.load.target.incarnation != target.incarnation {
            return;
        }
        minion.in_flight = minion.in_flight.saturating_sub(1);
        let was_probe = std::mem::take(&mut minion.probing);
        match feedback {
            Feedback::Completed { latency_us } => {
                minion.failure_count = 0;
                minion.ejection_count = 0;
                minion.ejected_until = None;
                minion.skipped_until = None;
                minion.latency_us = smoothed(minion.latency_us, latency_us);
            }
            Feedback::NoSlot => minion.skipped_until = Some(now + settings.no_slot_pause),
            Feedback::Refused => minion.skipped_until = Some(now + settings.refusal_pause),
            Feedback::Failed => {
                minion.failure_count += 1;
                let limit_reached = minion.failure_count >= settings.ejection_failure_count;
                if was_probe || (limit_reached && may_eject) {
                    eject(minion, &settings, now);
                }
            }
            Feedback::Neutral => {}
        }
    }

    fn may_eject_another(&self, node: &NodeName) -> bool {
        let Some(service) = self.minions.get(node).map(|minion| &minion.load.service) else {
            return false;
        };
        let peers = || self.minions.values().filter(|minion| minion.load.service == *service);
        let ejected = peers().filter(|minion| minion.is_ejected()).count();
        (ejected + 1) * 100 <= peers().count() * self.settings.ejection_share_percent
    }
}

fn smoothed(old: u64, new: u64) -> u64 {
    if old == 0 {
        return new;
    }
    (old * (LATENCY_SMOOTHING_DIVISOR - 1) + new) / LATENCY_SMOOTHING_DIVISOR
}

fn eject(minion: &mut Minion, settings: &RoutingSettings, now: TimestampMs) {
    minion.ejection_count += 1;
    minion.failure_count = 0;
    let doubling_count = minion.ejection_count.saturating_sub(1).min(16);
    let length = settings.ejection_base.get().saturating_mul(1 << doubling_count);
    let length = length.min(settings.ejection_limit.get());
    minion.ejected_until = Some(now + DurationMs::new(length));
}

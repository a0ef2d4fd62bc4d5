//! The leader's state of its workers, and its scheduling decisions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use yuccatack_core::{DurationMs, FastHashSet, NodeName, TimestampMs};
use yuccatack_queues::{ConfigurationStore, EvacuationStore};
use yuccatack_runs::{JobTable, OpenRun, RunEnd, RunId, RunOutcome, RunStart, WorkerIncarnation};

use crate::admission::Backlog;
use crate::capacity::available_workers;
use crate::demand::{ready_task_groups, urgent_accelerator_demand};
use crate::eviction::{EvictionInputs, may_evict, reserve_after_stops};
use crate::headroom::{Headroom, share_headroom};
use crate::lease::max_real_duration;
use crate::placement::{CapacityKind, occupy, place};
use crate::protocol::{AgentMessage, Orders, StartResult, WorkerState};
use crate::reconcile::Reconciliation;
use crate::restraint::Waivers;
use crate::run_time::RunTimes;
use crate::session::{OrderState, Session};
use crate::settings::{DispatchSettings, RETURN_PERIOD_MS};
use crate::share::MinimumShares;
use crate::summary::PassSummary;
use crate::waiting::{UnusedServices, WaitingSteps};

/// Number of tasks for which one scheduling pass searches for runs to evict. A group is searched as
/// a whole, so the last one may exceed the limit. A search visits every run for every task, so a
/// burst of urgent jobs would otherwise delay the leader's heartbeats.
const EVICTION_SEARCH_TASK_COUNT: usize = 32;

/// Interval of the summaries of what waits for capacity.
const SUMMARY_INTERVAL: DurationMs = DurationMs::new(1_000);

/// Change of the replicated table that the leader proposes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TableChange {
    /// Begins all of these runs, or none of them if one may not begin.
    Begin(Vec<RunStart>),
    /// Ends a run.
    End(RunEnd),
    /// Acknowledges the run ends of an incarnation up to this number; the table holds them all.
    #[serde(rename = "NoteEnds")]
    AcknowledgeEnds(WorkerIncarnation, u64),
}

/// Makes the scheduling decisions for all workers while its replica is the leader.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    token: u64,
    pub(crate) leading_since: TimestampMs,
    pub(crate) sessions: BTreeMap<NodeName, Session>,
    pub(crate) evicted: FastHashSet<RunId>,
    pub(crate) evacuations: EvacuationStore,
    headroom: Headroom,
    pub(crate) run_times: RunTimes,
    waiting_steps: WaitingSteps,
    /// Number of evictions since the last call of [`Self::take_eviction_count`].
    pub(crate) eviction_count: u64,
    /// Work that the last pass left waiting; `None` if it placed everything.
    pub(crate) backlog: Option<Backlog>,
    summary: Option<PassSummary>,
    summarized_at: TimestampMs,
}

impl Dispatcher {
    /// Creates a dispatcher without any workers. `token` must be higher than that of every earlier
    /// leader, so that it fences their orders.
    pub fn new(settings: DispatchSettings, token: u64, now: TimestampMs) -> Self {
        Self {
            settings,
            token,
            leading_since: now,
            sessions: BTreeMap::new(),
            evicted: FastHashSet::default(),
            evacuations: EvacuationStore::default(),
            headroom: Headroom::default(),
            run_times: RunTimes::default(),
            waiting_steps: WaitingSteps::default(),
            eviction_count: 0,
            backlog: None,
            summary: None,
            summarized_at: TimestampMs::default(),
        }
    }

    /// Returns the token that fences the orders of earlier leaders.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Replaces the evacuations, which take effect from the next decision and order on.
    /// For a time, workers of data centres that return from an evacuation come after others.
    pub fn set_evacuations(&mut self, evacuations: &EvacuationStore, now: TimestampMs) {
        let earlier = std::mem::replace(&mut self.evacuations, evacuations.clone());
        for session in self.sessions.values_mut() {
            if session.is_evacuated(&earlier) && !session.is_evacuated(evacuations) {
                session.returned_until = now + RETURN_PERIOD_MS;
            }
        }
    }

    /// Marks the agent of `node` as connected.
    pub fn connect(&mut self, node: &NodeName) {
        self.sessions.entry(node.clone()).or_default().reconnect();
    }

    /// Marks the agent of `node` as disconnected; it gets no orders until it reconnects.
    pub fn disconnect(&mut self, node: &NodeName) {
        if let Some(session) = self.sessions.get_mut(node) {
            session.connected = false;
        }
    }

    /// Returns the number of connected agents.
    pub fn connected_count(&self) -> usize {
        self.sessions.values().filter(|session| session.connected).count()
    }

    /// Returns the number of evictions since the last call, stalled runs included, and resets it.
    pub fn take_eviction_count(&mut self) -> u64 {
        std::mem::take(&mut self.eviction_count)
    }

    /// Takes the summary of the last pass. Passes are summarized once a second while ready tasks
    /// wait.
    pub fn take_summary(&mut self) -> Option<PassSummary> {
        self.summary.take()
    }

    /// Records that a heartbeat round which began at `began_at` confirmed leadership. Leases may
    /// build on all clock readings received before. Any later leader was elected after `began_at`,
    /// so it can bound every lease that this one granted.
    pub fn confirm_leadership(&mut self, began_at: TimestampMs) {
        for session in self.sessions.values_mut() {
            session.confirm_readings(began_at);
        }
    }

    /// Handles a message from an agent and returns the resulting changes of the table.
    pub fn on_message(
        &mut self,
        node: &NodeName,
        message: AgentMessage,
        table: &JobTable,
        now: TimestampMs,
    ) -> Vec<TableChange> {
        match message {
            AgentMessage::State(state) => self.on_state(node, state, table, now),
            AgentMessage::Observed(observation) => {
                self.on_observation(node, observation, table, now)
            }
            AgentMessage::Start(run, result) => {
                self.on_start_result(node, run, result, now);
                Vec::new()
            }
            AgentMessage::Left(incarnation) => {
                log::info!(
                    event = "worker_left", agent = node.as_str(), life:% = incarnation;
                    "the worker has left; its open runs are lost"
                );
                let ends = self.lost_run_ends(table, |other| *other == incarnation);
                if let Some(session) = self.sessions.get_mut(node)
                    && session.incarnation() == Some(&incarnation)
                {
                    session.state = None;
                }
                ends
            }
        }
    }

    fn on_state(
        &mut self,
        node: &NodeName,
        mut state: WorkerState,
        table: &JobTable,
        now: TimestampMs,
    ) -> Vec<TableChange> {
        // Only deployments with evacuations prefer warm workers.
        if self.settings.start_limit_ms.is_none() {
            state.cold_left_ms = None;
        }
        let session = self.sessions.entry(node.clone()).or_default();
        let incarnation = state.incarnation.clone();
        if session.incarnation() == Some(&incarnation) {
            session.set_state(state, now);
            return Vec::new();
        }
        log::info!(
            event = "worker_life_began", agent = node.as_str(), life:% = incarnation,
            draining = state.draining;
            "the worker announced itself; runs of its other incarnations are lost"
        );
        let ends = self
            .lost_run_ends(table, |other| other.node == incarnation.node && *other != incarnation);
        self.sessions.entry(node.clone()).or_default().begin_incarnation(state, now);
        ends
    }

    fn on_start_result(
        &mut self,
        node: &NodeName,
        run: RunId,
        result: StartResult,
        now: TimestampMs,
    ) {
        let Some(session) = self.sessions.get_mut(node) else { return };
        let Some(order) = session.orders.get_mut(&run) else { return };
        if !matches!(order, OrderState::Starting { .. } | OrderState::Unknown { .. }) {
            return;
        }
        if result != StartResult::Begun {
            log::warn!(
                event = "start_refused", run:% = run, agent = node.as_str(),
                result:? = result;
                "start not confirmed; the run is barred, or observed if the result is unknown"
            );
        }
        session.health.on_start_result(result, now);
        *order = match result {
            StartResult::Begun => OrderState::Active { missing_count: 0 },
            StartResult::Unknown => OrderState::Unknown { missing_count: 0 },
            // An earlier copy of the same start may still be in flight, so the run is barred.
            StartResult::NoRoom | StartResult::Refused => OrderState::Stopping { sent_at: None },
        };
    }

    /// Decides which runs begin, are evicted or are lost, and returns the changes of the table.
    pub fn decide(
        &mut self,
        table: &JobTable,
        configuration: &ConfigurationStore,
        now: TimestampMs,
        unix_ms: u64,
    ) -> Vec<TableChange> {
        self.evicted.retain(|run| table.open_runs().contains_key(run));
        let mut changes = self.expired_runs(table, now);
        self.headroom.update(table, now);
        let urgent_demand = urgent_accelerator_demand(table);
        let mut groups =
            ready_task_groups(table, configuration, &urgent_demand, &self.run_times, unix_ms);
        share_headroom(&mut groups);
        if groups.is_empty() {
            self.backlog = None;
            return changes;
        }
        let mut workers = available_workers(&self.sessions, &self.evacuations, table, now);
        let mut shares = MinimumShares::new(&groups, &workers, table, &self.stopping_runs());
        shares.promote(&mut groups);
        let mut remaining_search_tasks = EVICTION_SEARCH_TASK_COUNT;
        // Tasks of a step with as many attempts left are equal: once one does not fit, the others do not either.
        let mut blocked_steps = FastHashSet::default();
        let mut headroom_reserved = false;
        let mut waiting = Vec::new();
        for group in &groups {
            if !group.is_urgent() && !headroom_reserved {
                headroom_reserved = true;
                self.headroom.reserve(&mut workers);
            }
            let step = (group.job.order, group.occurrence, group.step, group.last_attempt);
            let placement = (!blocked_steps.contains(&step)).then(|| {
                place(group, &workers, CapacityKind::Free, Waivers::NONE)
                    .or_else(|| self.waiting_steps.place_waiting(group, &workers, now))
            });
            if let Some(placement) = placement.flatten() {
                changes.push(TableChange::Begin(occupy(group, &placement, &mut workers)));
                continue;
            }
            waiting.push(group);
            if blocked_steps.contains(&step) {
                continue;
            }
            if reserve_after_stops(group, &mut workers) {
                continue;
            }
            if may_evict(group) && remaining_search_tasks > 0 {
                remaining_search_tasks = remaining_search_tasks.saturating_sub(group.tasks.len());
                let inputs = EvictionInputs {
                    table,
                    configuration,
                    urgent_demand: &urgent_demand,
                    shares: &mut shares,
                };
                if self.evict_for(group, &mut workers, inputs) {
                    continue;
                }
            }
            blocked_steps.insert(step);
        }
        let services = UnusedServices::new(&self.sessions, &self.evacuations, table);
        self.waiting_steps.update(&waiting, &services, now);
        if !waiting.is_empty() && now.since(self.summarized_at) >= SUMMARY_INTERVAL {
            self.summarized_at = now;
            self.summary = Some(PassSummary::new(&waiting, &workers, table));
        }
        let overloaded = !waiting.is_empty() && self.has_settled(now);
        self.backlog = overloaded
            .then(|| Backlog::new(&waiting, workers, shares, table, &self.run_times, unix_ms));
        changes
    }

    /// Returns the ends of runs whose lease must have expired or whose worker restarted.
    fn expired_runs(&self, table: &JobTable, now: TimestampMs) -> Vec<TableChange> {
        let earlier_leases_expire_at =
            self.leading_since + max_real_duration(self.settings.lease_ms);
        self.lost_run_ends(table, |incarnation| {
            let Some(session) = self.sessions.get(&incarnation.node) else {
                return now > earlier_leases_expire_at;
            };
            match (session.incarnation(), session.latest_reading) {
                (Some(current), _) if current != incarnation => true,
                (Some(_), Some(reading)) => {
                    let own_leases_expire_at = reading.latest_expiry(session.lease_until_clock_ms);
                    now > own_leases_expire_at.max(earlier_leases_expire_at)
                }
                _ => now > earlier_leases_expire_at,
            }
        })
    }

    /// Returns the ends of all open runs on lost incarnations, with the latest checkpoints that these
    /// listed: what a run saved outlasts its worker.
    fn lost_run_ends<Predicate>(&self, table: &JobTable, is_lost: Predicate) -> Vec<TableChange>
    where
        Predicate: Fn(&WorkerIncarnation) -> bool,
    {
        let runs = table.open_runs().iter().filter(|(_, open)| is_lost(&open.incarnation));
        let end = |(run, open): (&RunId, &OpenRun)| {
            let session = self.sessions.get(&open.incarnation.node);
            TableChange::End(RunEnd {
                run: run.clone(),
                outcome: RunOutcome::WorkerLost,
                checkpoint: session.and_then(|session| session.health.checkpoint(run)),
            })
        };
        runs.map(end).collect()
    }

    /// Returns the orders that are due at `now`, by node.
    pub fn orders(&mut self, table: &JobTable, now: TimestampMs) -> Vec<(NodeName, Orders)> {
        let reconciliation = Reconciliation {
            settings: &self.settings,
            table,
            evicted: &self.evicted,
            evacuations: &self.evacuations,
            token: self.token,
            now,
        };
        reconciliation.orders(&mut self.sessions)
    }
}

//! The leader's memory of its workers, and its decisions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use yuccatack_core::{FastHashSet, NodeName, TimestampMs};
use yuccatack_queues::ConfigurationStore;
use yuccatack_runs::{JobTable, RunEnd, RunId, RunOutcome, RunStart, WorkerIncarnation};

use crate::capacity::slots;
use crate::demand::{ready_units, urgent_accelerators};
use crate::eviction::{may_evict_others, reserve_soon};
use crate::headroom::Headroom;
use crate::lease::longest_real_time;
use crate::placement::{Room, occupy, place};
use crate::protocol::{AgentMessage, Orders, StartResult, WorkerState};
use crate::reconcile::Reconciliation;
use crate::session::{OrderState, Session};
use crate::settings::DispatchSettings;

/// For how many tasks one decision looks for runs to evict, beyond the first unit. A search looks at
/// every run for every task, so that a burst of urgent jobs would keep the leader from its
/// heartbeats.
const EVICTION_SEARCH_LIMIT: usize = 32;

/// A change of the replicated table that the leader proposes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TableChange {
    /// Begin these runs, or none of them.
    Begin(Vec<RunStart>),
    /// A run is over.
    End(RunEnd),
    /// The ends of a worker's incarnation up to this number are in the table.
    #[serde(rename = "NoteEnds")]
    AcknowledgeEnds(WorkerIncarnation, u64),
}

/// Decides for all workers while its process leads.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    token: u64,
    leading_since: TimestampMs,
    pub(crate) sessions: BTreeMap<NodeName, Session>,
    pub(crate) evicted: FastHashSet<RunId>,
    headroom: Headroom,
    /// How many evictions were decided since they were last counted.
    pub(crate) eviction_count: u64,
}

impl Dispatcher {
    /// Starts with no knowledge of any worker. `token` must be higher than that of every earlier
    /// leader.
    pub fn new(settings: DispatchSettings, token: u64, now: TimestampMs) -> Self {
        Self {
            settings,
            token,
            leading_since: now,
            sessions: BTreeMap::new(),
            evicted: FastHashSet::default(),
            headroom: Headroom::default(),
            eviction_count: 0,
        }
    }

    /// The token that fences the orders of earlier leaders.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// An agent has opened its stream.
    pub fn connect(&mut self, node: &NodeName) {
        self.sessions.entry(node.clone()).or_default().reconnect();
    }

    /// An agent's stream has ended.
    pub fn disconnect(&mut self, node: &NodeName) {
        if let Some(session) = self.sessions.get_mut(node) {
            session.connected = false;
        }
    }

    /// How many agents are connected.
    pub fn connected_count(&self) -> usize {
        self.sessions.values().filter(|session| session.connected).count()
    }

    /// How many evictions were decided since the last call.
    pub fn take_eviction_count(&mut self) -> u64 {
        std::mem::take(&mut self.eviction_count)
    }

    /// The lead was confirmed by a round that began at `began_at`; leases may build on everything
    /// that was received before. A later leader was elected after that moment, so it can bound
    /// every lease that this one granted.
    pub fn confirm_leadership(&mut self, began_at: TimestampMs) {
        for session in self.sessions.values_mut() {
            if session.reading.is_some_and(|reading| reading.received_at <= began_at) {
                session.base = session.reading;
            }
        }
    }

    /// Takes what an agent reports and returns what follows for the table.
    pub fn on_message(
        &mut self,
        node: &NodeName,
        message: AgentMessage,
        table: &JobTable,
        now: TimestampMs,
    ) -> Vec<TableChange> {
        match message {
            AgentMessage::State(state) => self.on_state(node, state, table),
            AgentMessage::Observed(observation) => {
                self.on_observation(node, observation, table, now)
            }
            AgentMessage::Start(run, result) => {
                self.on_start_result(node, run, result);
                Vec::new()
            }
            AgentMessage::Left(incarnation) => {
                log::info!(
                    event = "worker_left", node = node.as_str(), life:% = incarnation;
                    "the worker has left"
                );
                if let Some(session) = self.sessions.get_mut(node)
                    && session.incarnation() == Some(&incarnation)
                {
                    session.state = None;
                }
                lost_runs(table, |held| *held == incarnation)
            }
        }
    }

    fn on_state(
        &mut self,
        node: &NodeName,
        state: WorkerState,
        table: &JobTable,
    ) -> Vec<TableChange> {
        let session = self.sessions.entry(node.clone()).or_default();
        let incarnation = state.incarnation.clone();
        if session.incarnation() == Some(&incarnation) {
            session.state = Some(state);
            return Vec::new();
        }
        log::info!(
            event = "worker_life_began", node = node.as_str(), life:% = incarnation,
            draining = state.draining;
            "a worker announced itself"
        );
        session.begin_life(state);
        lost_runs(table, |held| held.node == incarnation.node && *held != incarnation)
    }

    fn on_start_result(&mut self, node: &NodeName, run: RunId, result: StartResult) {
        let Some(session) = self.sessions.get_mut(node) else { return };
        let Some(order) = session.orders.get_mut(&run) else { return };
        if !matches!(order, OrderState::Starting { .. } | OrderState::Unknown { .. }) {
            return;
        }
        if result != StartResult::Begun {
            log::warn!(
                event = "start_refused", run:% = run, node = node.as_str(),
                result:? = result;
                "the worker did not begin the run"
            );
        }
        *order = match result {
            StartResult::Begun => OrderState::Active { missing_count: 0 },
            StartResult::Unknown => OrderState::Unknown { missing_count: 0 },
            // An earlier send of the same start may still be under way, so the run is barred.
            StartResult::NoRoom | StartResult::Refused => OrderState::Stopping { sent_at: None },
        };
    }

    /// Decides which runs begin, which give way and which are lost.
    pub fn decide(
        &mut self,
        table: &JobTable,
        configuration: &ConfigurationStore,
        now: TimestampMs,
        unix_ms: u64,
    ) -> Vec<TableChange> {
        self.evicted.retain(|run| table.open_runs().contains_key(run));
        let mut changes = self.expired_runs(table, now);
        self.headroom.note(table, now);
        let needs = urgent_accelerators(table);
        let units = ready_units(table, configuration, &needs, unix_ms);
        if units.is_empty() {
            return changes;
        }
        let mut slots = slots(&self.sessions, table, now);
        let mut searches_left = EVICTION_SEARCH_LIMIT;
        // Equal tasks of a step fit as little as the first one that did not.
        let mut blocked = FastHashSet::default();
        let mut headroom_kept = false;
        for unit in &units {
            if !unit.is_urgent() && !headroom_kept {
                headroom_kept = true;
                self.headroom.keep(&mut slots);
            }
            let step = (unit.job.order, unit.occurrence, unit.step);
            if blocked.contains(&step) {
                continue;
            }
            if let Some(placement) = place(unit, &slots, Room::Now, false) {
                changes.push(TableChange::Begin(occupy(unit, &placement, &mut slots)));
                continue;
            }
            if reserve_soon(unit, &mut slots) {
                continue;
            }
            if may_evict_others(unit) && searches_left > 0 {
                searches_left = searches_left.saturating_sub(unit.tasks.len());
                if self.evict_for(unit, &mut slots, table, configuration, &needs) {
                    continue;
                }
            }
            blocked.insert(step);
        }
        changes
    }

    /// Runs whose lease must have expired, or whose worker began another incarnation.
    fn expired_runs(&self, table: &JobTable, now: TimestampMs) -> Vec<TableChange> {
        let earlier_leases_end = self.leading_since + longest_real_time(self.settings.lease_ms);
        lost_runs(table, |incarnation| {
            let Some(session) = self.sessions.get(&incarnation.node) else {
                return now > earlier_leases_end;
            };
            match (session.incarnation(), session.reading) {
                (Some(current), _) if current != incarnation => true,
                (Some(_), Some(reading)) => {
                    let own_leases_end = reading.latest_expiry(session.lease_until_clock_ms);
                    now > own_leases_end.max(earlier_leases_end)
                }
                _ => now > earlier_leases_end,
            }
        })
    }

    /// The orders that are due now.
    pub fn orders(&mut self, table: &JobTable, now: TimestampMs) -> Vec<(NodeName, Orders)> {
        let reconciliation = Reconciliation {
            settings: &self.settings,
            table,
            evicted: &self.evicted,
            token: self.token,
            now,
        };
        reconciliation.orders(&mut self.sessions)
    }
}

fn lost_runs<Lost>(table: &JobTable, lost: Lost) -> Vec<TableChange>
where
    Lost: Fn(&WorkerIncarnation) -> bool,
{
    let runs = table.open_runs().iter().filter(|(_, open)| lost(&open.incarnation));
    let end = |run: &RunId| RunEnd {
        run: run.clone(),
        outcome: RunOutcome::WorkerLost,
        checkpoint: None,
    };
    runs.map(|(run, _)| TableChange::End(end(run))).collect()
}

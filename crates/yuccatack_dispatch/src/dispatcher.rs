//! The leader's memory of its workers, and its decisions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use yuccatack_core::{FastHashMap, FastHashSet, NodeName, OrganisationName, TimestampMs};
use yuccatack_queues::ConfigurationStore;
use yuccatack_runs::{JobTable, RunEnd, RunId, RunOutcome, RunStart, WorkerLife};

use crate::capacity::{Slot, add, footprint, slots, subtract};
use crate::demand::{Tier, Unit, ready_units, urgent_accelerators};
use crate::headroom::Headroom;
use crate::lease::{ClockReading, longest_real_time};
use crate::loss::Progress;
use crate::placement::{Room, occupy, place};
use crate::protocol::{AgentMessage, Observation, Orders, StartResult, WorkerState};
use crate::reclaim::Reclaim;
use crate::reconcile::Reconciliation;
use crate::session::{OrderState, Session};
use crate::settings::DispatchSettings;

/// In how many observations in a row a run must be missing. One may have been made before the run
/// began, and the answers of worker and agent may overtake each other.
const MISSING_LIMIT: u8 = 2;

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
    /// The ends of a worker's life up to this number are in the table.
    NoteEnds(WorkerLife, u64),
}

/// Decides for all workers while its process leads.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    token: u64,
    leading_since: TimestampMs,
    sessions: BTreeMap<NodeName, Session>,
    evicted: FastHashSet<RunId>,
    headroom: Headroom,
    /// How many evictions were decided since they were last counted.
    eviction_count: u64,
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
    pub fn confirm_lead(&mut self, began_at: TimestampMs) {
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
            AgentMessage::Left(life) => {
                log::info!(
                    event = "worker_left", node = node.as_str(), life:% = life;
                    "the worker has left"
                );
                if let Some(session) = self.sessions.get_mut(node)
                    && session.life() == Some(&life)
                {
                    session.state = None;
                }
                lost_runs(table, |held| *held == life)
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
        let life = state.life.clone();
        if session.life() == Some(&life) {
            session.state = Some(state);
            return Vec::new();
        }
        log::info!(
            event = "worker_life_began", node = node.as_str(), life:% = life,
            draining = state.draining;
            "a worker announced itself"
        );
        session.begin_life(state);
        lost_runs(table, |held| held.node == life.node && *held != life)
    }

    fn on_observation(
        &mut self,
        node: &NodeName,
        observation: Observation,
        table: &JobTable,
        now: TimestampMs,
    ) -> Vec<TableChange> {
        let Some(session) = self.sessions.get_mut(node) else { return Vec::new() };
        if session.life() != Some(&observation.life) {
            return Vec::new();
        }
        if session.reading.is_some_and(|reading| reading.clock_ms > observation.clock_ms) {
            // The answers of two calls overtook each other.
            return Vec::new();
        }
        session.reading = Some(ClockReading { clock_ms: observation.clock_ms, received_at: now });
        let mut changes = note_ends(session, &observation, table, now);
        changes.extend(follow_runs(session, &observation, table));
        let stalled = session.health.on_running(&observation.running, observation.clock_ms);
        for run in stalled {
            self.on_stalled_run(node, run, table, now);
        }
        changes
    }

    fn on_stalled_run(&mut self, node: &NodeName, run: RunId, table: &JobTable, now: TimestampMs) {
        let spec = table.job(&run.task.job).and_then(|job| job.step_spec(run.task.step));
        let Some(spec) = spec.filter(|spec| !spec.long_running) else { return };
        if self.evicted.contains(&run) || (spec.gang && self.waits_for_members(&run, table)) {
            return;
        }
        log::warn!(
            event = "run_stalled", run:% = run, node = node.as_str();
            "the run makes no progress; it is stopped and the worker set aside"
        );
        self.eviction_count += 1;
        self.evicted.insert(run);
        if let Some(session) = self.sessions.get_mut(node) {
            session.health.rest(now);
        }
    }

    /// Whether another member of the gang has come less far. The members end together, so that one
    /// on a fast worker stands still at the end of its work until the slowest one arrives there.
    fn waits_for_members(&self, run: &RunId, table: &JobTable) -> bool {
        let percent = |member: &RunId| {
            let node = &table.open_runs().get(member)?.life.node;
            self.sessions.get(node)?.health.percent(member)
        };
        let Some(own_percent) = percent(run) else { return false };
        table
            .gang_members(run)
            .any(|member| percent(member).is_some_and(|percent| percent < own_percent))
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

    /// Evicts less urgent runs for a unit that does not fit, and keeps their room for it. Returns
    /// whether there is such room.
    fn evict_for(
        &mut self,
        unit: &Unit<'_>,
        slots: &mut [Slot],
        table: &JobTable,
        configuration: &ConfigurationStore,
        needs: &FastHashMap<OrganisationName, u64>,
    ) -> bool {
        let stopping = self.stopping_runs();
        let progress = self.progress();
        let reclaim =
            Reclaim { table, configuration, needs, stopping: &stopping, progress: &progress };
        let Some(eviction) = reclaim.find(unit, slots) else { return false };
        for victim in eviction.victims {
            log::info!(
                event = "run_evicted", run:% = victim,
                for_job = unit.job.submission.name.as_str();
                "the run gives way to a more urgent job"
            );
            self.eviction_count += 1;
            self.evicted.insert(victim);
        }
        let need = footprint(unit.spec);
        for (at, freed) in eviction.placement.into_iter().zip(eviction.freed) {
            slots[at].reserved = true;
            slots[at].free_soon = subtract(add(slots[at].free_soon, freed), need);
        }
        true
    }

    fn progress(&self) -> Progress {
        let of_sessions = self.sessions.values().flat_map(|session| session.health.progress());
        of_sessions.map(|(run, percent)| (run.clone(), percent)).collect()
    }

    fn stopping_runs(&self) -> FastHashSet<RunId> {
        let of_sessions = self.sessions.values().flat_map(|session| &session.orders);
        of_sessions
            .filter(|(_, order)| matches!(order, OrderState::Stopping { .. }))
            .map(|(run, _)| run.clone())
            .chain(self.evicted.iter().cloned())
            .collect()
    }

    /// Runs whose lease must have expired, or whose worker began another life.
    fn expired_runs(&self, table: &JobTable, now: TimestampMs) -> Vec<TableChange> {
        let earlier_leases_end = self.leading_since + longest_real_time(self.settings.lease_ms);
        lost_runs(table, |life| {
            let Some(session) = self.sessions.get(&life.node) else {
                return now > earlier_leases_end;
            };
            match (session.life(), session.reading) {
                (Some(current), _) if current != life => true,
                (Some(_), Some(reading)) => {
                    let own_leases_end = reading.surely_past(session.lease_until_clock_ms);
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

/// Keeps the room that is about to be free for a unit that fits there.
fn reserve_soon(unit: &Unit<'_>, slots: &mut [Slot]) -> bool {
    let Some(placement) = place(unit, slots, Room::Soon, true) else { return false };
    let need = footprint(unit.spec);
    for at in placement {
        slots[at].reserved = true;
        slots[at].free_soon = subtract(slots[at].free_soon, need);
    }
    true
}

fn may_evict_others(unit: &Unit<'_>) -> bool {
    matches!(unit.urgency.tier, Tier::Guaranteed | Tier::Priority(0))
}

fn lost_runs<Lost>(table: &JobTable, lost: Lost) -> Vec<TableChange>
where
    Lost: Fn(&WorkerLife) -> bool,
{
    let runs = table.open_runs().iter().filter(|(_, open)| lost(&open.life));
    let end = |run: &RunId| RunEnd {
        run: run.clone(),
        outcome: RunOutcome::WorkerLost,
        checkpoint: None,
    };
    runs.map(|(run, _)| TableChange::End(end(run))).collect()
}

/// Proposes the ends that the table does not have yet.
fn note_ends(
    session: &mut Session,
    observation: &Observation,
    table: &JobTable,
    now: TimestampMs,
) -> Vec<TableChange> {
    let mut changes = Vec::new();
    let known = session.proposed_end.max(table.noted_end(&observation.life));
    let mut last = known;
    for ended in observation.ended.iter().filter(|ended| ended.number > known) {
        last = last.max(ended.number);
        session.health.on_end(&ended.run, ended.outcome, now);
        if table.open_runs().contains_key(&ended.run) {
            changes.push(TableChange::End(RunEnd {
                run: ended.run.clone(),
                outcome: ended.outcome,
                checkpoint: ended.checkpoint.clone(),
            }));
        }
    }
    if last > known {
        session.proposed_end = last;
        changes.push(TableChange::NoteEnds(observation.life.clone(), last));
    }
    changes
}

/// Follows each open run of the worker: whether it began, goes on or is missing.
fn follow_runs(
    session: &mut Session,
    observation: &Observation,
    table: &JobTable,
) -> Vec<TableChange> {
    let mut changes = Vec::new();
    for run in table.runs_of(&observation.life) {
        let ended = observation.ended.iter().any(|ended| ended.run == *run);
        let running = observation.running.iter().any(|row| row.run == *run);
        let order = session.orders.get(run).copied();
        let next = match order {
            // The end is on its way into the table; the run needs no more orders.
            _ if ended => Some(OrderState::Active { missing_count: 0 }),
            None if running => Some(OrderState::Active { missing_count: 0 }),
            Some(OrderState::Stopping { .. }) if running => None,
            _ if running => Some(OrderState::Active { missing_count: 0 }),
            Some(OrderState::Active { missing_count } | OrderState::Unknown { missing_count })
                if missing_count + 1 >= MISSING_LIMIT =>
            {
                Some(OrderState::Stopping { sent_at: None })
            }
            Some(OrderState::Active { missing_count }) => {
                Some(OrderState::Active { missing_count: missing_count + 1 })
            }
            Some(OrderState::Unknown { missing_count }) => {
                Some(OrderState::Unknown { missing_count: missing_count + 1 })
            }
            Some(OrderState::Stopping { .. }) if observation.stopped.contains(run) => {
                // Neither running nor ended after a confirmed stop: it never began and cannot.
                changes.push(TableChange::End(RunEnd {
                    run: run.clone(),
                    outcome: RunOutcome::NeverBegan,
                    checkpoint: None,
                }));
                None
            }
            Some(OrderState::Starting { .. } | OrderState::Stopping { .. }) | None => None,
        };
        if let Some(next) = next {
            session.orders.insert(run.clone(), next);
        }
    }
    changes
}

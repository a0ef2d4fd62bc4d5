//! The leader's state of its workers, and the sequence of its scheduling decisions.

use std::collections::BTreeMap;

use yuccatack_core::{NodeName, TimestampMs};
use yuccatack_queues::{ConfigurationStore, EvacuationStore};
use yuccatack_runs::{Job, JobSubmission, JobTable};

use crate::admission::{
    AdmissionInputs, Backlog, Refusal, RemainingWork, check_gang_widths, has_settled,
};
use crate::demand::unfinished_jobs;
use crate::eviction::Evictions;
use crate::forecast::Forecast;
use crate::headroom::Headroom;
use crate::interference::Interference;
use crate::job_cache::JobCache;
use crate::lost_runs::{expired_run_ends, record_departure, record_state};
use crate::observation::Observer;
use crate::pass::{Pass, PassInputs};
use crate::protocol::{AgentMessage, Orders};
use crate::ready_window::ReadyWindows;
use crate::reconcile::Reconciliation;
use crate::run_time::RunTimes;
use crate::session::Session;
use crate::settings::{DispatchSettings, RETURN_PERIOD_MS};
use crate::speed::MachineSpeeds;
use crate::speed_observer::SpeedObserver;
use crate::speed_wait::SpeedWaits;
use crate::starts::{SearchTurn, Starts};
use crate::summary::{PassSummary, Summaries};
use crate::table_change::TableChange;
use crate::waiting::{UnusedServices, WaitingSteps};

/// Makes the scheduling decisions for all workers while its replica is the leader.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    token: u64,
    leading_since: TimestampMs,
    /// `true` once the agents had time to attach.
    has_settled: bool,
    sessions: BTreeMap<NodeName, Session>,
    evictions: Evictions,
    evacuations: EvacuationStore,
    headroom: Headroom,
    pub(crate) run_times: RunTimes,
    forecasts: JobCache<Forecast>,
    remaining_work: RemainingWork,
    ready_windows: ReadyWindows,
    /// Bytes that the progress of further occurrences of scheduled jobs may take.
    spare_bytes: u64,
    interference: Interference,
    speeds: MachineSpeeds,
    waiting_steps: WaitingSteps,
    speed_observer: SpeedObserver,
    speed_waits: SpeedWaits,
    search_turn: SearchTurn,
    /// Work that the last pass left waiting; `None` if it placed everything.
    backlog: Option<Backlog>,
    summaries: Summaries,
}

impl Dispatcher {
    /// Creates a dispatcher without any workers. `token` must be higher than that of every earlier
    /// leader, so that it fences their orders.
    pub fn new(settings: DispatchSettings, token: u64, now: TimestampMs) -> Self {
        Self {
            settings,
            token,
            leading_since: now,
            has_settled: false,
            sessions: BTreeMap::new(),
            evictions: Evictions::default(),
            evacuations: EvacuationStore::default(),
            headroom: Headroom::default(),
            run_times: RunTimes::default(),
            forecasts: JobCache::default(),
            remaining_work: RemainingWork::default(),
            ready_windows: ReadyWindows::default(),
            spare_bytes: u64::MAX,
            interference: Interference::default(),
            speeds: MachineSpeeds::default(),
            waiting_steps: WaitingSteps::default(),
            speed_observer: SpeedObserver::default(),
            speed_waits: SpeedWaits::default(),
            search_turn: SearchTurn::default(),
            backlog: None,
            summaries: Summaries::default(),
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
        self.evictions.take_count()
    }

    /// Returns the number of pairs of images of which one is known to slow the other.
    pub fn slow_pair_count(&self) -> usize {
        self.interference.known_pair_count()
    }

    /// Takes the summary of the last pass. Passes are summarized once a second while ready tasks
    /// wait.
    pub fn take_summary(&mut self) -> Option<PassSummary> {
        self.summaries.take()
    }

    /// Records that a heartbeat round which began at `began_at` confirmed leadership. Leases may
    /// build on all clock readings received before. Any later leader was elected after `began_at`,
    /// so it can bound every lease that this one granted.
    pub fn confirm_leadership(&mut self, began_at: TimestampMs) {
        for session in self.sessions.values_mut() {
            session.confirm_readings(began_at);
        }
    }

    /// Replaces the speeds of the machines, which only order choices.
    pub fn set_speeds(&mut self, speeds: MachineSpeeds) {
        self.speeds = speeds;
    }

    /// Sets the bytes that the progress of further occurrences of scheduled jobs may take in a
    /// snapshot. The first unfinished occurrence of a job begins regardless.
    pub fn set_spare_bytes(&mut self, spare_bytes: u64) {
        self.spare_bytes = spare_bytes;
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
            AgentMessage::State(state) => {
                let model = &mut self.run_times.model;
                self.speed_observer.on_announcement(&state.incarnation, model, now);
                record_state(&mut self.sessions, node, state, table, now)
            }
            AgentMessage::Observed(observation) => {
                let model = &mut self.run_times.model;
                SpeedObserver::on_observation(
                    model,
                    &self.sessions,
                    node,
                    &observation,
                    table,
                    now,
                );
                let mut observer = Observer {
                    sessions: &mut self.sessions,
                    evictions: &mut self.evictions,
                    run_times: &mut self.run_times,
                    interference: &mut self.interference,
                    machine_speed: self.speeds.speed(node),
                };
                observer.on_observation(node, observation, table, now)
            }
            AgentMessage::Start(run, result) => {
                if let Some(session) = self.sessions.get_mut(node) {
                    session.on_start_result(node, &run, result, now);
                }
                Vec::new()
            }
            AgentMessage::Left(incarnation) => {
                record_departure(&mut self.sessions, node, &incarnation, table)
            }
        }
    }

    /// Decides which runs begin, are evicted or are lost, and returns the changes of the table.
    pub fn decide(
        &mut self,
        table: &JobTable,
        configuration: &ConfigurationStore,
        now: TimestampMs,
        unix_ms: u64,
    ) -> Vec<TableChange> {
        if let Some(speeds) = self.speed_observer.refresh(&mut self.run_times.model, now) {
            self.speeds = speeds;
        }
        self.has_settled = has_settled(self.leading_since, now);
        self.evictions.retain_open(table);
        let (leading_since, lease_ms) = (self.leading_since, self.settings.lease_ms);
        let mut changes = expired_run_ends(&self.sessions, table, leading_since, lease_ms, now);
        self.headroom.update(table, now);
        self.interference.update(now);
        let jobs: Vec<&Job> = unfinished_jobs(table).collect();
        let run_times = &self.run_times;
        self.forecasts.refresh(&jobs, |job| Forecast::new(job, run_times));
        let inputs = PassInputs {
            table,
            jobs: &jobs,
            configuration,
            evacuations: &self.evacuations,
            speeds: &self.speeds,
            run_times,
            forecasts: &self.forecasts,
            spare_bytes: self.spare_bytes,
            stop_timeout_ms: self.settings.stop_timeout_ms,
            now,
            unix_ms,
        };
        let pass = Pass::new(inputs, &self.sessions, &self.evictions, &mut self.ready_windows);
        let Some(mut pass) = pass else {
            self.backlog = None;
            return changes;
        };
        self.interference.set_partners(&mut pass.groups);
        let mut starts = Starts {
            headroom: &self.headroom,
            waiting_steps: &self.waiting_steps,
            speed_waits: &mut self.speed_waits,
            evictions: &mut self.evictions,
            search_turn: &mut self.search_turn,
        };
        starts.handle_groups(&mut pass);
        changes.append(&mut pass.changes);
        let unused_services = UnusedServices::new(&self.sessions, &self.evacuations, table);
        self.waiting_steps.update(&pass.waiting, &unused_services, now);
        self.summaries.update(&pass);
        let overloaded = !pass.waiting.is_empty() && self.has_settled;
        self.backlog = overloaded.then(|| Backlog::new(pass, &mut self.remaining_work));
        changes
    }

    /// Decides whether a job is stored. `submission` must not be stored or about to be.
    ///
    /// Jobs within a guarantee, with a schedule or with tasks that run until they are cancelled are
    /// always accepted, and so are those that fit into free capacity. No job is accepted with a gang
    /// that is wider than all workers of its service together may run.
    pub fn admit(
        &mut self,
        submission: &JobSubmission,
        table: &JobTable,
        configuration: &ConfigurationStore,
        unix_ms: u64,
    ) -> Result<(), Refusal> {
        if self.has_settled {
            check_gang_widths(submission, &self.sessions, &self.evacuations)?;
        }
        let Some(backlog) = &mut self.backlog else { return Ok(()) };
        let inputs = AdmissionInputs {
            table,
            configuration,
            sessions: &self.sessions,
            evacuations: &self.evacuations,
            run_times: &self.run_times,
            unix_ms,
        };
        inputs.admit(submission, backlog)
    }

    /// Returns the orders that are due at `now`, by node.
    pub fn orders(&mut self, table: &JobTable, now: TimestampMs) -> Vec<(NodeName, Orders)> {
        let reconciliation = Reconciliation {
            settings: &self.settings,
            table,
            evicted: self.evictions.runs(),
            evacuations: &self.evacuations,
            token: self.token,
            now,
        };
        reconciliation.orders(&mut self.sessions)
    }
}

//! View of one scheduling pass: what is known, what is free and what waits.

use std::collections::BTreeMap;

use yuccatack_core::{DurationMs, FastHashMap, NodeName, OrganisationName, TimestampMs};
use yuccatack_queues::{ConfigurationStore, EvacuationStore};
use yuccatack_runs::{Job, JobTable, RunId};

use crate::capacity::{WorkerSnapshot, available_workers};
use crate::demand::{DemandInputs, TaskGroup, ready_task_groups, urgent_accelerator_demand};
use crate::eviction::Evictions;
use crate::forecast::Forecast;
use crate::headroom::share_headroom;
use crate::job_cache::JobCache;
use crate::ready_window::ReadyWindows;
use crate::run_time::RunTimes;
use crate::session::Session;
use crate::share::MinimumShares;
use crate::speed::{MachineSpeeds, SpeedClasses};
use crate::table_change::TableChange;

/// Inputs of a scheduling pass from outside the dispatcher.
#[derive(Clone, Copy)]
pub(crate) struct PassInputs<'a> {
    pub table: &'a JobTable,
    /// Jobs of the table that have not ended.
    pub jobs: &'a [&'a Job],
    pub configuration: &'a ConfigurationStore,
    pub evacuations: &'a EvacuationStore,
    pub speeds: &'a MachineSpeeds,
    pub run_times: &'a RunTimes,
    pub forecasts: &'a JobCache<Forecast>,
    /// Bytes that the progress of further occurrences may take.
    pub spare_bytes: u64,
    pub stop_timeout_ms: DurationMs,
    pub now: TimestampMs,
    pub unix_ms: u64,
}

/// View of one scheduling pass, on which its steps work in turn.
pub(crate) struct Pass<'a> {
    pub table: &'a JobTable,
    /// Jobs of the table that have not ended.
    pub jobs: &'a [&'a Job],
    pub forecasts: &'a JobCache<Forecast>,
    pub configuration: &'a ConfigurationStore,
    pub sessions: &'a BTreeMap<NodeName, Session>,
    pub run_times: &'a RunTimes,
    /// Time that a worker may take to stop a run.
    pub stop_timeout_ms: DurationMs,
    pub now: TimestampMs,
    pub unix_ms: u64,
    /// Accelerators that the most urgent unfinished jobs of each organisation need.
    pub urgent_demand: FastHashMap<OrganisationName, u64>,
    /// Ready groups that no step has handled yet, most urgent first.
    pub groups: Vec<TaskGroup<'a>>,
    pub workers: Vec<WorkerSnapshot>,
    pub speed_classes: SpeedClasses,
    pub shares: MinimumShares,
    /// Groups that do not begin in this pass.
    pub waiting: Vec<TaskGroup<'a>>,
    pub changes: Vec<TableChange>,
}

impl<'a> Pass<'a> {
    /// Collects the ready groups, the workers and the shares. Returns `None` if nothing is ready.
    pub fn new(
        inputs: PassInputs<'a>,
        sessions: &'a BTreeMap<NodeName, Session>,
        evictions: &Evictions,
        windows: &mut ReadyWindows,
    ) -> Option<Self> {
        let PassInputs {
            table,
            jobs,
            configuration,
            evacuations,
            speeds,
            run_times,
            forecasts,
            spare_bytes,
            stop_timeout_ms,
            now,
            unix_ms,
        } = inputs;
        let urgent_demand = urgent_accelerator_demand(jobs.iter().copied());
        let demand = DemandInputs {
            jobs,
            configuration,
            urgent_demand: &urgent_demand,
            forecasts,
            run_times,
            spare_bytes,
            unix_ms,
        };
        let mut groups = ready_task_groups(demand, windows);
        if groups.is_empty() {
            return None;
        }
        share_headroom(&mut groups);
        let mut workers = available_workers(sessions, evacuations, table, now);
        let speed_classes = SpeedClasses::assign(&mut workers, speeds);
        let stopping = evictions.stopping_runs(sessions);
        let shares = MinimumShares::new(&groups, &workers, table, &stopping);
        shares.promote(&mut groups);
        Some(Self {
            table,
            jobs,
            forecasts,
            configuration,
            sessions,
            run_times,
            stop_timeout_ms,
            now,
            unix_ms,
            urgent_demand,
            groups,
            workers,
            speed_classes,
            shares,
            waiting: Vec::new(),
            changes: Vec::new(),
        })
    }

    /// Returns the speeds of the classes of workers of a group's service, the fastest first.
    pub fn classes(&self, group: &TaskGroup<'_>) -> &[f64] {
        self.speed_classes.of(&group.job.submission.service)
    }

    /// Predicts the time until a run on the worker ends. Returns `None` for runs that last until they
    /// are cancelled.
    pub fn remaining_ms(&self, run: &RunId, worker: &WorkerSnapshot) -> Option<u64> {
        let job = self.table.job(&run.task.job)?;
        let spec = job.step_spec(run.task.step).filter(|spec| !spec.long_running)?;
        let run_ms = self.run_times.predict(&job.submission.queue, spec).get() as f64;
        let session = self.sessions.get(&worker.node);
        let percent = session.and_then(|session| session.health.percent(run)).unwrap_or(0);
        let remaining_fraction = f64::from(100 - percent.min(100)) / 100.0;
        Some((run_ms * remaining_fraction / worker.speed) as u64)
    }
}

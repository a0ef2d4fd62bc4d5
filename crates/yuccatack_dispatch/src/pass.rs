//! View of one scheduling pass: what is known, what is free and what waits.

use std::collections::BTreeMap;

use yuccatack_core::{FastHashMap, NodeName, OrganisationName, TimestampMs};
use yuccatack_queues::ConfigurationStore;
use yuccatack_runs::JobTable;

use crate::capacity::{WorkerSnapshot, available_workers};
use crate::demand::{TaskGroup, ready_task_groups, urgent_accelerator_demand};
use crate::eviction::Evictions;
use crate::headroom::share_headroom;
use crate::run_time::RunTimes;
use crate::session::Session;
use crate::share::MinimumShares;
use crate::table_change::TableChange;

/// Inputs of a scheduling pass from outside the dispatcher.
#[derive(Clone, Copy)]
pub(crate) struct PassInputs<'a> {
    pub table: &'a JobTable,
    pub configuration: &'a ConfigurationStore,
    pub now: TimestampMs,
    pub unix_ms: u64,
}

/// View of one scheduling pass, on which its steps work in turn.
pub(crate) struct Pass<'a> {
    pub table: &'a JobTable,
    pub configuration: &'a ConfigurationStore,
    pub sessions: &'a BTreeMap<NodeName, Session>,
    pub now: TimestampMs,
    pub unix_ms: u64,
    /// Accelerators that the most urgent unfinished jobs of each organisation need.
    pub urgent_demand: FastHashMap<OrganisationName, u64>,
    /// Ready groups that no step has handled yet, most urgent first.
    pub groups: Vec<TaskGroup<'a>>,
    pub workers: Vec<WorkerSnapshot>,
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
        run_times: &RunTimes,
    ) -> Option<Self> {
        let PassInputs { table, configuration, now, unix_ms } = inputs;
        let urgent_demand = urgent_accelerator_demand(table);
        let mut groups =
            ready_task_groups(table, configuration, &urgent_demand, run_times, unix_ms);
        if groups.is_empty() {
            return None;
        }
        share_headroom(&mut groups);
        let workers = available_workers(sessions, table, now);
        let stopping = evictions.stopping_runs(sessions);
        let shares = MinimumShares::new(&groups, &workers, table, &stopping);
        shares.promote(&mut groups);
        Some(Self {
            table,
            configuration,
            sessions,
            now,
            unix_ms,
            urgent_demand,
            groups,
            workers,
            shares,
            waiting: Vec::new(),
            changes: Vec::new(),
        })
    }
}

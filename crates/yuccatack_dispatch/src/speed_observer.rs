//! Speeds of the workers' machines, learned from the observed progress of the runs.

use std::collections::BTreeMap;

use yuccatack_core::{DurationMs, FastHashMap, NodeName, TimestampMs};
use yuccatack_progress::{
    EstimateError, EstimateRecord, GroupId, ProgressModel, ProgressSample, RunKey,
};
use yuccatack_runs::{JobTable, RunId, StepSpec, WorkerIncarnation};

use crate::dispatcher::Dispatcher;
use crate::protocol::{Observation, RunningRun};
use crate::session::Session;
use crate::speed::MachineSpeeds;

/// Interval at which the dispatcher gets the speeds that have changed.
const REFRESH_INTERVAL: DurationMs = DurationMs::new(250);

/// Progress up to which a run may wait for the other members of its gang. Later observations count
/// only if the progress has changed.
const INITIAL_PERCENT: u8 = 1;

/// Learns the speeds of machines from observations of their workers.
#[derive(Debug, Default)]
pub(crate) struct SpeedObserver {
    model: ProgressModel,
    /// Latest incarnation that was announced to this leader, by node.
    incarnations: FastHashMap<NodeName, WorkerIncarnation>,
    refreshed_at: TimestampMs,
    /// Speeds that the dispatcher got last.
    latest: MachineSpeeds,
}

impl SpeedObserver {
    /// Returns the speed of a machine relative to the typical one; 1 while unknown.
    pub fn speed(&self, node: &NodeName) -> f64 {
        self.model.speed(node)
    }

    /// Makes the estimate of a machine less certain if its worker has begun a new incarnation. The
    /// first announcement to a new leader says nothing about that.
    pub fn on_announcement(&mut self, incarnation: &WorkerIncarnation, now: TimestampMs) {
        let node = &incarnation.node;
        let earlier = self.incarnations.insert(node.clone(), incarnation.clone());
        if earlier.is_some_and(|earlier| earlier != *incarnation) {
            self.model.on_incarnation(node, now);
        }
    }

    /// Learns from an observation. `sessions` must be the state before the observation.
    pub fn on_observation(
        &mut self,
        sessions: &BTreeMap<NodeName, Session>,
        node: &NodeName,
        observation: &Observation,
        table: &JobTable,
        now: TimestampMs,
    ) {
        let Some(session) = sessions.get(node) else { return };
        if session.incarnation() != Some(&observation.incarnation)
            || session.latest_reading.is_some_and(|last| last.clock_ms > observation.clock_ms)
        {
            return;
        }
        let is_running = |run: &RunId| observation.running.iter().any(|row| row.run == *run);
        for (run, _) in session.health.progress().filter(|(run, _)| !is_running(run)) {
            self.model.on_end(&run_key(run), now);
        }
        let rows = observation.running.iter().filter(|row| {
            row.percent <= INITIAL_PERCENT || session.health.percent(&row.run) != Some(row.percent)
        });
        for row in rows {
            if let Some(sample) = sample(sessions, node, row, observation.clock_ms, table) {
                self.model.on_progress(&sample, now);
            }
        }
    }

    /// Forgets what is over and reports machines that were told apart. Returns the speeds of all
    /// machines if some have changed since the last call.
    pub fn refresh(&mut self, now: TimestampMs) -> Option<MachineSpeeds> {
        if now.since(self.refreshed_at) < REFRESH_INTERVAL {
            return None;
        }
        self.refreshed_at = now;
        self.model.expire(now);
        for (node, estimate) in self.model.take_newly_distinct() {
            let (speed, log_deviation) = (estimate.speed, estimate.log_deviation);
            log::info!(
                event = "machine_speed_known", agent = node.as_str(),
                speed:% = format_args!("{speed:.3}"),
                log_deviation:% = format_args!("{log_deviation:.3}"), runs = estimate.run_count;
                "the machine of the agent is faster or slower than the typical one"
            );
        }
        let distinct = self.model.distinct_speeds();
        let speeds = distinct.fold(MachineSpeeds::new(), |speeds, (node, speed)| {
            speeds.with_speed(node.clone(), speed)
        });
        (speeds != self.latest).then(|| {
            self.latest = speeds.clone();
            speeds
        })
    }
}

impl Dispatcher {
    /// Returns the speed of a worker's machine relative to the typical one; 1 while unknown.
    pub fn machine_speed(&self, node: &NodeName) -> f64 {
        self.speed_observer.speed(node)
    }

    /// Returns the number of machines that are known to be slower than the typical one.
    pub fn slow_machine_count(&self) -> usize {
        self.speed_observer.model.slow_machine_count()
    }

    /// Returns up to `limit` estimates that differ from the stored ones.
    pub fn changed_estimates(&self, limit: usize) -> Vec<EstimateRecord> {
        self.speed_observer.model.changed_estimates(limit)
    }

    /// Returns `true` if something is known of the machine; otherwise its stored estimate is obsolete.
    pub fn is_known_machine(&self, node: &NodeName) -> bool {
        self.speed_observer.model.estimate(node).is_some()
    }

    /// Notes that these estimates are stored.
    pub fn on_estimates_stored(&mut self, records: &[EstimateRecord]) {
        self.speed_observer.model.on_published(records);
    }

    /// Begins with the stored estimates of earlier leaders. Returns the errors of those that cannot
    /// be used.
    pub fn restore_estimates<'record, Records>(
        &mut self,
        records: Records,
        now: TimestampMs,
    ) -> Vec<EstimateError>
    where
        Records: IntoIterator<Item = &'record EstimateRecord>,
    {
        self.speed_observer.model.restore(records, now)
    }
}

/// Returns the sample of a run; `None` if its progress tells nothing about its machine.
fn sample(
    sessions: &BTreeMap<NodeName, Session>,
    node: &NodeName,
    row: &RunningRun,
    clock_ms: u64,
    table: &JobTable,
) -> Option<ProgressSample> {
    let spec = table.job(&row.run.task.job)?.step_spec(row.run.task.step)?;
    if spec.long_running || spec.uses_idle_cpu {
        return None;
    }
    let is_near_data =
        spec.data_rack.is_none() || spec.data_rack.as_deref() == rack(sessions, node);
    Some(ProgressSample {
        run: run_key(&row.run),
        machine: node.clone(),
        percent: row.percent,
        clock_ms,
        gang: spec.gang,
        comparable: is_near_data && !is_split(sessions, &row.run, spec, table),
    })
}

/// Returns `true` for a member of a gang that should be in one rack but is spread over several.
fn is_split(
    sessions: &BTreeMap<NodeName, Session>,
    run: &RunId,
    spec: &StepSpec,
    table: &JobTable,
) -> bool {
    if !spec.gang || !spec.rack_local {
        return false;
    }
    let members = table.gang_members(run).filter_map(|member| table.open_runs().get(member));
    let mut racks = members.map(|open| rack(sessions, &open.incarnation.node));
    let first = racks.next();
    racks.any(|rack| Some(rack) != first)
}

fn rack<'a>(sessions: &'a BTreeMap<NodeName, Session>, node: &NodeName) -> Option<&'a str> {
    sessions.get(node)?.state.as_ref()?.rack.as_deref()
}

fn run_key(run: &RunId) -> RunKey {
    let task = &run.task;
    RunKey {
        group: GroupId { job: task.job.clone(), occurrence: task.occurrence, step: task.step },
        task_index: task.index,
        number: run.number,
    }
}

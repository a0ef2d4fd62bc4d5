//! Handling of observations of a worker: ended, started, missing and stalled runs.

use std::collections::BTreeMap;

use yuccatack_core::{DurationMs, FastHashSet, NodeName, TimestampMs};
use yuccatack_runs::{JobTable, RunEnd, RunId, RunOutcome, StepSpec};

use crate::eviction::Evictions;
use crate::health::stall_timeout;
use crate::interference::Interference;
use crate::lease::ClockReading;
use crate::protocol::Observation;
use crate::run_time::RunTimes;
use crate::session::{OrderState, Session};
use crate::table_change::TableChange;

/// Number of consecutive observations in which a run must be missing before it is stopped. A single
/// one may predate the start of the run, since worker and agent may respond out of order.
const MISSING_OBSERVATION_COUNT: u8 = 2;

/// State of the dispatcher that observations update.
pub(crate) struct Observer<'a> {
    pub sessions: &'a mut BTreeMap<NodeName, Session>,
    pub evictions: &'a mut Evictions,
    pub run_times: &'a mut RunTimes,
    pub interference: &'a mut Interference,
    /// Speed of the worker's machine relative to the typical one.
    pub machine_speed: f64,
}

impl Observer<'_> {
    pub fn on_observation(
        &mut self,
        node: &NodeName,
        observation: Observation,
        table: &JobTable,
        now: TimestampMs,
    ) -> Vec<TableChange> {
        let Some(session) = self.sessions.get_mut(node) else { return Vec::new() };
        if session.incarnation() != Some(&observation.incarnation) {
            return Vec::new();
        }
        if session.latest_reading.is_some_and(|reading| reading.clock_ms > observation.clock_ms) {
            // The responses of two polls arrived out of order.
            return Vec::new();
        }
        session.record_reading(ClockReading { clock_ms: observation.clock_ms, received_at: now });
        let mut changes = record_ends(session, &observation, table, now, self.run_times);
        changes.extend(update_order_states(session, &observation, table));
        self.interference.on_observation(&observation, self.machine_speed, table, now);
        let is_held = |run: &RunId| {
            let open = table.open_runs().get(run);
            open.is_some_and(|open| open.incarnation == observation.incarnation)
        };
        let running = observation.running.iter().map(|row| &row.run);
        session.set_unheld_runs(running.filter(|run| !is_held(run)).cloned());
        let stalled = session.health.on_running(&observation.running, observation.clock_ms);
        for (run, unchanged_ms) in stalled {
            self.on_unchanged_run(node, run, unchanged_ms, table, now);
        }
        changes
    }

    /// Stops a run that shows no progress, unless its progress may just be slow.
    fn on_unchanged_run(
        &mut self,
        node: &NodeName,
        run: RunId,
        unchanged_ms: DurationMs,
        table: &JobTable,
        now: TimestampMs,
    ) {
        let Some(job) = table.job(&run.task.job) else { return };
        let spec = job.step_spec(run.task.step);
        let Some(spec) = spec.filter(|spec| !spec.long_running) else { return };
        let run_time_ms = self.run_times.predict_on(node, &job.submission.queue, spec);
        if unchanged_ms < stall_timeout(run_time_ms) {
            return;
        }
        if self.evictions.contains(&run) {
            return;
        }
        if spec.gang {
            if let Some(absent) = self.absent_member(&run, table) {
                log::warn!(
                    event = "gang_not_assembled", run:% = run, agent = node.as_str(),
                    absent:% = absent;
                    "a member of the gang is not executing; stopping the members that wait for it"
                );
                self.evictions.add(run);
                return;
            }
            if self.waits_for_slower_member(&run, table) {
                return;
            }
        }
        log::warn!(
            event = "run_stalled", run:% = run, agent = node.as_str();
            "the run makes no progress; stopping it and quarantining its worker"
        );
        self.evictions.add(run);
        if let Some(session) = self.sessions.get_mut(node) {
            session.health.quarantine(now);
        }
    }

    /// Returns a member of the gang that no observation of its worker lists. The other members wait
    /// for it, so that their own workers are not to blame.
    fn absent_member(&self, run: &RunId, table: &JobTable) -> Option<RunId> {
        let is_listed = |member: &RunId| {
            let node = &table.open_runs().get(member)?.incarnation.node;
            self.sessions.get(node)?.health.percent(member)
        };
        table.gang_members(run).find(|member| is_listed(member).is_none()).cloned()
    }

    /// Returns `true` if another member of the gang has made less progress. The members end
    /// together, so one on a fast worker shows no progress until the slowest member reaches the
    /// same point.
    fn waits_for_slower_member(&self, run: &RunId, table: &JobTable) -> bool {
        let percent = |member: &RunId| {
            let node = &table.open_runs().get(member)?.incarnation.node;
            self.sessions.get(node)?.health.percent(member)
        };
        let Some(own_percent) = percent(run) else { return false };
        table
            .gang_members(run)
            .any(|member| percent(member).is_some_and(|percent| percent < own_percent))
    }
}

/// Returns the changes for run ends that were not proposed yet: the ends of runs that are open in
/// the table, the completions of tasks whose run was given up, and one acknowledgement up to the
/// last of these ends.
fn record_ends(
    session: &mut Session,
    observation: &Observation,
    table: &JobTable,
    now: TimestampMs,
    run_times: &mut RunTimes,
) -> Vec<TableChange> {
    let mut changes = Vec::new();
    let recorded_end = session.proposed_end.max(table.acknowledged_end(&observation.incarnation));
    let mut last_end = recorded_end;
    for ended in observation.ended.iter().filter(|ended| ended.number > recorded_end) {
        last_end = last_end.max(ended.number);
        if ended.outcome == RunOutcome::Done
            && let Some(run_time_ms) = session.health.run_time_ms(&ended.run, observation.clock_ms)
        {
            record_run_time(&ended.run, run_time_ms, table, run_times);
        }
        session.health.on_end(&ended.run, ended.outcome, now);
        if table.open_runs().contains_key(&ended.run) {
            changes.push(TableChange::End(RunEnd {
                run: ended.run.clone(),
                outcome: ended.outcome,
                checkpoint: ended.checkpoint.clone(),
            }));
        } else if ended.outcome == RunOutcome::Done && table.may_complete_late(&ended.run) {
            changes.push(TableChange::CompleteLate(ended.run.clone()));
        }
    }
    if last_end > recorded_end {
        session.proposed_end = last_end;
        changes.push(TableChange::AcknowledgeEnds(observation.incarnation.clone(), last_end));
    }
    changes
}

fn record_run_time(
    run: &RunId,
    run_time_ms: DurationMs,
    table: &JobTable,
    run_times: &mut RunTimes,
) {
    let Some(job) = table.job(&run.task.job) else { return };
    let Some(spec) = job.step_spec(run.task.step) else { return };
    // The members of a gang end together and count once.
    if !spec.long_running && (!spec.gang || run.task.index == 0) {
        let speed = slowest_speed(run, spec, table, run_times);
        run_times.record(&job.submission.queue, spec, run_time_ms, speed);
    }
}

/// Returns the speed of the run's machine; for a gang, that of the slowest member whose end is not
/// stored yet, since the members end together.
fn slowest_speed(run: &RunId, spec: &StepSpec, table: &JobTable, run_times: &RunTimes) -> f64 {
    let members = table.gang_members(run).filter(|member| spec.gang || *member == run);
    let nodes = members.filter_map(|member| table.open_runs().get(member));
    let speeds = nodes.map(|open| run_times.speed(&open.incarnation.node));
    speeds.min_by(f64::total_cmp).unwrap_or(1.0)
}

/// Updates the order state of each open run of the worker. An incomplete observation does not show
/// that a run is missing, since its end may be one of those that are not listed.
///
/// Returns the ends of runs that were stopped before they began.
fn update_order_states(
    session: &mut Session,
    observation: &Observation,
    table: &JobTable,
) -> Vec<TableChange> {
    let mut changes = Vec::new();
    let is_complete = observation.is_complete();
    let ended_runs: FastHashSet<&RunId> =
        observation.ended.iter().map(|ended| &ended.run).collect();
    let executing_runs: FastHashSet<&RunId> =
        observation.running.iter().map(|row| &row.run).collect();
    for run in table.runs_on(&observation.incarnation) {
        let ended = ended_runs.contains(run);
        let running = executing_runs.contains(run);
        let order = session.orders.get(run).copied();
        let next = match order {
            // The end has been proposed to the table; the run needs no more orders.
            _ if ended => Some(OrderState::Active { missing_count: 0 }),
            None if running => Some(OrderState::Active { missing_count: 0 }),
            Some(OrderState::Stopping { .. }) if running => None,
            _ if running => Some(OrderState::Active { missing_count: 0 }),
            _ if !is_complete => None,
            Some(OrderState::Active { missing_count } | OrderState::Unknown { missing_count })
                if missing_count + 1 >= MISSING_OBSERVATION_COUNT =>
            {
                log::warn!(
                    event = "run_missing", run:% = run,
                    agent = observation.incarnation.node.as_str();
                    "the worker does not list the run; it is barred before its task begins again"
                );
                Some(OrderState::Stopping { sent_at: None })
            }
            Some(OrderState::Active { missing_count }) => {
                Some(OrderState::Active { missing_count: missing_count + 1 })
            }
            Some(OrderState::Unknown { missing_count }) => {
                Some(OrderState::Unknown { missing_count: missing_count + 1 })
            }
            Some(OrderState::Stopping { .. }) if observation.stopped.contains(run) => {
                // Neither running nor ended after a confirmed stop: the run never began, and the
                // stop bars it from beginning.
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

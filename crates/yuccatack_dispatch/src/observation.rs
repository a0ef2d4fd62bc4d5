//! What the leader learns from a look at a worker: ends, runs that began or are missing, stalls.

use yuccatack_core::{NodeName, TimestampMs};
use yuccatack_runs::{JobTable, RunEnd, RunId, RunOutcome};

use crate::dispatcher::{Dispatcher, TableChange};
use crate::lease::ClockReading;
use crate::protocol::Observation;
use crate::session::{OrderState, Session};

/// In how many observations in a row a run must be missing. One may have been made before the run
/// began, and the answers of worker and agent may overtake each other.
const MISSING_LIMIT: u8 = 2;

impl Dispatcher {
    pub(crate) fn on_observation(
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
            let node = &table.open_runs().get(member)?.incarnation.node;
            self.sessions.get(node)?.health.percent(member)
        };
        let Some(own_percent) = percent(run) else { return false };
        table
            .gang_members(run)
            .any(|member| percent(member).is_some_and(|percent| percent < own_percent))
    }
}

/// Proposes the ends that the table does not have yet.
fn note_ends(
    session: &mut Session,
    observation: &Observation,
    table: &JobTable,
    now: TimestampMs,
) -> Vec<TableChange> {
    let mut changes = Vec::new();
    let known = session.proposed_end.max(table.acknowledged_end(&observation.incarnation));
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
        changes.push(TableChange::AcknowledgeEnds(observation.incarnation.clone(), last));
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
    for run in table.runs_on(&observation.incarnation) {
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

//! Ends of runs whose worker is lost.
//!
//! Answers workers that crash, restart or are cut off: their runs are given up as soon as they cannot
//! execute any more, so that their tasks begin elsewhere.

use std::collections::BTreeMap;

use yuccatack_core::{DurationMs, NodeName, TimestampMs};
use yuccatack_runs::{JobTable, OpenRun, RunEnd, RunId, RunOutcome, WorkerIncarnation};

use crate::lease::max_real_duration;
use crate::protocol::WorkerState;
use crate::session::Session;
use crate::table_change::TableChange;

/// Replaces the state of a worker and returns the ends of the runs of its other incarnations.
pub(crate) fn record_state(
    sessions: &mut BTreeMap<NodeName, Session>,
    node: &NodeName,
    state: WorkerState,
    table: &JobTable,
    now: TimestampMs,
) -> Vec<TableChange> {
    let session = sessions.entry(node.clone()).or_default();
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
    let ends = lost_run_ends(sessions, table, |other| {
        other.node == incarnation.node && *other != incarnation
    });
    sessions.entry(node.clone()).or_default().begin_incarnation(state, now);
    ends
}

/// Forgets the state of a worker that has left and returns the ends of its runs.
pub(crate) fn record_departure(
    sessions: &mut BTreeMap<NodeName, Session>,
    node: &NodeName,
    incarnation: &WorkerIncarnation,
    table: &JobTable,
) -> Vec<TableChange> {
    log::info!(
        event = "worker_left", agent = node.as_str(), life:% = incarnation;
        "the worker has left; its open runs are lost"
    );
    let ends = lost_run_ends(sessions, table, |other| other == incarnation);
    if let Some(session) = sessions.get_mut(node)
        && session.incarnation() == Some(incarnation)
    {
        session.state = None;
    }
    ends
}

/// Returns the ends of runs whose lease must have expired or whose worker restarted.
pub(crate) fn expired_run_ends(
    sessions: &BTreeMap<NodeName, Session>,
    table: &JobTable,
    leading_since: TimestampMs,
    lease_ms: DurationMs,
    now: TimestampMs,
) -> Vec<TableChange> {
    let earlier_leases_expire_at = leading_since + max_real_duration(lease_ms);
    lost_run_ends(sessions, table, |incarnation| {
        let Some(session) = sessions.get(&incarnation.node) else {
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
fn lost_run_ends<Predicate>(
    sessions: &BTreeMap<NodeName, Session>,
    table: &JobTable,
    is_lost: Predicate,
) -> Vec<TableChange>
where
    Predicate: Fn(&WorkerIncarnation) -> bool,
{
    let runs = table.open_runs().iter().filter(|(_, open)| is_lost(&open.incarnation));
    let end = |(run, open): (&RunId, &OpenRun)| {
        let session = sessions.get(&open.incarnation.node);
        TableChange::End(RunEnd {
            run: run.clone(),
            outcome: RunOutcome::WorkerLost,
            checkpoint: session.and_then(|session| session.health.checkpoint(run)),
        })
    };
    runs.map(end).collect()
}

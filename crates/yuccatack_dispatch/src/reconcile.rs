//! Which orders bring each worker to what the table says.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccatack_core::{DurationMs, FastHashMap, FastHashSet, JobName, NodeName, TimestampMs};
use yuccatack_runs::{JobTable, RunId};

use crate::protocol::{Orders, StartOrder};
use crate::session::{OrderState, Session};
use crate::settings::{DispatchSettings, START_RESULT_LIMIT, STOP_RESEND_SLACK};

/// A run of a whole gang.
type GangRun = (JobName, u32, u32, u32);

/// What the orders follow from.
pub(crate) struct Reconciliation<'a> {
    pub settings: &'a DispatchSettings,
    pub table: &'a JobTable,
    /// Runs that must stop although their job goes on.
    pub evicted: &'a FastHashSet<RunId>,
    pub token: u64,
    pub now: TimestampMs,
}

impl Reconciliation<'_> {
    /// The orders that are due, and a renewed lease where a newer clock reading allows one.
    pub fn orders(&self, sessions: &mut BTreeMap<NodeName, Session>) -> Vec<(NodeName, Orders)> {
        let broken = self.broken_gangs(sessions);
        let mut all = Vec::new();
        for (node, session) in sessions.iter_mut().filter(|(_, session)| session.connected) {
            session.orders.retain(|run, _| self.table.open_runs().contains_key(run));
            if let Some(orders) = self.orders_of(session, &broken) {
                all.push((node.clone(), orders));
            }
        }
        all
    }

    fn orders_of(&self, session: &mut Session, broken: &FastHashSet<GangRun>) -> Option<Orders> {
        let state = session.state.as_ref()?;
        let (incarnation, draining) = (state.incarnation.clone(), state.draining);
        let lease_until_clock_ms = self.grant(session);
        let acknowledged_end = self.table.acknowledged_end(&incarnation);
        let news_of_ends = acknowledged_end > session.told_noted_end;
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        for run in self.table.runs_on(&incarnation) {
            let wanted = self.is_wanted(run, broken);
            match session.orders.get(run).copied() {
                None if wanted && !draining => {
                    if let Some(order) = self.start_order(session, run) {
                        session
                            .orders
                            .insert(run.clone(), OrderState::Starting { sent_at: self.now });
                        starts.push(order);
                    }
                }
                Some(OrderState::Starting { sent_at }) if wanted => {
                    if self.now.since(sent_at) > START_RESULT_LIMIT {
                        let unknown = OrderState::Unknown { missing_count: 0 };
                        session.orders.insert(run.clone(), unknown);
                    }
                }
                Some(OrderState::Active { .. } | OrderState::Unknown { .. }) if wanted => {}
                Some(OrderState::Stopping { sent_at: Some(sent_at) })
                    if self.now.since(sent_at) <= self.stop_resend_interval() => {}
                _ => {
                    let stopping = OrderState::Stopping { sent_at: Some(self.now) };
                    session.orders.insert(run.clone(), stopping);
                    stops.push(run.clone());
                }
            }
        }
        let renewed = lease_until_clock_ms.is_some();
        if !renewed && !news_of_ends && starts.is_empty() && stops.is_empty() {
            return None;
        }
        session.told_noted_end = acknowledged_end;
        Some(Orders {
            token: self.token,
            incarnation,
            acknowledged_end,
            lease_until_clock_ms,
            starts,
            stops,
        })
    }

    fn stop_resend_interval(&self) -> DurationMs {
        self.settings.stop_ms + STOP_RESEND_SLACK
    }

    fn grant(&self, session: &mut Session) -> Option<u64> {
        let base = session.base?;
        if session.granted_from == Some(base) {
            return None;
        }
        session.granted_from = Some(base);
        let until_clock_ms = base.clock_ms + self.settings.lease_ms.get();
        session.lease_until_clock_ms = session.lease_until_clock_ms.max(until_clock_ms);
        Some(until_clock_ms)
    }

    fn start_order(&self, session: &mut Session, run: &RunId) -> Option<StartOrder> {
        let base = session.base?;
        let job = self.table.job(&run.task.job)?;
        let spec = job.step_spec(run.task.step)?;
        let until_clock_ms = base.clock_ms + self.settings.lease_ms.get();
        session.lease_until_clock_ms = session.lease_until_clock_ms.max(until_clock_ms);
        let step = &job.occurrences.get(&run.task.occurrence)?.steps[run.task.step as usize];
        let checkpoint = step.checkpoint(spec, run.task.index);
        Some(StartOrder {
            run: run.clone(),
            payload: Arc::clone(&job.submission.spec.payload),
            until_clock_ms,
            checkpoint: checkpoint.map(|held| Arc::clone(&held.value)),
        })
    }

    fn is_wanted(&self, run: &RunId, broken: &FastHashSet<GangRun>) -> bool {
        let active = self.table.job(&run.task.job).is_some_and(|job| !job.phase.is_final());
        active && !self.evicted.contains(run) && !broken.contains(&gang_run(run))
    }

    /// Gangs of which a member has ended or must stop; the others only wait for it in vain.
    fn broken_gangs(&self, sessions: &BTreeMap<NodeName, Session>) -> FastHashSet<GangRun> {
        let mut members: FastHashMap<GangRun, u32> = FastHashMap::default();
        let mut broken = FastHashSet::default();
        for (run, open) in self.table.open_runs() {
            let Some(job) = self.table.job(&run.task.job) else { continue };
            let Some(spec) = job.step_spec(run.task.step).filter(|spec| spec.gang) else {
                continue;
            };
            let key = gang_run(run);
            let count = members.entry(key.clone()).or_default();
            *count += 1;
            let order =
                sessions.get(&open.incarnation.node).and_then(|session| session.orders.get(run));
            let stopping = matches!(order, Some(OrderState::Stopping { .. }));
            if stopping || self.evicted.contains(run) {
                broken.insert(key);
            } else if *count == spec.task_count {
                // Complete so far; a member seen later can only be part of another run.
                members.remove(&key);
            }
        }
        for (key, _) in members {
            let done = self.table.job(&key.0).is_none_or(|job| {
                job.occurrences
                    .get(&key.1)
                    .is_some_and(|occurrence| occurrence.steps[key.2 as usize].is_done())
            });
            if !done {
                broken.insert(key);
            }
        }
        broken
    }
}

fn gang_run(run: &RunId) -> GangRun {
    (run.task.job.clone(), run.task.occurrence, run.task.step, run.number)
}

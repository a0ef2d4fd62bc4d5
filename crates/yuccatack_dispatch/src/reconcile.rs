//! Orders that bring each worker in line with the job table.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccatack_core::{DurationMs, FastHashMap, FastHashSet, JobName, NodeName, TimestampMs};
use yuccatack_queues::EvacuationStore;
use yuccatack_runs::{JobTable, RunId, WorkerIncarnation};

use crate::protocol::{Orders, StartOrder};
use crate::session::{OrderState, Session};
use crate::settings::{
    DispatchSettings, MAX_READING_AGE_MS, START_RESULT_TIMEOUT_MS, STOP_RESEND_MARGIN_MS,
};

/// Bytes of starts that one message holds at most; a further start waits for the next pass. A message
/// that exceeds the limit of the agents' streams ends the stream.
const ORDERS_BYTES: usize = 1 << 20;

/// Bytes of starts in the messages of one pass to all agents, which are encoded at the same time.
const PASS_ORDERS_BYTES: usize = 8 << 20;

/// Bytes of a start beside its payload and checkpoint, with room for long names.
const START_BYTES: usize = 512;

/// Run of a whole gang: job, occurrence, step and run number.
type GangRun = (JobName, u32, u32, u32);

/// Inputs from which the orders of one scheduling pass follow.
pub(crate) struct Reconciliation<'a> {
    pub settings: &'a DispatchSettings,
    pub table: &'a JobTable,
    /// Runs that must stop although their job continues.
    pub evicted: &'a FastHashSet<RunId>,
    pub evacuations: &'a EvacuationStore,
    pub token: u64,
    pub now: TimestampMs,
}

impl Reconciliation<'_> {
    /// Returns the orders that are due, with a renewed lease if there is a newer clock reading.
    pub fn orders(&self, sessions: &mut BTreeMap<NodeName, Session>) -> Vec<(NodeName, Orders)> {
        let incomplete = self.incomplete_gangs(sessions);
        let mut all_orders = Vec::new();
        let mut remaining_bytes = PASS_ORDERS_BYTES;
        for (node, session) in sessions.iter_mut().filter(|(_, session)| session.connected) {
            session.orders.retain(|run, _| self.table.open_runs().contains_key(run));
            let limit_bytes = remaining_bytes.min(ORDERS_BYTES);
            if let Some(orders) = self.worker_orders(session, &incomplete, limit_bytes) {
                let start_bytes: usize = orders.starts.iter().map(order_bytes).sum();
                remaining_bytes = remaining_bytes.saturating_sub(start_bytes);
                all_orders.push((node.clone(), orders));
            }
        }
        all_orders
    }

    fn worker_orders(
        &self,
        session: &mut Session,
        incomplete: &FastHashSet<GangRun>,
        limit_bytes: usize,
    ) -> Option<Orders> {
        let state = session.state.as_ref()?;
        let incarnation = state.incarnation.clone();
        let takes_starts = !state.draining && !session.is_evacuated(self.evacuations);
        let lease_until_clock_ms = self.renew_lease(session);
        let acknowledged_end = self.table.acknowledged_end(&incarnation);
        let has_new_acknowledgement = acknowledged_end > session.sent_acknowledged_end;
        let mut starts = Vec::new();
        let mut start_bytes = 0;
        let mut stops = Vec::new();
        for run in self.table.runs_on(&incarnation) {
            let should_run = self.should_run(run, incomplete);
            match session.orders.get(run).copied() {
                // The run may execute since an earlier leadership. Observations show whether it does.
                None if should_run && !takes_starts => {
                    let unknown = OrderState::Unknown { missing_count: 0 };
                    session.orders.insert(run.clone(), unknown);
                }
                None if should_run && start_bytes >= limit_bytes => {}
                None if should_run => {
                    if let Some(order) = self.start_order(session, run) {
                        session
                            .orders
                            .insert(run.clone(), OrderState::Starting { sent_at: self.now });
                        start_bytes += order_bytes(&order);
                        starts.push(order);
                    }
                }
                Some(OrderState::Starting { sent_at }) if should_run => {
                    if self.now.since(sent_at) > START_RESULT_TIMEOUT_MS {
                        log::warn!(
                            event = "start_unanswered", run:% = run,
                            agent = incarnation.node.as_str();
                            "the agent did not report the result of the start; polls will show it"
                        );
                        let unknown = OrderState::Unknown { missing_count: 0 };
                        session.orders.insert(run.clone(), unknown);
                    }
                }
                Some(OrderState::Active { .. } | OrderState::Unknown { .. }) if should_run => {}
                Some(OrderState::Stopping { sent_at: Some(sent_at) })
                    if self.now.since(sent_at) <= self.stop_resend_interval() => {}
                _ => {
                    let stopping = OrderState::Stopping { sent_at: Some(self.now) };
                    session.orders.insert(run.clone(), stopping);
                    stops.push(run.clone());
                }
            }
        }
        stops.extend(self.unheld_stops(session, &incarnation));
        let renews_lease = lease_until_clock_ms.is_some();
        if !renews_lease && !has_new_acknowledgement && starts.is_empty() && stops.is_empty() {
            return None;
        }
        session.sent_acknowledged_end = acknowledged_end;
        Some(Orders {
            token: self.token,
            incarnation,
            acknowledged_end,
            lease_until_clock_ms,
            starts,
            stops,
        })
    }

    /// Returns the stops that are due for executing runs that the table does not hold: the table has
    /// taken them for lost, and their tasks may begin elsewhere.
    fn unheld_stops(&self, session: &mut Session, incarnation: &WorkerIncarnation) -> Vec<RunId> {
        // Until the leadership is confirmed, the table may lack commands of earlier leaders.
        if session.confirmed_reading.is_none() {
            return Vec::new();
        }
        let mut stops = Vec::new();
        for (run, sent_at) in &mut session.unheld_runs {
            let is_due = sent_at.is_none_or(|at| self.now.since(at) > self.stop_resend_interval());
            let is_held = || {
                let open = self.table.open_runs().get(run);
                open.is_some_and(|open| open.incarnation == *incarnation)
            };
            if is_due && !is_held() {
                log::warn!(
                    event = "unheld_run", run:% = run, life:% = incarnation;
                    "the worker executes a run that has ended by the job table; stopping it"
                );
                *sent_at = Some(self.now);
                stops.push(run.clone());
            }
        }
        stops
    }

    fn stop_resend_interval(&self) -> DurationMs {
        self.settings.stop_timeout_ms + STOP_RESEND_MARGIN_MS
    }

    fn renew_lease(&self, session: &mut Session) -> Option<u64> {
        let confirmed_reading = session.confirmed_reading?;
        if session.lease_reading == Some(confirmed_reading) {
            return None;
        }
        session.lease_reading = Some(confirmed_reading);
        let until_clock_ms =
            confirmed_reading.clock_ms.saturating_add(self.settings.lease_ms.get());
        session.lease_until_clock_ms = session.lease_until_clock_ms.max(until_clock_ms);
        Some(until_clock_ms)
    }

    fn start_order(&self, session: &mut Session, run: &RunId) -> Option<StartOrder> {
        let confirmed_reading = session.confirmed_reading?;
        let start_limit_ms = self.settings.start_limit_ms;
        // A later leader may have stored an evacuation since an old confirmation of the leadership.
        if start_limit_ms.is_some()
            && self.now.since(confirmed_reading.received_at) > MAX_READING_AGE_MS
        {
            return None;
        }
        let job = self.table.job(&run.task.job)?;
        let spec = job.step_spec(run.task.step)?;
        let until_clock_ms =
            confirmed_reading.clock_ms.saturating_add(self.settings.lease_ms.get());
        session.lease_until_clock_ms = session.lease_until_clock_ms.max(until_clock_ms);
        let step = &job.occurrences.get(&run.task.occurrence)?.steps[run.task.step as usize];
        let checkpoint = step.checkpoint(spec, run.task.index);
        Some(StartOrder {
            run: run.clone(),
            payload: Arc::clone(&job.submission.spec.payload),
            until_clock_ms,
            checkpoint: checkpoint.map(|checkpoint| Arc::clone(&checkpoint.value)),
            begin_until_clock_ms: start_limit_ms
                .map(|limit_ms| confirmed_reading.clock_ms.saturating_add(limit_ms.get())),
        })
    }

    fn should_run(&self, run: &RunId, incomplete: &FastHashSet<GangRun>) -> bool {
        let active = self.table.job(&run.task.job).is_some_and(|job| !job.phase.is_final());
        active && !self.evicted.contains(run) && !incomplete.contains(&gang_run(run))
    }

    /// Returns the gang runs of which a member has ended or must stop. Their other members would
    /// wait for it indefinitely, so they are stopped too.
    fn incomplete_gangs(&self, sessions: &BTreeMap<NodeName, Session>) -> FastHashSet<GangRun> {
        let mut open_member_counts: FastHashMap<GangRun, u32> = FastHashMap::default();
        let mut incomplete = FastHashSet::default();
        for (run, open) in self.table.open_runs() {
            let Some(job) = self.table.job(&run.task.job) else { continue };
            let Some(spec) = job.step_spec(run.task.step).filter(|spec| spec.gang) else {
                continue;
            };
            let key = gang_run(run);
            let count = open_member_counts.entry(key.clone()).or_default();
            *count += 1;
            let order =
                sessions.get(&open.incarnation.node).and_then(|session| session.orders.get(run));
            let stopping = matches!(order, Some(OrderState::Stopping { .. }));
            if stopping || self.evicted.contains(run) {
                incomplete.insert(key);
            } else if *count == spec.task_count {
                // All members are open; any further one would belong to another run of the gang.
                open_member_counts.remove(&key);
            }
        }
        for (key, _) in open_member_counts {
            let done = self.table.job(&key.0).is_none_or(|job| {
                job.occurrences
                    .get(&key.1)
                    .is_some_and(|occurrence| occurrence.steps[key.2 as usize].is_done())
            });
            if !done {
                incomplete.insert(key);
            }
        }
        incomplete
    }
}

fn order_bytes(order: &StartOrder) -> usize {
    let checkpoint_bytes = order.checkpoint.as_ref().map_or(0, |checkpoint| checkpoint.len());
    START_BYTES + order.payload.len() + checkpoint_bytes
}

fn gang_run(run: &RunId) -> GangRun {
    (run.task.job.clone(), run.task.occurrence, run.task.step, run.number)
}

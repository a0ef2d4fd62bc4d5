//! Simulated worker with its agent: capacity, runs, leases and the faults that it can have.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::{Rng, RngExt};
use yuccatack_core::{DurationMs, FastHashMap, Resources, TimestampMs};
use yuccatack_dispatch::{EndedRun, Observation, RunningRun, StartOrder, StartResult, WorkerState};
use yuccatack_runs::{RunId, RunOutcome, TaskId};

/// Time that a worker takes at most to stop a run.
pub const STOP_TIMEOUT_MS: u64 = 400;

/// Conduct of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Conduct {
    Sound,
    /// Fails this percentage of the runs shortly after their start.
    FailsRuns(u8),
    /// Answers this percentage of the starts with a refusal and does nothing.
    RefusesStarts(u8),
    /// Neither answers nor carries out this percentage of the starts.
    IgnoresStarts(u8),
    /// Leaves this percentage of the orders unanswered and carries them out seconds later.
    AppliesLate(u8),
    /// Keeps its runs from making progress.
    Stalls,
    /// Runs at an eighth of the speed.
    Slow,
    /// Has no connection to the leader.
    Cut,
    /// Is about to leave.
    Draining,
    /// Is not running.
    Down,
}

/// Run that executes on a worker.
#[derive(Clone, Debug)]
pub struct Execution {
    pub begun_at: TimestampMs,
    pub completed_ms: f64,
    pub stops_at: Option<TimestampMs>,
    /// Time at which the run fails by the worker's fault.
    pub fails_at: Option<TimestampMs>,
}

/// Order that is carried out late.
#[derive(Clone, Debug)]
pub enum LateOrder {
    Start(StartOrder, u64),
    Stop(RunId),
}

pub struct SimulatedWorker {
    pub state: WorkerState,
    pub conduct: Conduct,
    /// Time at which the last fault ended.
    pub sound_since: TimestampMs,
    pub running: BTreeMap<RunId, Execution>,
    pub late_orders: Vec<(TimestampMs, LateOrder)>,
    /// Speed of the worker in percent of the usual one.
    pub speed_percent: u64,
    /// Number of ends that the worker lists at a time.
    pub listed_end_count: usize,
    pub next_poll_at: TimestampMs,
    /// `true` while the agent has a stream to the leader.
    pub attached: bool,
    /// Time from which the agent has had no contact with the leader.
    pub silent_since: Option<TimestampMs>,
    clock_offset_ms: u64,
    token: u64,
    lease_until_clock_ms: u64,
    ended: Vec<EndedRun>,
    last_end: u64,
    /// Highest run number of each task that may not begin any more.
    barred: FastHashMap<TaskId, u32>,
    confirmed_stops: Vec<RunId>,
}

impl SimulatedWorker {
    pub fn new(
        state: WorkerState,
        speed_percent: u64,
        listed_end_count: usize,
        now: TimestampMs,
    ) -> Self {
        Self {
            state,
            conduct: Conduct::Sound,
            sound_since: now,
            running: BTreeMap::new(),
            late_orders: Vec::new(),
            speed_percent,
            listed_end_count,
            next_poll_at: now,
            attached: false,
            silent_since: None,
            clock_offset_ms: 5_000_000,
            token: 0,
            lease_until_clock_ms: 0,
            ended: Vec::new(),
            last_end: 0,
            barred: FastHashMap::default(),
            confirmed_stops: Vec::new(),
        }
    }

    pub fn is_up(&self) -> bool {
        self.conduct != Conduct::Down
    }

    pub fn reaches_leader(&self) -> bool {
        !matches!(self.conduct, Conduct::Down | Conduct::Cut)
    }

    fn clock_ms(&self, now: TimestampMs) -> u64 {
        now.get() + self.clock_offset_ms
    }

    /// Ends all runs without a trace; the worker begins its next incarnation when it comes back.
    pub fn crash(&mut self) {
        self.running.clear();
        self.late_orders.clear();
        self.ended.clear();
        self.last_end = 0;
        self.barred.clear();
        self.confirmed_stops.clear();
        self.token = 0;
        self.lease_until_clock_ms = 0;
        self.state.incarnation.started_at_unix_ms += 1;
        self.state.draining = false;
    }

    pub fn renew_lease(&mut self, until_clock_ms: u64, token: u64) {
        self.token = self.token.max(token);
        self.lease_until_clock_ms = self.lease_until_clock_ms.max(until_clock_ms);
    }

    pub fn acknowledge_ends(&mut self, number: u64) {
        self.ended.retain(|end| end.number > number);
    }

    /// Carries out a start and returns its result.
    pub fn start<Random>(
        &mut self,
        order: &StartOrder,
        token: u64,
        free: Resources,
        need: Resources,
        now: TimestampMs,
        random: &mut Random,
    ) -> StartResult
    where
        Random: Rng,
    {
        let barred = self.barred.get(&order.run.task).copied().unwrap_or(0);
        if token < self.token
            || order.run.number <= barred
            || order.until_clock_ms <= self.clock_ms(now)
        {
            return StartResult::Refused;
        }
        self.token = token;
        if self.running.contains_key(&order.run) {
            return StartResult::Begun;
        }
        if !free.contains(&need) {
            return StartResult::NoRoom;
        }
        let fails = matches!(self.conduct, Conduct::FailsRuns(percent) if draw(percent, random));
        let fails_at = fails.then(|| now + DurationMs::new(random.random_range(50..800)));
        let completed_ms = order.checkpoint.as_ref().and_then(|text| text.parse().ok());
        let execution = Execution {
            begun_at: now,
            completed_ms: completed_ms.unwrap_or(0.0),
            stops_at: None,
            fails_at,
        };
        self.lease_until_clock_ms = self.lease_until_clock_ms.max(order.until_clock_ms);
        self.running.insert(order.run.clone(), execution);
        StartResult::Begun
    }

    /// Bars the run from beginning and stops it if it executes.
    pub fn stop<Random>(&mut self, run: &RunId, now: TimestampMs, random: &mut Random)
    where
        Random: Rng,
    {
        let barred = self.barred.entry(run.task.clone()).or_default();
        *barred = run.number.max(*barred);
        let stops_at = now + DurationMs::new(random.random_range(50..STOP_TIMEOUT_MS));
        if let Some(execution) = self.running.get_mut(run) {
            execution.stops_at.get_or_insert(stops_at);
        }
        if !self.confirmed_stops.contains(run) {
            self.confirmed_stops.push(run.clone());
        }
    }

    pub fn end(&mut self, run: &RunId, outcome: RunOutcome, checkpoint: Option<Arc<str>>) {
        self.running.remove(run);
        let barred = self.barred.entry(run.task.clone()).or_default();
        *barred = run.number.max(*barred);
        self.last_end += 1;
        self.ended.push(EndedRun { number: self.last_end, run: run.clone(), outcome, checkpoint });
    }

    /// Returns `true` if the task has completed here and the leader has not stored that yet.
    pub fn has_unread_completion(&self, task: &TaskId) -> bool {
        self.ended.iter().any(|end| end.run.task == *task && end.outcome == RunOutcome::Done)
    }

    pub fn lease_expired(&self, now: TimestampMs) -> bool {
        self.lease_until_clock_ms <= self.clock_ms(now)
    }

    /// Returns the result of a poll, with the progress of each run.
    pub fn observe<Percent>(&mut self, now: TimestampMs, percent: Percent) -> Observation
    where
        Percent: Fn(&RunId, &Execution) -> u8,
    {
        let row = |(run, execution): (&RunId, &Execution)| RunningRun {
            run: run.clone(),
            checkpoint: None,
            percent: percent(run, execution),
            load: None,
        };
        Observation {
            incarnation: self.state.incarnation.clone(),
            clock_ms: self.clock_ms(now),
            running: self.running.iter().map(row).collect(),
            ended: self.ended.iter().take(self.listed_end_count).cloned().collect(),
            stopped: std::mem::take(&mut self.confirmed_stops),
            lists_all_ends: Some(self.ended.len() < self.listed_end_count),
        }
    }
}

/// Returns `true` with a probability of `percent`.
pub fn draw<Random>(percent: u8, random: &mut Random) -> bool
where
    Random: Rng,
{
    random.random_range(0..100) < u32::from(percent)
}

//! Replays a scenario through the scheduler on a virtual clock.

use std::collections::{BTreeMap, BTreeSet};

use yuccatack_core::prelude::*;
use yuccatack_leases::*;
use yuccatack_placement::{DemandProfile, WeightedShape, fragmentation, remainder};
use yuccatack_stand_ins::{WorkerBehaviour, WorkerModel};

use crate::mix::{ARRIVAL_MS, Fault, Scenario};

/// Time for the delivery and handling of a message, the same for every strategy.
const STEP_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 3_000;
const SAMPLE_MS: u64 = 10_000;
/// Time for which the run continues after the last arrival, so that the backlog drains.
const DRAIN_MS: u64 = 6 * 3_600_000;

/// Measurements of one run.
#[derive(Default)]
pub struct Outcome {
    /// Time from submission to success of urgent jobs, in seconds.
    pub urgent_completion_s: Vec<f64>,
    /// Time from submission to the first start of urgent jobs, in seconds.
    pub urgent_start_s: Vec<f64>,
    /// Time from decision to start of jobs whose claim had to reclaim capacity, in seconds.
    pub reclaim_s: Vec<f64>,
    /// Time from submission to the first start of gangs, in seconds.
    pub gang_wait_s: Vec<f64>,
    /// Time from submission to success of all other jobs, in seconds.
    pub other_completion_s: Vec<f64>,
    /// Samples of the number of free accelerators.
    pub free: Vec<f64>,
    /// Samples of the number of free accelerators that cannot serve the shapes of the gangs.
    pub unusable: Vec<f64>,
    /// Samples of the number of free accelerators left after packing complete gangs.
    pub remainder: Vec<f64>,
    /// Number of attempts moved by checkpoint.
    pub move_count: u64,
    /// Samples of the share of accelerators in use, from 0 to 1.
    pub utilisation: Vec<f64>,
    /// Number of accepted jobs that did not succeed, without those that their caller cancels.
    pub unfinished: usize,
}

struct Engine {
    now: u64,
    table: LeaseTable,
    leader: Scheduler,
    workers: Vec<WorkerModel>,
    off_until: Vec<u64>,
    next_heartbeat: Vec<u64>,
    incarnation: u64,
    first_start: BTreeMap<JobName, u64>,
    reclaiming: BTreeMap<JobName, u64>,
    progress: BTreeMap<JobName, u64>,
    run_times: BTreeMap<JobName, u64>,
    reclaim_s: Vec<f64>,
    move_count: u64,
}

impl Engine {
    fn time(&self) -> TimestampMs {
        TimestampMs::new(self.now)
    }

    fn apply(&mut self, command: LeaseCommand) -> Vec<LeaseEvent> {
        let began = match &command {
            LeaseCommand::BeginAttempt(begin) if begin.claim.is_some() => Some(begin.job.clone()),
            _ => None,
        };
        let events = self.table.apply(command);
        if let Some(job) = began
            && let Some(attempt) = self.table.job(&job).and_then(|job| job.attempt())
            && attempt.phase == AttemptPhase::Reclaiming
        {
            self.reclaiming.insert(job, self.now);
        }
        for event in &events {
            match event {
                LeaseEvent::AttemptStarted(job, _) => {
                    self.first_start.entry(job.clone()).or_insert(self.now);
                    if let Some(at) = self.reclaiming.remove(job) {
                        self.reclaim_s.push((self.now - at) as f64 / 1000.0);
                    }
                }
                LeaseEvent::AttemptStopping(_, _, StopReason::Moved) => self.move_count += 1,
                // A checkpoint saves the progress, so the next attempt runs for a shorter time.
                LeaseEvent::JobRequeued(job) => self.reduce_remaining_run_time(&job.clone()),
                _ => {}
            }
        }
        events
    }

    fn reduce_remaining_run_time(&mut self, name: &JobName) {
        let Some(job) = self.table.job(name) else { return };
        if job.saved_run_time_ms <= self.progress.get(name).copied().unwrap_or_default() {
            return;
        }
        self.progress.insert(name.clone(), job.saved_run_time_ms);
        let total = self.run_times.get(name).copied().unwrap_or_default();
        let remaining = DurationMs::new(total.saturating_sub(job.saved_run_time_ms).max(1_000));
        for worker in &mut self.workers {
            worker.set_run_time(name, remaining);
        }
    }

    fn heartbeat(&mut self, position: usize) {
        if self.now < self.off_until[position] {
            return;
        }
        let time = self.time();
        self.workers[position].tick(time);
        let report = self.workers[position].heartbeat();
        let (reply, commands) = self.leader.heartbeat(&self.table, report, time);
        self.workers[position].handle_reply(&reply, time, time);
        self.next_heartbeat[position] = self.now + HEARTBEAT_MS;
        for command in commands {
            self.apply(command);
        }
    }

    /// Processes due heartbeats and heartbeats of workers with commands, then schedules. Returns
    /// `false` when there was nothing to do.
    fn run_round(&mut self) -> bool {
        let time = self.time();
        let mut due = BTreeSet::new();
        for (position, worker) in self.workers.iter().enumerate() {
            if self.now < self.off_until[position] {
                continue;
            }
            let name = &worker.registration().worker;
            let event = worker.next_event().is_some_and(|at| at <= time);
            let commands = !self.leader.commands_for(&self.table, name).is_empty();
            if event || commands || self.next_heartbeat[position] <= self.now {
                due.insert(position);
            }
        }
        for position in &due {
            self.heartbeat(*position);
            // The second heartbeat reports the results of the commands.
            self.heartbeat(*position);
        }
        let commands = self.leader.schedule(&self.table, time);
        let busy = !commands.is_empty();
        for command in commands {
            self.apply(command);
        }
        busy || !due.is_empty()
    }
}

/// Runs `scenario` with one strategy and returns its measurements.
pub fn replay(scenario: &Scenario, strategy: Strategy) -> Outcome {
    let count = scenario.workers.len();
    let models = scenario
        .workers
        .iter()
        .map(|worker| WorkerModel::new(worker.clone(), DurationMs::from_seconds(60)));
    let mut engine = Engine {
        now: 1_000,
        table: LeaseTable::new(),
        leader: Scheduler::new(TimestampMs::new(1_000)).with_strategy(strategy),
        workers: models.collect(),
        off_until: vec![0; count],
        next_heartbeat: vec![0; count],
        incarnation: 1_000,
        first_start: BTreeMap::new(),
        reclaiming: BTreeMap::new(),
        progress: BTreeMap::new(),
        run_times: BTreeMap::new(),
        reclaim_s: Vec::new(),
        move_count: 0,
    };
    let policy = PolicySpec { reserve_worker_count: 0, ..PolicySpec::default() };
    engine.apply(LeaseCommand::SetPolicy(policy));
    for position in 0..count {
        engine.heartbeat(position);
        engine.heartbeat(position);
    }
    // The baselines do not support guarantees.
    if strategy == Strategy::Policy {
        for guarantee in &scenario.guarantees {
            let events = engine.apply(LeaseCommand::SetGuarantee(guarantee.clone()));
            assert!(matches!(events[0], LeaseEvent::GuaranteeAccepted(_)), "{events:?}");
        }
    }
    let profile = DemandProfile::new(
        scenario
            .measured
            .iter()
            .map(|(shape, weight)| WeightedShape { shape: *shape, weight: *weight })
            .collect(),
    );
    let origin = engine.now;
    let mut outcome = Outcome::default();
    let mut next_arrival = 0;
    let mut cancellations: BTreeSet<(u64, JobName)> = BTreeSet::new();
    let mut next_sample = origin;
    let end = origin + ARRIVAL_MS + DRAIN_MS;
    while engine.now < end {
        let elapsed = engine.now - origin;
        while let Some(arrival) = scenario.arrivals.get(next_arrival).filter(|a| a.at <= elapsed) {
            next_arrival += 1;
            let name = arrival.job.name.clone();
            engine.run_times.insert(name.clone(), arrival.run_time_ms);
            for worker in &mut engine.workers {
                worker.set_run_time(&name, DurationMs::new(arrival.run_time_ms));
            }
            if let Some(at) = arrival.cancelled_at {
                cancellations.insert((origin + at, name));
            }
            let (job, at) = (arrival.job.clone(), engine.time());
            engine.apply(LeaseCommand::SubmitJob { job, at });
        }
        if cancellations.first().is_some_and(|(at, _)| *at <= engine.now) {
            let jobs = std::mem::take(&mut cancellations).into_iter().map(|(_, job)| job).collect();
            let at = engine.time();
            engine.apply(LeaseCommand::CancelJobs { jobs, at });
        }
        inject_faults(&mut engine, scenario, elapsed);
        let busy = engine.run_round();
        if engine.now >= next_sample {
            next_sample += SAMPLE_MS;
            if elapsed <= ARRIVAL_MS {
                sample(&engine, &profile, &mut outcome);
            }
            let idle =
                engine.table.waiting_job_count() == 0 && next_arrival == scenario.arrivals.len();
            let holding = engine.workers.iter().any(|worker| worker.active().next().is_some());
            if idle && !holding && elapsed > ARRIVAL_MS {
                break;
            }
        }
        engine.now = next_time(&engine, scenario, next_arrival, origin, next_sample, busy);
    }
    collect_outcome(&engine, scenario, origin, &mut outcome);
    outcome
}

fn next_time(
    engine: &Engine,
    scenario: &Scenario,
    next_arrival: usize,
    origin: u64,
    next_sample: u64,
    busy: bool,
) -> u64 {
    if busy {
        return engine.now + STEP_MS;
    }
    let mut next = next_sample;
    if let Some(arrival) = scenario.arrivals.get(next_arrival) {
        next = next.min(origin + arrival.at);
    }
    for (position, worker) in engine.workers.iter().enumerate() {
        if engine.now >= engine.off_until[position] {
            next = next.min(engine.next_heartbeat[position]);
            next = next.min(worker.next_event().map_or(u64::MAX, TimestampMs::get));
        }
    }
    next.max(engine.now + STEP_MS)
}

fn inject_faults(engine: &mut Engine, scenario: &Scenario, elapsed: u64) {
    for fault in &scenario.faults {
        match fault {
            Fault::Failing(position, from, to) => {
                let failing = (*from..*to).contains(&elapsed);
                let behaviour =
                    if failing { WorkerBehaviour::FailAll } else { WorkerBehaviour::Normal };
                engine.workers[*position].set_behaviour(behaviour);
            }
            Fault::Off(members, from, to) => {
                if !(*from..*to).contains(&elapsed) {
                    continue;
                }
                for position in members {
                    if engine.off_until[*position] > engine.now {
                        continue;
                    }
                    engine.incarnation += 1;
                    let incarnation = Incarnation::new(engine.incarnation);
                    let time = engine.time();
                    engine.workers[*position].restart(incarnation, time);
                    engine.off_until[*position] = engine.now + (to - elapsed);
                }
            }
        }
    }
}

fn sample(engine: &Engine, profile: &DemandProfile, outcome: &mut Outcome) {
    let cluster = engine.table.cluster();
    let free = cluster.free_accelerator_count() as f64;
    outcome.free.push(free);
    outcome.unusable.push(free * fragmentation(cluster, profile));
    outcome.remainder.push(free * remainder(cluster, profile));
    outcome.utilisation.push(1.0 - free / 88.0);
}

fn collect_outcome(engine: &Engine, scenario: &Scenario, origin: u64, outcome: &mut Outcome) {
    outcome.reclaim_s = engine.reclaim_s.clone();
    outcome.move_count = engine.move_count;
    for arrival in &scenario.arrivals {
        let Some(job) = engine.table.job(&arrival.job.name) else { continue };
        if arrival.cancelled_at.is_some() {
            continue;
        }
        let submitted = origin + arrival.at;
        let seconds = |at: u64| at.saturating_sub(submitted) as f64 / 1000.0;
        let wait = engine.first_start.get(&arrival.job.name).map(|at| seconds(*at));
        let finished = job.finished_at.map(|at| seconds(at.get()));
        let succeeded = job.phase == JobPhase::Succeeded;
        if !succeeded {
            outcome.unfinished += 1;
        }
        let name = arrival.job.name.as_str();
        if name.starts_with("urgent") {
            outcome.urgent_completion_s.extend(finished.filter(|_| succeeded));
            outcome.urgent_start_s.extend(wait);
        } else if name.starts_with("gang") {
            outcome.gang_wait_s.extend(wait);
            outcome.other_completion_s.extend(finished.filter(|_| succeeded));
        } else {
            outcome.other_completion_s.extend(finished.filter(|_| succeeded));
        }
    }
}

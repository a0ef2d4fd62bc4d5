//! Replays a scenario through the decision code on a virtual clock.

use std::collections::{BTreeMap, BTreeSet};

use yuccatack_core::prelude::*;
use yuccatack_leases::*;
use yuccatack_placement::{DemandProfile, WeightedShape, fragmentation, remainder};
use yuccatack_stand_ins::{Behaviour, WorkerModel};

use crate::mix::{ARRIVAL_MS, Fault, Scenario};

/// A message and its handling take this long; every strategy pays it alike.
const STEP_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 3_000;
const SAMPLE_MS: u64 = 10_000;
/// After the last arrival the run goes on this long, so that the backlog drains.
const DRAIN_MS: u64 = 6 * 3_600_000;

/// What one run showed.
#[derive(Default)]
pub struct Outcome {
    /// Submission to success, in seconds, of urgent jobs.
    pub urgent_completion_s: Vec<f64>,
    /// Submission to first start of urgent jobs.
    pub urgent_start_s: Vec<f64>,
    /// Decision to start of urgent jobs that had to reclaim.
    pub reclaim_s: Vec<f64>,
    /// Submission to first start of gangs.
    pub gang_wait_s: Vec<f64>,
    /// Submission to success of everything else.
    pub other_completion_s: Vec<f64>,
    /// Samples of free accelerators, of which the gangs' shapes cannot use some.
    pub free: Vec<f64>,
    /// Samples of the free accelerators that cannot serve the gangs' shapes.
    pub unusable: Vec<f64>,
    /// Samples of the free accelerators that whole gangs leave over.
    pub remainder: Vec<f64>,
    /// Moves by checkpoint.
    pub move_count: u64,
    /// Samples of the share of accelerators in use.
    pub utilisation: Vec<f64>,
    /// Jobs that did not finish.
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
                // A checkpoint keeps the work, so the next attempt is shorter.
                LeaseEvent::JobRequeued(job) => self.shorten(&job.clone()),
                _ => {}
            }
        }
        events
    }

    fn shorten(&mut self, name: &JobName) {
        let Some(job) = self.table.job(name) else { return };
        if job.saved_run_time_ms <= self.progress.get(name).copied().unwrap_or_default() {
            return;
        }
        self.progress.insert(name.clone(), job.saved_run_time_ms);
        let whole = self.run_times.get(name).copied().unwrap_or_default();
        let left = DurationMs::new(whole.saturating_sub(job.saved_run_time_ms).max(1_000));
        for worker in &mut self.workers {
            worker.set_run_time(name, left);
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
        self.workers[position].follow(&reply, time, time);
        self.next_heartbeat[position] = self.now + HEARTBEAT_MS;
        for command in commands {
            self.apply(command);
        }
    }

    /// One round: due heartbeats, decisions, and heartbeats of workers with commands.
    fn round(&mut self) -> bool {
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
            // The second heartbeat reports what the commands changed.
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

/// Runs `scenario` with one strategy.
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
    // The baselines know no guarantees.
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
        faults(&mut engine, scenario, elapsed);
        let busy = engine.round();
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
    collect(&engine, scenario, origin, &mut outcome);
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

fn faults(engine: &mut Engine, scenario: &Scenario, elapsed: u64) {
    for fault in &scenario.faults {
        match fault {
            Fault::Failing(position, from, to) => {
                let failing = (*from..*to).contains(&elapsed);
                let behaviour = if failing { Behaviour::FailAll } else { Behaviour::Normal };
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

fn collect(engine: &Engine, scenario: &Scenario, origin: u64, outcome: &mut Outcome) {
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

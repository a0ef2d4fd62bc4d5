//! One simulated day: callers, workers with their agents, and the leader.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::{DurationMs, FastHashMap, JobName, NodeName, Resources, TimestampMs};
use yuccatack_dispatch::{
    AgentMessage, DispatchSettings, Dispatcher, MachineSpeeds, Orders, PendingChanges, StartOrder,
    StartResult, TableChange, WorkerState,
};
use yuccatack_queues::ConfigurationStore;
use yuccatack_runs::{JobTable, RunId, RunOutcome};

use crate::checks::{Checks, free};
use crate::faults::{WorkerFault, WorkerFaultKind, draw_fault};
use crate::jobs::{SubmittedJob, draw_job};
use crate::support;
use crate::worker::{Conduct, Execution, LateOrder, SimulatedWorker, draw};

/// Step of the simulation.
const TICK: DurationMs = DurationMs::new(50);

/// Interval at which an agent polls its worker.
const POLL_INTERVAL_MS: u64 = 300;

/// Time after which an agent or the leader takes the other for lost.
const SILENCE_TIMEOUT: DurationMs = DurationMs::new(900);

/// Time that a worker may take to answer an order.
const ORDER_TIMEOUT: DurationMs = DurationMs::new(600);

/// Time that the members of a gang wait for each other.
const GANG_WAIT: DurationMs = DurationMs::new(4_000);

/// Longest lease that workers accept.
const MAX_LEASE: DurationMs = DurationMs::new(6_000);

/// Factor by which tasks take longer away from their data, and gangs that are spread over racks.
const FAR_FACTOR: f64 = 3.0;

/// Longest time between two scheduling decisions of a leader, beyond the time of a commit.
const DECISION_LIMIT: DurationMs = DurationMs::new(300);

/// Interval of the checks for jobs that could run, well below the time that they may be idle.
const CHECK_INTERVAL_MS: u64 = 200;

/// Time after the end of the traffic at which unfinished jobs are asked for, less the time for
/// which a job may be idle.
const FINISH_DELAY: DurationMs = DurationMs::new(11_000);

/// Time after the end of the traffic within which all jobs end. A task may take 11 s, on a slow worker
/// 8 times as long, and away from its data 3 times as long.
const DRAIN_LIMIT: DurationMs = DurationMs::new(1_200_000);

/// What the leader knows of the speeds of the machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KnownSpeeds {
    Unknown,
    Exact,
    /// Slow machines count as fast and the other way round.
    Inverted,
}

/// What happens on a day; the seed decides about the rest.
#[derive(Clone, Debug)]
pub struct DayPlan {
    pub worker_count: usize,
    pub rack_size: usize,
    pub traffic_ms: u64,
    /// Average demand of the submitted jobs in percent of the capacity.
    pub load_percent: u64,
    pub hopeless_percent: u8,
    pub fault_count: usize,
    /// Number of faults that last for the whole day.
    pub lasting_fault_count: usize,
    pub leader_change_count: usize,
    /// Percentage of the proposals that fail although the leader stays.
    pub failed_proposal_percent: u8,
    /// Time that the commit of a proposal takes.
    pub commit_ms: u64,
    /// `true` if the polls of the workers are spread over the interval.
    pub spread_polls: bool,
    /// Number of ends that a worker lists at a time.
    pub listed_end_count: usize,
    /// Speeds of the machines in percent; one of them is drawn for each worker.
    pub speeds_percent: [u64; 3],
    pub known_speeds: KnownSpeeds,
}

impl Default for DayPlan {
    fn default() -> Self {
        Self {
            worker_count: 30,
            rack_size: 6,
            traffic_ms: 25_000,
            load_percent: 90,
            hopeless_percent: 1,
            fault_count: 0,
            lasting_fault_count: 0,
            leader_change_count: 0,
            failed_proposal_percent: 0,
            commit_ms: TICK.get(),
            spread_polls: false,
            listed_end_count: 500,
            speeds_percent: [100, 100, 130],
            known_speeds: KnownSpeeds::Unknown,
        }
    }
}

/// Gang run: job, step and run number.
type GangRun = (JobName, u32, u32);

/// Executing member of a gang: its run, its own rate of progress, and its rack.
type Member = (RunId, f64, Option<Arc<str>>);

/// Message under way between an agent and the leader.
enum Delivery {
    Report(usize, AgentMessage),
    Order(usize, Orders),
}

struct Leader {
    dispatcher: Dispatcher,
    pending: PendingChanges<TimestampMs>,
    /// Batch of changes that is being committed, and `false` if it fails.
    in_flight: Option<(TimestampMs, Vec<TableChange>, bool)>,
    /// Time of the last scheduling decision.
    decided_at: TimestampMs,
}

pub struct Day {
    plan: DayPlan,
    random: ChaCha8Rng,
    now: TimestampMs,
    begins_at: TimestampMs,
    table: JobTable,
    configuration: ConfigurationStore,
    leader: Option<Leader>,
    token: u64,
    leader_back_at: TimestampMs,
    leader_changes: Vec<TimestampMs>,
    workers: Vec<SimulatedWorker>,
    faults: Vec<WorkerFault>,
    jobs: FastHashMap<JobName, SubmittedJob>,
    arrivals: Vec<(TimestampMs, SubmittedJob)>,
    deliveries: Vec<(TimestampMs, Delivery)>,
    checks: Checks,
}

impl Day {
    pub fn new(plan: DayPlan, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let begins_at = TimestampMs::new(100_000);
        let traffic_begins_at = begins_at + DurationMs::new(2_000);
        let traffic_ends_at = traffic_begins_at + DurationMs::new(plan.traffic_ms);
        let speeds = plan.speeds_percent;
        let mut workers: Vec<SimulatedWorker> = (0..plan.worker_count)
            .map(|index| {
                let speed_percent = speeds[random.random_range(0..speeds.len())];
                SimulatedWorker::new(
                    worker_state(index, plan.rack_size),
                    speed_percent,
                    plan.listed_end_count,
                    begins_at,
                )
            })
            .collect();
        if plan.spread_polls {
            for (index, worker) in (0u64..).zip(&mut workers) {
                let delay_ms = index * TICK.get() % POLL_INTERVAL_MS;
                worker.next_poll_at = begins_at + DurationMs::new(delay_ms);
            }
        }
        let mut fault =
            || draw_fault(plan.worker_count, traffic_begins_at, traffic_ends_at, &mut random);
        let mut faults: Vec<WorkerFault> = (0..plan.fault_count).map(|_| fault()).collect();
        for _ in 0..plan.lasting_fault_count {
            faults.push(WorkerFault { ends_at: TimestampMs::new(u64::MAX / 2), ..fault() });
        }
        let mut moment =
            || traffic_begins_at + DurationMs::new(random.random_range(0..plan.traffic_ms));
        let leader_changes = (0..plan.leader_change_count).map(|_| moment()).collect();
        let arrivals = arrivals(&plan, traffic_begins_at, &mut random);
        Self {
            plan,
            random,
            now: begins_at,
            begins_at,
            table: JobTable::default(),
            configuration: ConfigurationStore::default(),
            leader: None,
            token: 0,
            leader_back_at: begins_at,
            leader_changes,
            workers,
            faults,
            jobs: FastHashMap::default(),
            arrivals,
            deliveries: Vec::new(),
            checks: Checks::default(),
        }
    }

    /// Plays the day until all jobs have ended, and returns the violations.
    pub fn play(mut self) -> Vec<String> {
        let traffic_ends_at = self.begins_at + DurationMs::new(2_000 + self.plan.traffic_ms);
        let deadline = traffic_ends_at + DRAIN_LIMIT;
        while self.now < deadline {
            self.now = self.now + TICK;
            self.submit_arrived();
            self.apply_faults();
            self.advance_workers();
            self.run_agents();
            self.deliver();
            self.run_leader();
            let is_check_due = self.now.get().is_multiple_of(CHECK_INTERVAL_MS);
            if self.now >= traffic_ends_at + FINISH_DELAY && is_check_due {
                self.checks.check_idle_jobs(&self.workers, &self.table, self.now);
                if self.table.jobs().all(|job| job.phase.is_final()) {
                    return self.checks.violations;
                }
            }
        }
        let unfinished = self.table.jobs().filter(|job| !job.phase.is_final());
        let unfinished = unfinished.map(|job| {
            let spec = &job.submission.spec;
            format!("LOST: {} never ended: {spec}", job.submission.name)
        });
        self.checks.violations.extend(unfinished);
        self.checks.violations
    }

    fn submit_arrived(&mut self) {
        let now = self.now;
        let arrived = self.arrivals.extract_if(.., |(at, _)| *at <= now);
        for (_, mut job) in arrived {
            job.submission.accepted_at_unix_ms = now.get();
            self.table.submit(job.submission.clone());
            self.jobs.insert(job.submission.name.clone(), job);
        }
    }

    fn apply_faults(&mut self) {
        let now = self.now;
        for fault in &self.faults {
            for index in &fault.workers {
                let worker = &mut self.workers[*index];
                if now > fault.ends_at + TICK || now < fault.begins_at {
                    continue;
                }
                let since_ms = now.since(fault.begins_at).get();
                let conduct = match fault.kind {
                    _ if now > fault.ends_at => Conduct::Sound,
                    WorkerFaultKind::Steady(conduct) => conduct,
                    WorkerFaultKind::Flapping { period_ms } => {
                        let down = (since_ms / period_ms).is_multiple_of(2);
                        if down { Conduct::Down } else { Conduct::Sound }
                    }
                    WorkerFaultKind::Taken { notice_ms } if since_ms < notice_ms => {
                        Conduct::Draining
                    }
                    WorkerFaultKind::Taken { .. } => Conduct::Down,
                };
                set_conduct(worker, conduct, now);
            }
        }
    }

    /// Lets runs make progress and end, and carries out late orders.
    fn advance_workers(&mut self) {
        let (now, random) = (self.now, &mut self.random);
        for index in 0..self.workers.len() {
            let due: Vec<LateOrder> = self.workers[index]
                .late_orders
                .extract_if(.., |(at, _)| *at <= now)
                .map(|(_, order)| order)
                .collect();
            for order in due {
                match order {
                    LateOrder::Start(start, token) => {
                        let (room, need) = (
                            free(&self.workers[index], &self.table),
                            demand(&start.run, &self.table),
                        );
                        self.workers[index].start(&start, token, room, need, now, random);
                    }
                    LateOrder::Stop(run) => self.workers[index].stop(&run, now, random),
                }
            }
        }
        let rates = self.rates();
        for worker in self.workers.iter_mut().filter(|worker| worker.is_up()) {
            for (run, execution) in &mut worker.running {
                let rate = rates.get(run).copied().unwrap_or(0.0);
                execution.completed_ms += rate * TICK.get() as f64;
            }
        }
        let slow_gangs = self.slow_gangs();
        let mut broken = BTreeSet::new();
        for worker in self.workers.iter_mut().filter(|worker| worker.is_up()) {
            let expired = worker.lease_expired(now);
            let runs: Vec<RunId> = worker.running.keys().cloned().collect();
            for run in runs {
                let job = &self.jobs[&run.task.job];
                let spec = &job.submission.spec.steps[run.task.step as usize];
                let Some(execution) = worker.running.get(&run) else { continue };
                let fails = execution.fails_at.is_some_and(|at| at <= now)
                    || (job.hopeless && execution.completed_ms > job.run_time_ms * 0.1);
                let waits = spec.gang && !rates.contains_key(&run);
                let outcome = if expired {
                    RunOutcome::Lapsed
                } else if execution.stops_at.is_some_and(|at| at <= now) {
                    RunOutcome::Stopped
                } else if fails {
                    RunOutcome::Failed
                } else if execution.completed_ms >= job.run_time_ms
                    && !slow_gangs.contains(&gang_run(&run))
                {
                    RunOutcome::Done
                } else if waits && now.since(execution.begun_at) > GANG_WAIT {
                    RunOutcome::Alone
                } else {
                    continue;
                };
                let saved = spec.checkpointing && outcome != RunOutcome::Done;
                let checkpoint =
                    saved.then(|| Arc::from(execution.completed_ms.floor().to_string()));
                worker.end(&run, outcome, checkpoint);
                if spec.gang && outcome != RunOutcome::Done {
                    broken.insert(gang_run(&run));
                }
            }
        }
        for worker in self.workers.iter_mut().filter(|worker| worker.is_up()) {
            let runs: Vec<RunId> = worker.running.keys().cloned().collect();
            for run in runs.into_iter().filter(|run| broken.contains(&gang_run(run))) {
                worker.end(&run, RunOutcome::Broken, None);
            }
        }
    }

    /// Returns the rate of progress of each run. The members of a gang advance once all of them are
    /// present.
    fn rates(&self) -> FastHashMap<RunId, f64> {
        let mut rates = FastHashMap::default();
        let mut gangs: BTreeMap<GangRun, Vec<Member>> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.is_up()) {
            let speed = match worker.conduct {
                Conduct::Stalls => 0.0,
                Conduct::Slow => 0.125,
                _ => worker.speed_percent as f64 / 100.0,
            };
            for run in worker.running.keys() {
                let spec = &self.jobs[&run.task.job].submission.spec.steps[run.task.step as usize];
                let far = spec.data_rack.is_some() && spec.data_rack != worker.state.rack;
                let rate = if far { speed / FAR_FACTOR } else { speed };
                if spec.gang {
                    let rack = worker.state.rack.clone();
                    gangs.entry(gang_run(run)).or_default().push((run.clone(), rate, rack));
                } else {
                    rates.insert(run.clone(), rate);
                }
            }
        }
        for ((job, step, _), members) in gangs {
            let spec = &self.jobs[&job].submission.spec.steps[step as usize];
            if members.len() < spec.task_count as usize {
                continue;
            }
            let racks: BTreeSet<_> = members.iter().map(|(_, _, rack)| rack.clone()).collect();
            let factor = if spec.rack_local && racks.len() > 1 { FAR_FACTOR } else { 1.0 };
            rates.extend(members.into_iter().map(|(run, rate, _)| (run, rate / factor)));
        }
        rates
    }

    /// Returns the gang runs with a member that is not present or has not completed its work.
    fn slow_gangs(&self) -> BTreeSet<GangRun> {
        let mut completed: BTreeMap<GangRun, u32> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.is_up()) {
            for (run, execution) in &worker.running {
                let count = completed.entry(gang_run(run)).or_default();
                *count += u32::from(execution.completed_ms >= self.jobs[&run.task.job].run_time_ms);
            }
        }
        completed.retain(|(job, step, _), count| {
            let spec = &self.jobs[job].submission.spec.steps[*step as usize];
            spec.gang && *count < spec.task_count
        });
        completed.into_keys().collect()
    }

    /// Lets agents poll their workers, and attach to the leader.
    fn run_agents(&mut self) {
        let now = self.now;
        for index in 0..self.workers.len() {
            let reaches_leader = self.workers[index].reaches_leader() && self.leader.is_some();
            let worker = &mut self.workers[index];
            if !reaches_leader {
                let silent_since = *worker.silent_since.get_or_insert(now);
                if worker.attached && now.since(silent_since) > SILENCE_TIMEOUT {
                    worker.attached = false;
                    if let Some(leader) = &mut self.leader {
                        leader.dispatcher.disconnect(&worker.state.incarnation.node);
                    }
                }
            } else {
                worker.silent_since = None;
                if !worker.attached {
                    worker.attached = true;
                    if let Some(leader) = &mut self.leader {
                        leader.dispatcher.connect(&worker.state.incarnation.node);
                    }
                    let state = AgentMessage::State(worker.state.clone());
                    self.deliveries.push((now + TICK, Delivery::Report(index, state)));
                }
            }
            let worker = &mut self.workers[index];
            if now >= worker.next_poll_at && worker.is_up() && worker.attached {
                worker.next_poll_at = now + DurationMs::new(POLL_INTERVAL_MS);
                let jobs = &self.jobs;
                let percent = |run: &RunId, execution: &Execution| {
                    let run_time_ms = jobs[&run.task.job].run_time_ms;
                    (execution.completed_ms * 100.0 / run_time_ms).min(100.0) as u8
                };
                let observation = AgentMessage::Observed(worker.observe(now, percent));
                self.deliveries.push((now + TICK, Delivery::Report(index, observation)));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<Delivery> = self
            .deliveries
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, delivery)| delivery)
            .collect();
        for delivery in due {
            match delivery {
                Delivery::Report(index, message) => {
                    if !self.workers[index].reaches_leader() {
                        continue;
                    }
                    if let Some(leader) = &mut self.leader {
                        let node = support::node(index);
                        let changes =
                            leader.dispatcher.on_message(&node, message, &self.table, now);
                        leader.pending.report(changes);
                    }
                }
                Delivery::Order(index, orders) => self.carry_out(index, orders),
            }
        }
    }

    fn carry_out(&mut self, index: usize, orders: Orders) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if !worker.reaches_leader() || worker.state.incarnation != orders.incarnation {
            return;
        }
        worker.acknowledge_ends(orders.acknowledged_end);
        if let Some(until_clock_ms) = orders.lease_until_clock_ms {
            worker.renew_lease(until_clock_ms, orders.token);
        }
        for start in orders.starts {
            let (result, delay) = self.carry_out_start(index, &start, orders.token);
            let report = Delivery::Report(index, AgentMessage::Start(start.run, result));
            self.deliveries.push((now + delay + TICK, report));
        }
        for run in orders.stops {
            let late = matches!(
                self.workers[index].conduct,
                Conduct::AppliesLate(percent) if draw(percent, &mut self.random)
            );
            if late {
                let at = now + DurationMs::new(self.random.random_range(2_000..12_000));
                self.workers[index].late_orders.push((at, LateOrder::Stop(run)));
            } else {
                self.workers[index].stop(&run, now, &mut self.random);
            }
        }
    }

    fn carry_out_start(
        &mut self,
        index: usize,
        start: &StartOrder,
        token: u64,
    ) -> (StartResult, DurationMs) {
        let (now, random) = (self.now, &mut self.random);
        let answer = DurationMs::new(0);
        match self.workers[index].conduct {
            Conduct::Draining => return (StartResult::Refused, answer),
            Conduct::RefusesStarts(percent) if draw(percent, random) => {
                return (StartResult::Refused, answer);
            }
            Conduct::IgnoresStarts(percent) if draw(percent, random) => {
                return (StartResult::Unknown, ORDER_TIMEOUT);
            }
            Conduct::AppliesLate(percent) if draw(percent, random) => {
                let at = now + DurationMs::new(random.random_range(2_000..12_000));
                let late = LateOrder::Start(start.clone(), token);
                self.workers[index].late_orders.push((at, late));
                return (StartResult::Unknown, ORDER_TIMEOUT);
            }
            _ => {}
        }
        let room = free(&self.workers[index], &self.table);
        let need = demand(&start.run, &self.table);
        let result = self.workers[index].start(start, token, room, need, now, random);
        if result == StartResult::Begun {
            self.checks.on_begin(&start.run, &self.workers, &self.table, now);
        }
        (result, answer)
    }

    fn run_leader(&mut self) {
        let now = self.now;
        if self.leader_changes.extract_if(.., |at| *at <= now).next().is_some() {
            self.leader = None;
            self.leader_back_at = now + DurationMs::new(self.random.random_range(300..2_500));
        }
        if self.leader.is_none() && now >= self.leader_back_at {
            self.token += 1;
            let settings = DispatchSettings::new(MAX_LEASE, DurationMs::new(400));
            let mut dispatcher = Dispatcher::new(settings, self.token, now);
            dispatcher.set_speeds(machine_speeds(&self.workers, self.plan.known_speeds));
            self.leader = Some(Leader {
                dispatcher,
                pending: PendingChanges::new(now),
                in_flight: None,
                decided_at: now,
            });
            self.workers.iter_mut().for_each(|worker| worker.attached = false);
        }
        let Some(leader) = &mut self.leader else { return };
        if leader.in_flight.as_ref().is_some_and(|(at, ..)| *at <= now)
            && let Some((at, changes, succeeds)) = leader.in_flight.take()
        {
            if succeeds {
                apply(&mut self.table, changes, now);
                leader.pending.on_committed(&at);
            } else {
                leader.pending.on_failed(&at);
            }
        }
        leader.dispatcher.confirm_leadership(TimestampMs::new(now.get() - TICK.get()));
        if leader.in_flight.is_none() {
            let mut decided = Vec::new();
            if leader.pending.begin_decision(now) {
                let gap_ms = now.since(leader.decided_at).get();
                if gap_ms > DECISION_LIMIT.get() + self.plan.commit_ms {
                    let violation = format!("no decision in the {gap_ms} ms before {now:?}");
                    self.checks.violations.push(violation);
                }
                leader.decided_at = now;
                let unix_ms = now.get();
                decided = leader.dispatcher.decide(&self.table, &self.configuration, now, unix_ms);
                let summary = leader.dispatcher.take_summary();
                if let Some(longest) = summary.and_then(|summary| summary.longest_waiting) {
                    let cause = longest.cause().to_string();
                    self.checks.wait_causes.insert(longest.job, cause);
                }
            }
            let committed_at = now + DurationMs::new(self.plan.commit_ms);
            if let Some(changes) = leader.pending.next_batch(committed_at, decided) {
                let succeeds = !draw(self.plan.failed_proposal_percent, &mut self.random);
                leader.in_flight = Some((committed_at, changes, succeeds));
            }
        }
        for (node, orders) in leader.dispatcher.orders(&self.table, now) {
            self.deliveries.push((now + TICK, Delivery::Order(worker_index(&node), orders)));
        }
    }
}

/// Returns the speeds that the leader knows. A machine keeps its speed when its worker restarts.
fn machine_speeds(workers: &[SimulatedWorker], known: KnownSpeeds) -> MachineSpeeds {
    let speed = |worker: &SimulatedWorker| worker.speed_percent as f64 / 100.0;
    workers.iter().fold(MachineSpeeds::new(), |speeds, worker| {
        let node = worker.state.incarnation.node.clone();
        match known {
            KnownSpeeds::Unknown => speeds,
            KnownSpeeds::Exact => speeds.with_speed(node, speed(worker)),
            KnownSpeeds::Inverted => speeds.with_speed(node, 1.0 / speed(worker)),
        }
    })
}

fn apply(table: &mut JobTable, changes: Vec<TableChange>, now: TimestampMs) {
    for change in changes {
        match change {
            TableChange::Begin(group) => {
                table.begin(&group);
            }
            TableChange::End(end) => {
                table.end(end, now.get());
            }
            TableChange::AcknowledgeEnds(incarnation, number) => {
                table.acknowledge_ends(&incarnation, number);
            }
            TableChange::CompleteLate(run) => {
                table.complete_late(&run, now.get());
            }
        }
    }
}

fn set_conduct(worker: &mut SimulatedWorker, conduct: Conduct, now: TimestampMs) {
    if worker.conduct == conduct {
        return;
    }
    if conduct == Conduct::Down {
        worker.crash();
        worker.attached = false;
    }
    worker.state.draining = conduct == Conduct::Draining;
    if worker.state.draining || worker.conduct == Conduct::Draining {
        // The announcement of the drain goes out with the next attachment.
        worker.attached = false;
    }
    if conduct == Conduct::Sound {
        worker.sound_since = now;
    }
    worker.conduct = conduct;
}

/// Draws jobs until their work reaches the planned load.
fn arrivals(
    plan: &DayPlan,
    begins_at: TimestampMs,
    random: &mut ChaCha8Rng,
) -> Vec<(TimestampMs, SubmittedJob)> {
    let rack_count = plan.worker_count.div_ceil(plan.rack_size);
    let capacity_ms = plan.worker_count as f64 * 8.0 * plan.traffic_ms as f64;
    let mut remaining_ms = capacity_ms * plan.load_percent as f64 / 100.0;
    let mut arrivals = Vec::new();
    while remaining_ms > 0.0 {
        let at = begins_at + DurationMs::new(random.random_range(0..plan.traffic_ms));
        let hopeless = draw(plan.hopeless_percent, random);
        let (number, workers) = (arrivals.len(), plan.worker_count);
        let job = draw_job(number, rack_count, workers, hopeless, at, random);
        let steps = &job.submission.spec.steps;
        let accelerators: u32 =
            steps.iter().map(|step| step.task_count * step.demand.accelerator_count).sum();
        remaining_ms -= f64::from(accelerators) * job.run_time_ms;
        arrivals.push((at, job));
    }
    arrivals
}

fn worker_state(index: usize, rack_size: usize) -> WorkerState {
    let rack: Arc<str> = Arc::from(format!("rack-{}", index / rack_size));
    WorkerState {
        labels: vec![Arc::from("kind"), rack.clone()],
        rack: Some(rack),
        ..support::state(index, 1)
    }
}

fn worker_index(node: &NodeName) -> usize {
    node.as_str().trim_start_matches("node-").parse().unwrap()
}

fn demand(run: &RunId, table: &JobTable) -> Resources {
    let job = table.job(&run.task.job);
    job.and_then(|job| job.step_spec(run.task.step)).map(|step| step.demand).unwrap_or_default()
}

fn gang_run(run: &RunId) -> GangRun {
    (run.task.job.clone(), run.task.step, run.number)
}

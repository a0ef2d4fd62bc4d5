//! Pool of simulated workers with a job table and a leader, driven step by step by a test.

#![allow(clippy::unwrap_used, dead_code, missing_docs)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use yuccatack_core::{
    DataCentreName, DurationMs, JobName, NodeName, OrganisationName, QueueName, Resources,
    ServiceName, TimestampMs, WorkerName,
};
use yuccatack_dispatch::{
    AgentMessage, DispatchSettings, Dispatcher, EndedRun, Observation, Orders, RunningRun,
    StartResult, TableChange, WorkerState,
};
use yuccatack_queues::{
    CallerLimits, Configuration, ConfigurationStore, ConfigurationVersion, Organisation,
};
use yuccatack_runs::{
    JobSpec, JobSubmission, JobTable, RunEnd, RunId, RunOutcome, Schedule, StepSpec, TaskId,
    WorkerIncarnation,
};

pub const MAX_LEASE_MS: DurationMs = DurationMs::new(10_000);
pub const TOKEN: u64 = 7;

/// Shortest election timeout of the control replicas, which no pass may exceed.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// Leader with its job table and the clock of a test.
pub struct TestCluster {
    pub dispatcher: Dispatcher,
    pub table: JobTable,
    pub configuration: ConfigurationStore,
    pub now: TimestampMs,
    /// Offset of all workers' clocks from the leader's.
    pub clock_offset_ms: u64,
    pub end_number: u64,
}

pub fn settings() -> DispatchSettings {
    DispatchSettings::new(MAX_LEASE_MS, DurationMs::new(400))
}

pub fn node(index: usize) -> NodeName {
    NodeName::new(&format!("node-{index}")).unwrap()
}

pub fn incarnation(index: usize, started_at_unix_ms: u64) -> WorkerIncarnation {
    let worker = WorkerName::new(&format!("worker-{index}")).unwrap();
    WorkerIncarnation { node: node(index), worker, started_at_unix_ms }
}

pub fn state(index: usize, started_at_unix_ms: u64) -> WorkerState {
    let rack: Arc<str> = Arc::from(format!("rack-{}", index / 2));
    WorkerState {
        incarnation: incarnation(index, started_at_unix_ms),
        service: ServiceName::new("pool").unwrap(),
        data_centre: DataCentreName::new("here").unwrap(),
        capacity: Resources { cores_milli: 32_000, memory_bytes: 1 << 37, accelerator_count: 8 },
        labels: vec![Arc::from("kind"), rack.clone()],
        rack: Some(rack),
        draining: false,
        remaining_ms: None,
        cold_left_ms: None,
    }
}

pub fn step(task_count: u32, accelerator_count: u32) -> StepSpec {
    StepSpec {
        task_count,
        demand: Resources { cores_milli: 1_000, memory_bytes: 1 << 30, accelerator_count },
        estimated_run_ms: DurationMs::new(2_000),
        ..StepSpec::default()
    }
}

/// Step of one task that needs no resources.
pub fn tiny() -> StepSpec {
    StepSpec { demand: Resources::default(), ..step(1, 0) }
}

pub fn run(job: &str, index: u32, number: u32) -> RunId {
    let job = JobName::new(job).unwrap();
    RunId { task: TaskId { job, occurrence: 0, step: 0, index }, number }
}

impl TestCluster {
    /// Creates a cluster of `count` workers, two per rack, all announced and observed once.
    pub fn new(count: usize) -> Self {
        let now = TimestampMs::new(100_000);
        let mut cluster = Self {
            dispatcher: Dispatcher::new(settings(), TOKEN, now),
            table: JobTable::default(),
            configuration: ConfigurationStore::default(),
            now,
            clock_offset_ms: 5_000_000,
            end_number: 0,
        };
        for index in 0..count {
            cluster.dispatcher.connect(&node(index));
            cluster.deliver(index, AgentMessage::State(state(index, 1)));
        }
        cluster.observe_all(count);
        cluster
    }

    pub fn add_organisation(&mut self, name: &str, guaranteed_accelerator_count: u32) {
        let organisation = Organisation {
            name: OrganisationName::new(name).unwrap(),
            keys: Vec::new(),
            guaranteed_accelerator_count,
        };
        self.configuration.accept(Arc::new(Configuration {
            version: ConfigurationVersion::new(self.configuration.version().get() + 1),
            queues: Vec::new(),
            services: Vec::new(),
            limits: CallerLimits::default(),
            organisations: vec![organisation],
            document: Arc::from(""),
        }));
    }

    pub fn submit(&mut self, name: &str, priority: u32, step: StepSpec) {
        self.submit_for(name, None, priority, step);
    }

    pub fn submit_for(
        &mut self,
        name: &str,
        organisation: Option<&str>,
        priority: u32,
        step: StepSpec,
    ) {
        let submission = self.submission(name, organisation, priority, step);
        self.table.submit(submission);
    }

    /// Submits a less urgent job of several steps, which run as often as the schedule says.
    pub fn submit_steps(&mut self, name: &str, steps: Vec<StepSpec>, schedule: Option<Schedule>) {
        let submission = self.submission(name, None, 1, StepSpec::default());
        let spec = JobSpec { steps, schedule, ..submission.spec.clone() };
        self.table.submit(JobSubmission { spec, ..submission });
    }

    /// Submits a less urgent job with a payload of its own.
    pub fn submit_payload(&mut self, name: &str, payload: String, step: StepSpec) {
        let submission = self.submission(name, None, 1, step);
        let spec = JobSpec { payload: Arc::from(payload), ..submission.spec.clone() };
        self.table.submit(JobSubmission { spec, ..submission });
    }

    /// Submits an urgent job whose objective leaves little slack: half of the run time and 300 ms.
    pub fn submit_tight(&mut self, name: &str, organisation: Option<&str>, step: StepSpec) {
        let submission = self.submission(name, organisation, 0, step);
        let allowance_ms = DurationMs::new(300);
        self.table.submit(JobSubmission { stretch: 1.5, allowance_ms, ..submission });
    }

    fn submission(
        &self,
        name: &str,
        organisation: Option<&str>,
        priority: u32,
        step: StepSpec,
    ) -> JobSubmission {
        JobSubmission {
            name: JobName::new(name).unwrap(),
            queue: QueueName::new("queue").unwrap(),
            service: ServiceName::new("pool").unwrap(),
            organisation: organisation.map(|name| OrganisationName::new(name).unwrap()),
            priority,
            max_attempts: 2,
            stretch: 3.0,
            allowance_ms: DurationMs::new(1_000),
            accepted_at_unix_ms: self.now.get(),
            origin: None,
            spec: JobSpec { payload: Arc::from("payload"), steps: vec![step], schedule: None },
        }
    }

    pub fn advance(&mut self, milliseconds: u64) {
        self.now = self.now + DurationMs::new(milliseconds);
    }

    pub fn clock_ms(&self) -> u64 {
        self.now.get() + self.clock_offset_ms
    }

    pub fn apply(&mut self, changes: Vec<TableChange>) {
        for change in changes {
            match change {
                TableChange::Begin(group) => {
                    self.table.begin(&group);
                }
                TableChange::End(end) => {
                    self.table.end(end, self.now.get());
                }
                TableChange::AcknowledgeEnds(incarnation, number) => {
                    self.table.acknowledge_ends(&incarnation, number)
                }
                TableChange::CompleteLate(run) => {
                    self.table.complete_late(&run, self.now.get());
                }
            }
        }
    }

    pub fn deliver(&mut self, index: usize, message: AgentMessage) {
        let changes = self.dispatcher.on_message(&node(index), message, &self.table, self.now);
        self.apply(changes);
    }

    /// Delivers an observation of the worker with these runs, and then confirms leadership.
    pub fn observe(
        &mut self,
        index: usize,
        running: &[(RunId, u8)],
        ended: &[(RunId, RunOutcome)],
        stopped: &[RunId],
    ) {
        self.observe_unconfirmed(index, running, ended, stopped);
        self.dispatcher.confirm_leadership(self.now);
    }

    pub fn observe_unconfirmed(
        &mut self,
        index: usize,
        running: &[(RunId, u8)],
        ended: &[(RunId, RunOutcome)],
        stopped: &[RunId],
    ) {
        let row = |(run, percent): &(RunId, u8)| RunningRun {
            run: run.clone(),
            checkpoint: None,
            percent: *percent,
            load: None,
        };
        let ended = ended.iter().map(|(run, outcome)| {
            self.end_number += 1;
            let number = self.end_number;
            EndedRun { number, run: run.clone(), outcome: *outcome, checkpoint: None }
        });
        let observation = Observation {
            incarnation: incarnation(index, 1),
            ended: ended.collect(),
            clock_ms: self.clock_ms(),
            running: running.iter().map(row).collect(),
            stopped: stopped.to_vec(),
            lists_all_ends: Some(true),
        };
        self.deliver(index, AgentMessage::Observed(observation));
    }

    pub fn observe_all(&mut self, count: usize) {
        for index in 0..count {
            self.observe(index, &[], &[], &[]);
        }
    }

    /// Runs one scheduling pass, applies its changes and returns the orders.
    pub fn decide(&mut self) -> Vec<(NodeName, Orders)> {
        let (now, unix_ms) = (self.now, self.now.get());
        let changes = self.dispatcher.decide(&self.table, &self.configuration, now, unix_ms);
        self.apply(changes);
        self.dispatcher.orders(&self.table, now)
    }

    /// Runs a pass, which must end within the election timeout, and returns the runs that it starts.
    pub fn timed_pass(&mut self) -> Vec<RunId> {
        let began_at = Instant::now();
        let orders = self.decide();
        let elapsed = began_at.elapsed();
        assert!(elapsed < ELECTION_TIMEOUT, "a pass took {elapsed:?}");
        starts(&orders)
    }

    /// Reports the start of a run from the worker that the table assigns it to.
    pub fn report_begun(&mut self, run: &RunId) {
        self.start_result(run, StartResult::Begun);
    }

    pub fn start_result(&mut self, run: &RunId, result: StartResult) {
        let index = self.worker_of(run);
        self.deliver(index, AgentMessage::Start(run.clone(), result));
    }

    /// Returns the index of the worker that a run is on.
    pub fn worker_of(&self, run: &RunId) -> usize {
        let node = &self.table.open_runs()[run].incarnation.node;
        node.as_str().trim_start_matches("node-").parse().unwrap()
    }

    pub fn end(&mut self, run: &RunId, outcome: RunOutcome) {
        let end = RunEnd { run: run.clone(), outcome, checkpoint: None };
        self.table.end(end, self.now.get());
    }
}

/// Returns all runs that the orders start, sorted.
pub fn starts(orders: &[(NodeName, Orders)]) -> Vec<RunId> {
    let mut runs: Vec<RunId> = orders
        .iter()
        .flat_map(|(_, orders)| &orders.starts)
        .map(|start| start.run.clone())
        .collect();
    runs.sort();
    runs
}

/// Returns all runs that the orders stop, sorted.
pub fn stops(orders: &[(NodeName, Orders)]) -> Vec<RunId> {
    let mut runs: Vec<RunId> = orders.iter().flat_map(|(_, orders)| orders.stops.clone()).collect();
    runs.sort();
    runs
}

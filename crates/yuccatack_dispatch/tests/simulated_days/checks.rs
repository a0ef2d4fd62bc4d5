//! Invariants of a simulated day, checked against what the workers execute.

use yuccatack_core::{DurationMs, FastHashMap, FastHashSet, JobName, Resources, TimestampMs};
use yuccatack_runs::{Job, JobTable, RunId, StepSpec, TaskId};

use crate::worker::{Conduct, SimulatedWorker};

/// Time within which a job must begin work that could run.
const IDLE_LIMIT_MS: DurationMs = DurationMs::new(3_000);

/// Time without a fault after which a worker counts as capacity.
const CONTACT_MS: DurationMs = DurationMs::new(4_000);

/// Number of times that the free capacity must hold the waiting work.
const CAPACITY_MULTIPLE: u32 = 2;

/// Checks during one day, and the violations found so far.
#[derive(Default)]
pub struct Checks {
    /// Time since which each job could run and does not.
    idle_since: FastHashMap<JobName, TimestampMs>,
    reported: FastHashSet<JobName>,
    /// Reason for which each job waited longest, as the leader last logged it.
    pub wait_causes: FastHashMap<JobName, String>,
    pub violations: Vec<String>,
}

impl Checks {
    /// Checks that no other run of the task executes, and that the task has not completed, whether the
    /// table holds that or a worker with a valid lease still lists it.
    pub fn on_begin(
        &mut self,
        run: &RunId,
        workers: &[SimulatedWorker],
        table: &JobTable,
        now: TimestampMs,
    ) {
        self.idle_since.remove(&run.task.job);
        let twice = workers.iter().filter(|worker| worker.is_up()).any(|worker| {
            worker.running.keys().any(|other| other.task == run.task && other != run)
        });
        if twice {
            self.violations.push(format!("{run} began while another run of its task executed"));
        }
        if is_done(&run.task, table) {
            self.violations.push(format!("{run} began after its task had completed"));
        }
        let unread = |worker: &SimulatedWorker| {
            worker.is_up() && !worker.lease_expired(now) && worker.has_unread_completion(&run.task)
        };
        let spec = table.job(&run.task.job).and_then(|job| job.step_spec(run.task.step));
        let ends = spec.is_some_and(|spec| !spec.long_running);
        if ends && workers.iter().any(unread) {
            self.violations
                .push(format!("{run} began while the end of a completed run was unread"));
        }
    }

    /// Checks that each unfinished job executes something, unless capacity is short, or a worker with a
    /// fault may still carry out a start of it: the task must not begin elsewhere until that is known.
    pub fn check_idle_jobs(
        &mut self,
        workers: &[SimulatedWorker],
        table: &JobTable,
        now: TimestampMs,
    ) {
        let executing: FastHashSet<&JobName> = workers
            .iter()
            .filter(|worker| worker.is_up())
            .flat_map(|worker| worker.running.keys().map(|run| &run.task.job))
            .chain(table.open_runs().iter().filter_map(|(run, open)| {
                let worker =
                    workers.iter().find(|worker| worker.state.incarnation == open.incarnation);
                worker
                    .is_some_and(|worker| worker.conduct != Conduct::Sound)
                    .then_some(&run.task.job)
            }))
            .collect();
        let mostly_free = most_capacity_is_free(workers, table);
        for job in table.jobs().filter(|job| !job.phase.is_final()) {
            let name = &job.submission.name;
            let spec = waiting_step(job).filter(|spec| {
                mostly_free && !executing.contains(name) && fits(spec, workers, table, now)
            });
            let Some(spec) = spec else {
                self.idle_since.remove(name);
                continue;
            };
            let since = *self.idle_since.entry(name.clone()).or_insert(now);
            if now.since(since) > IDLE_LIMIT_MS && self.reported.insert(name.clone()) {
                self.violations.push(format!(
                    "LOST: at {now:?} {name} could run and does not, with most of the capacity \
                     free; its step is {spec}, priority {}, cause {}",
                    job.submission.priority,
                    self.wait_causes.get(name).map_or("unknown", String::as_str),
                ));
            }
        }
    }
}

fn is_done(task: &TaskId, table: &JobTable) -> bool {
    let occurrence = table.job(&task.job).and_then(|job| job.occurrences.get(&task.occurrence));
    occurrence.is_some_and(|occurrence| {
        occurrence.steps[task.step as usize].tasks[task.index as usize].done
    })
}

/// Returns a step of the job that is ready and has not completed.
fn waiting_step(job: &Job) -> Option<&StepSpec> {
    let steps = &job.submission.spec.steps;
    let Some(progress) = job.occurrences.get(&0) else { return steps.first() };
    let waiting = steps
        .iter()
        .zip(&progress.steps)
        .find(|(spec, step)| progress.is_ready(spec) && !step.is_done());
    waiting.map(|(spec, _)| spec)
}

/// Returns the resources that the executing runs of a worker occupy.
pub fn used(worker: &SimulatedWorker, table: &JobTable) -> Resources {
    let demand = |run: &RunId| table.job(&run.task.job)?.step_spec(run.task.step).map(|s| s.demand);
    worker.running.keys().filter_map(demand).fold(Resources::default(), |sum, demand| Resources {
        cores_milli: sum.cores_milli + demand.cores_milli,
        memory_bytes: sum.memory_bytes + demand.memory_bytes,
        accelerator_count: sum.accelerator_count + demand.accelerator_count,
    })
}

pub fn free(worker: &SimulatedWorker, table: &JobTable) -> Resources {
    let (total, used) = (worker.state.capacity, used(worker, table));
    Resources {
        cores_milli: total.cores_milli.saturating_sub(used.cores_milli),
        memory_bytes: total.memory_bytes.saturating_sub(used.memory_bytes),
        accelerator_count: total.accelerator_count.saturating_sub(used.accelerator_count),
    }
}

/// Returns `true` if less than half of each resource of the running workers is in use.
fn most_capacity_is_free(workers: &[SimulatedWorker], table: &JobTable) -> bool {
    let up = || workers.iter().filter(|worker| worker.is_up());
    let under_half = |amount: fn(&Resources) -> u64| {
        let in_use: u64 = up().map(|worker| amount(&used(worker, table))).sum();
        in_use * 2 < up().map(|worker| amount(&worker.state.capacity)).sum::<u64>()
    };
    under_half(|resources| resources.cores_milli)
        && under_half(|resources| resources.memory_bytes)
        && under_half(|resources| u64::from(resources.accelerator_count))
}

/// Returns `true` if workers without a recent fault could begin the step's tasks several times over.
fn fits(spec: &StepSpec, workers: &[SimulatedWorker], table: &JobTable, now: TimestampMs) -> bool {
    let task_count = if spec.gang { spec.task_count } else { 1 };
    let mut wanted = task_count * CAPACITY_MULTIPLE;
    let is_sound = |worker: &&SimulatedWorker| {
        worker.conduct == Conduct::Sound && now.since(worker.sound_since) >= CONTACT_MS
    };
    for worker in workers.iter().filter(is_sound) {
        let mut room = free(worker, table);
        let mut allowed = spec.tasks_per_worker.unwrap_or(u32::MAX);
        while wanted > 0 && allowed > 0 && room.contains(&spec.demand) {
            room.cores_milli -= spec.demand.cores_milli;
            room.memory_bytes -= spec.demand.memory_bytes;
            room.accelerator_count -= spec.demand.accelerator_count;
            (wanted, allowed) = (wanted - 1, allowed - 1);
        }
    }
    wanted == 0
}

//! Jobs that callers submit during a simulated day.

use std::sync::Arc;

use rand::{Rng, RngExt};
use yuccatack_core::{DurationMs, JobName, QueueName, Resources, ServiceName, TimestampMs};
use yuccatack_runs::{JobSpec, JobSubmission, StepSpec};

/// Job as submitted, with what the scheduler is not told.
#[derive(Clone, Debug)]
pub struct SubmittedJob {
    pub submission: JobSubmission,
    /// Run time of each task on a usual worker near its data.
    pub run_time_ms: f64,
    /// `true` if every run fails.
    pub hopeless: bool,
}

/// Draws a job of one of three queues: short urgent gangs, long wide gangs, and single tasks.
pub fn draw_job<Random>(
    number: usize,
    rack_count: usize,
    worker_count: usize,
    hopeless: bool,
    now: TimestampMs,
    random: &mut Random,
) -> SubmittedJob
where
    Random: Rng,
{
    let priority = match random.random_range(0..100) {
        0..62 => 0,
        62..86 => 1,
        _ => 2,
    };
    let most = (worker_count / 2).max(3) as u32;
    let accelerator_counts = [1, 2, 4, 8, 8];
    let accelerator_count = accelerator_counts[random.random_range(0..accelerator_counts.len())];
    let run_time_ms = match priority {
        0 => random.random_range(800.0..6_000.0),
        1 => random.random_range(5_000.0..11_000.0),
        _ => random.random_range(4_000.0..11_000.0),
    };
    // Estimates of callers are off by a factor of up to three.
    let estimated_ms = run_time_ms * random.random_range(-1.1f64..1.1).exp();
    let mut step = StepSpec {
        demand: Resources { cores_milli: 4_000, memory_bytes: 1 << 32, accelerator_count },
        estimated_run_ms: DurationMs::new(estimated_ms as u64),
        checkpointing: random.random_bool(0.45),
        ..StepSpec::default()
    };
    if priority < 2 {
        step.gang = true;
        step.rack_local = random.random_bool(0.7);
        step.task_count = random.random_range(1..=8u32).min(most);
        if random.random_bool(0.1) {
            step.task_count = random.random_range(1..=most);
        }
    } else {
        step.demand.accelerator_count = 1;
        step.task_count = random.random_range(1..=40);
        step.tasks_per_worker = random.random_bool(0.12).then_some(2);
    }
    let rack = format!("rack-{}", random.random_range(0..rack_count));
    step.data_rack = random.random_bool(0.3).then(|| Arc::from(rack));
    let second = StepSpec { after: vec![0], task_count: 2, gang: false, ..step.clone() };
    let steps = if random.random_bool(0.2) { vec![step, second] } else { vec![step] };
    let submission = JobSubmission {
        name: JobName::new(&format!("{number:016x}")).unwrap(),
        queue: QueueName::new(&format!("queue-{priority}")).unwrap(),
        service: ServiceName::new("pool").unwrap(),
        organisation: None,
        priority,
        max_attempts: 3,
        stretch: if priority == 0 { 1.5 } else { 3.0 },
        allowance_ms: DurationMs::new([250, 1_000, 3_000][priority as usize]),
        accepted_at_unix_ms: now.get(),
        origin: None,
        spec: JobSpec { payload: Arc::from("payload"), steps, schedule: None },
    };
    SubmittedJob { submission, run_time_ms, hopeless }
}

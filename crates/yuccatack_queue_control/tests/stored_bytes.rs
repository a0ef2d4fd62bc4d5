//! Guards against jobs that are bounded by their number alone and fill the disks of all replicas,
//! and against an estimate of their bytes that falls behind what a snapshot takes.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::{Deployment, job, target};
use yuccatack_core::{DurationMs, JobName, OrganisationName, QueueName, ServiceName};
use yuccatack_queue_client::protocol::{Request, Response};
use yuccatack_queue_control::{job_bytes, stored_limit_bytes, submission_bytes};
use yuccatack_replication::encode;
use yuccatack_runs::{
    Job, JobOrigin, JobPhase, JobSpec, JobSubmission, Occurrence, StepProgress, StepSpec,
    TaskProgress,
};

/// Disk of which stored jobs may take 1 MB.
const DISK_BYTES: u64 = 4_000_000;

/// Payload of a job; four jobs do not fit into 1 MB.
const PAYLOAD_BYTES: usize = 300_000;

fn submission(spec: JobSpec) -> JobSubmission {
    JobSubmission {
        name: JobName::new("0123456789abcdef").unwrap(),
        queue: QueueName::new("queue").unwrap(),
        service: ServiceName::new("pool").unwrap(),
        organisation: Some(OrganisationName::new("organisation").unwrap()),
        priority: 1,
        max_attempts: 3,
        stretch: 2.5,
        allowance_ms: DurationMs::new(60_000),
        accepted_at_unix_ms: 1_800_000_000_000,
        origin: Some(JobOrigin {
            host: Arc::from("host-of-the-queue.example"),
            path_prefix: Arc::from("/prefix-of-the-queue/"),
            name: Some(JobName::new("0123456789abcdef").unwrap()),
        }),
        spec,
    }
}

fn spec(payload_bytes: usize, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { payload: Arc::from("p".repeat(payload_bytes)), steps, schedule: None }
}

fn step(task_count: u32, after: Vec<u32>) -> StepSpec {
    let label = Some(Arc::from("a-label-of-some-length"));
    StepSpec { task_count, after, data_rack: label.clone(), image: label, ..StepSpec::default() }
}

/// Returns a job whose first occurrence has begun, with numbers of several bytes.
fn begun(submission: JobSubmission) -> Job {
    let task =
        TaskProgress { last_run: 300, failed_count: 300, open_count: 2, ..TaskProgress::default() };
    let steps = submission.spec.steps.iter().map(|step| StepProgress {
        tasks: vec![task.clone(); step.task_count as usize],
        gang: Default::default(),
    });
    let occurrence = Occurrence { steps: steps.collect() };
    let mut job = Job::new(submission, 1 << 40);
    job.occurrences.insert(0, occurrence);
    job.ended_at_unix_ms = Some(1_800_000_000_000);
    job
}

#[test]
fn estimate_covers_encoding() {
    for (payload_bytes, step_count, task_count) in
        [(0, 1, 1), (4_000, 1, 1), (100, 1, 20_000), (0, 500, 2), (1_000_000, 3, 64)]
    {
        let steps = (0..step_count).map(|index| step(task_count, (0..index.min(20)).collect()));
        let submission = submission(spec(payload_bytes, steps.collect()));
        let estimated_bytes = submission_bytes(&submission);
        let job = begun(submission);
        let encoded_bytes = encode(&job).unwrap().len() as u64;
        let case = format!("{payload_bytes} bytes, {step_count} steps of {task_count} tasks");
        assert!(estimated_bytes >= encoded_bytes, "{case}: {estimated_bytes} < {encoded_bytes}");
        assert_eq!(job_bytes(&job), estimated_bytes, "{case}");
    }
}

#[test]
fn limit_leaves_space() {
    // A snapshot is written beside the old one, and the log needs the rest.
    assert_eq!(stored_limit_bytes(128_000_000), 32_000_000);
    assert_eq!(stored_limit_bytes(0), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn large_jobs_refused() {
    let deployment = Deployment::start_on_disks(DISK_BYTES).await;
    deployment.configure(1, "key").await;
    let large = JobSpec { payload: Arc::from("p".repeat(PAYLOAD_BYTES)), ..job(1) };
    for name in ["first", "second", "third"] {
        deployment.submit(name, large.clone()).await;
    }
    let call = |name: &str| Request::Submit(target(name), Box::new(large.clone()));
    let timeout = Duration::from_secs(2);
    let refused = deployment.client.call(&call("fourth"), timeout).await.unwrap();
    assert!(matches!(refused, Response::Busy { .. }), "{refused:?}");
    let read = deployment.client.call(&Request::Read(target("fourth")), timeout).await;
    assert_eq!(read, Ok(Response::NoSuchJob), "a refused job was stored");

    // A job that is stored is acknowledged again, and small ones still fit.
    let repeated = deployment.client.call(&call("first"), timeout).await;
    assert_eq!(repeated, Ok(Response::Accepted));
    deployment.submit("small", job(1)).await;
    deployment.wait_for_phase("small", JobPhase::Queued).await;
}

//! Guards against schedules whose begun occurrences take more of the disk than stored jobs may: their
//! bytes are not counted when the jobs are submitted.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::{Deployment, target};
use tokio::time::sleep;
use yuccatack_core::DurationMs;
use yuccatack_queue_client::protocol::{Request, Response};
use yuccatack_queue_control::stored_limit_bytes;
use yuccatack_runs::{JobSpec, Schedule, StepSpec};

const DISK_BYTES: u64 = 16_000_000;

const JOB_COUNT: u64 = 6;

/// Time in which the jobs would begin all occurrences that their number of tasks allows.
const BEGIN_TIME: Duration = Duration::from_secs(6);

/// Schedule of which each occurrence begins with one short task and then waits for a label that no
/// worker has.
fn waiting_schedule() -> JobSpec {
    let first = StepSpec { task_count: 1, ..StepSpec::default() };
    let second = StepSpec {
        task_count: 900,
        after: vec![0],
        required_label: Some(Arc::from("none")),
        ..StepSpec::default()
    };
    let schedule =
        Schedule { first_at_unix_ms: 0, period_ms: DurationMs::ZERO, occurrence_count: 1_000 };
    JobSpec { payload: Arc::from(""), steps: vec![first, second], schedule: Some(schedule) }
}

/// Returns the largest number of bytes of stored jobs that a replica has counted.
fn stored_bytes(deployment: &Deployment) -> u64 {
    let of_text = |text: String| {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let values = lines.filter(|line| line.contains("stored_job_bytes"));
        values.filter_map(|line| line.split_whitespace().last()?.parse::<u64>().ok()).max()
    };
    let counts = deployment.replicas.iter();
    counts.filter_map(|replica| of_text(replica.metrics.encode().unwrap())).max().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn schedules_within_disk() {
    let mut deployment = Deployment::start_on_disks(DISK_BYTES).await;
    let _worker = deployment.add_worker("worker-1", Duration::from_millis(10)).await;
    deployment.configure(1, "key").await;
    let spec = waiting_schedule();
    let occurrence_bytes = spec.progress_bytes();
    for number in 0..JOB_COUNT {
        deployment.submit(&format!("job-{number}"), spec.clone()).await;
    }
    sleep(BEGIN_TIME).await;
    let (stored_bytes, limit_bytes) = (stored_bytes(&deployment), stored_limit_bytes(DISK_BYTES));
    assert!(stored_bytes > limit_bytes / 2, "{stored_bytes} bytes: few occurrences began");
    let first_bytes = JOB_COUNT * occurrence_bytes;
    assert!(
        stored_bytes <= limit_bytes + first_bytes,
        "{stored_bytes} of {limit_bytes} bytes are stored"
    );
    // The jobs are read and cancelled as usual.
    let cancel = Request::Cancel(target("job-0"));
    deployment.call_until(&cancel, |response| *response == Response::Cancelled).await;
}

//! Guards against a control leader that acts on stale state after it was stopped with SIGSTOP for
//! longer than an election and a lease: reverted changes, reads of old records, or a second run of
//! a job.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;
use support::{
    Deployment, complete_request, job, organisation, service, submit, wait_for_job,
    wait_for_leader, wait_for_minions, wait_for_worker,
};
use tokio::task::JoinSet;
use yuccatack_core::prelude::*;
use yuccatack_stand_ins::CallerStandIn;

/// Longer than an election (0.5 s) and a lease with its margin (6.5 s).
const FREEZE_TIME: Duration = Duration::from_secs(8);
/// Time over which records are read from the resumed replica.
const READ_TIME: Duration = Duration::from_secs(3);
const READER_COUNT: usize = 8;
/// Time from the start of the reads until the replica is resumed.
const READ_LEAD_TIME: Duration = Duration::from_millis(200);
const READ_INTERVAL: Duration = Duration::from_millis(10);
const SERVICE_PATH: &str = "/v1/records/service/results";
/// Run time with which a job that starts before the freeze ends after it.
const LONG_RUN_TIME: DurationMs = DurationMs::new(9_500);
const JOB_COUNT: usize = 3;

/// Replaces `count` generations of the service, one after another, and returns the last accepted
/// one.
async fn change_service(operator: &CallerStandIn, first: u64, count: u64) -> u64 {
    for generation in first..first + count {
        let id = format!("service-change-{generation}");
        let record = service_with(generation + 1);
        let deadline = Instant::now() + support::STEP_TIMEOUT;
        loop {
            let answer = operator.change(&id, "change", generation, record.clone()).await;
            if let Ok(answer) = &answer
                && answer.status.is_success()
            {
                assert_eq!(answer.json()["generation"], generation + 1);
                break;
            }
            let refused = answer.as_ref().is_ok_and(|answer| answer.json()["outcome"] == "refused");
            assert!(!refused, "a change of the only operator was refused: {answer:?}");
            assert!(Instant::now() < deadline, "{id} was not accepted in time: {answer:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    first + count
}

/// Returns the service record with a queue length that identifies its generation.
fn service_with(generation: u64) -> Value {
    let mut record = service();
    record["queue_length_count"] = Value::from(100 + generation);
    record
}

/// Reads the service repeatedly, checks that no response is older than `oldest`, and counts the
/// results.
async fn read_fresh(reader: CallerStandIn, oldest: u64) -> BTreeMap<String, usize> {
    let deadline = Instant::now() + READ_TIME;
    let mut counts = BTreeMap::new();
    while Instant::now() < deadline {
        let answer = reader.get(SERVICE_PATH).await;
        let name = match &answer {
            Ok(answer) if answer.status.is_success() => {
                let document = answer.json();
                let generation = document["generation"].as_u64().unwrap();
                assert!(
                    generation >= oldest,
                    "a record older than generation {oldest} was read: {document}"
                );
                assert_eq!(document["record"], service_with(generation));
                "read".to_owned()
            }
            Ok(answer) => format!("status {}", answer.status),
            Err(error) => format!("error {}", error.kind()),
        };
        *counts.entry(name).or_insert(0) += 1;
        tokio::time::sleep(READ_INTERVAL).await;
    }
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_leader_is_harmless() {
    let mut deployment = Deployment::start(3).await;
    let operator = deployment.operator();
    submit(&operator, "organisation-1", organisation()).await;
    submit(&operator, "service-1", service_with(1)).await;
    wait_for_worker(&operator).await;
    wait_for_minions(&operator, 1).await;
    let before = change_service(&operator, 1, 5).await;

    let long_job = JobName::new("rank-long").unwrap();
    deployment.worker.set_run_time(&long_job, LONG_RUN_TIME);
    let mut long_record = job("rank-long");
    long_record["idempotent"] = Value::from(false);
    submit(&operator, "job-long", long_record).await;
    wait_for_job(&operator, "rank-long", "running").await;

    let old_leader = wait_for_leader(&operator, None).await;
    // An entry that knows only the stopped replica reads from it as soon as it is resumed.
    let old_address = deployment.control_addresses[usize::try_from(old_leader).unwrap() - 1];
    let direct = deployment.add_entry_with(&[old_address]);
    wait_for_leader(&direct, None).await;
    let old_name = format!("control-{old_leader}");
    deployment.signal(&old_name, "-STOP");
    let frozen_at = Instant::now();
    let new_leader = wait_for_leader(&operator, Some(old_leader)).await;
    eprintln!("control-{new_leader} is the leader {:?} after SIGSTOP", frozen_at.elapsed());
    let meanwhile = change_service(&operator, before, 5).await;
    for number in 0..JOB_COUNT {
        submit(&operator, &format!("job-{number}"), job(&format!("rank-{number}"))).await;
    }
    tokio::time::sleep_until((frozen_at + FREEZE_TIME).into()).await;

    let mut reading = JoinSet::new();
    for _ in 0..READER_COUNT {
        reading.spawn(read_fresh(direct.clone(), meanwhile));
        reading.spawn(read_fresh(operator.clone(), meanwhile));
    }
    // The reads through the second entry are waiting at the stopped replica when it is resumed.
    tokio::time::sleep(READ_LEAD_TIME).await;
    deployment.signal(&old_name, "-CONT");
    let after = change_service(&operator, meanwhile, 5).await;
    let mut reads: BTreeMap<String, usize> = BTreeMap::new();
    for (name, count) in reading.join_all().await.into_iter().flatten() {
        *reads.entry(name).or_insert(0) += count;
    }
    eprintln!("reads around SIGCONT: {reads:?}");
    assert!(reads.contains_key("read"), "no read succeeded: {reads:?}");

    let stored = operator.get(SERVICE_PATH).await.unwrap().json();
    assert_eq!(stored["generation"], after);
    assert_eq!(stored["record"], service_with(after));
    for number in 0..JOB_COUNT {
        wait_for_job(&operator, &format!("rank-{number}"), "succeeded").await;
    }
    wait_for_job(&operator, "rank-long", "succeeded").await;
    complete_request(&operator, "bib 1").await;
    assert_eq!(deployment.worker.violations().await, Vec::new());
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for record in deployment.worker.records().await {
        *runs.entry(format!("{} task {}", record.task.job, record.task.index)).or_insert(0) += 1;
    }
    assert_eq!(runs.len(), 2 * (JOB_COUNT + 1), "{runs:?}");
    assert!(runs.values().all(|count| *count == 1), "a task ran more than once: {runs:?}");
}

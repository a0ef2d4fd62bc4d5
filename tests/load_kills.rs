//! Guards against responses to another request, second runs of an idempotency key and false
//! refusals while an entry, an agent, the control leader and a minion are killed under load.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use support::minion_proxy::MinionProxy;
use support::{Deployment, organisation, seed, service, submit, wait_for_leader, wait_for_minions};
use tokio::task::JoinSet;
use yuccatack_stand_ins::{CallerResponse, CallerStandIn, MinionBehaviour, MinionStandIn};

const ORGANISATION: &str = "putrajaya-club";
const SERVICE: &str = "results";
/// Time over which requests are sent at a constant rate.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// Interval of 143 requests per second.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(7);
/// Long enough that requests are in flight at each kill, short enough for the slots of two minions.
const RUN_TIME: Duration = Duration::from_millis(40);
/// Short, so that resends complete within the time of the test.
const DEADLINE_MS: u64 = 1_500;
/// Maximum number of submissions of a call whose outcome stays open.
const SUBMISSION_COUNT_LIMIT: usize = 3;
/// Delay before a resend.
const RESEND_DELAY: Duration = Duration::from_millis(100);
/// Bound on the duration of the whole test.
const TEST_DURATION_LIMIT: Duration = Duration::from_secs(25);
/// Bound on the time from the last fault until new requests complete.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// A request, which is sent again while its outcome is open.
#[derive(Clone, Debug)]
struct Call {
    body: String,
    key: Option<String>,
    first_entry: usize,
}

/// Result of one submission of a call.
#[derive(Clone, Debug)]
enum Submission {
    Completed(CallerResponse),
    /// Refused with a reason; `true` if the refusal also covers earlier submissions of the key.
    NotRun(String, bool),
    Unknown(String),
    Lost,
}

#[derive(Debug)]
struct Report {
    call: Call,
    submissions: Vec<Submission>,
}

fn submission(answer: std::io::Result<CallerResponse>) -> Submission {
    let Ok(answer) = answer else { return Submission::Lost };
    let reason = answer.header("yuccatack-reason").unwrap_or_default().to_owned();
    match answer.outcome() {
        Some("completed") => Submission::Completed(answer),
        Some("not_run") => {
            Submission::NotRun(reason, answer.header("yuccatack-not-run-scope") == Some("key"))
        }
        Some("unknown") => Submission::Unknown(reason),
        other => panic!("an entry responded with outcome {other:?}: {answer:?}"),
    }
}

async fn submit_call(call: Call, entries: Vec<CallerStandIn>) -> Report {
    let mut submissions = Vec::new();
    for number in 0..SUBMISSION_COUNT_LIMIT {
        let entry = &entries[(call.first_entry + number) % entries.len()];
        let body = Bytes::from(call.body.clone());
        let answer = match &call.key {
            Some(key) => entry.request_with_key(ORGANISATION, SERVICE, key, body).await,
            None => entry.request(ORGANISATION, SERVICE, body).await,
        };
        let submission = submission(answer);
        let open = matches!(submission, Submission::Lost | Submission::Unknown(_));
        submissions.push(submission);
        if !open {
            break;
        }
        tokio::time::sleep(RESEND_DELAY).await;
    }
    Report { call, submissions }
}

fn new_call(random: &mut ChaCha8Rng, number: usize) -> Call {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let key = random.random_bool(0.5).then(|| format!("{now_ms}-bib-{number}"));
    let first_entry = random.random_range(0..2);
    Call { body: format!("body {number} {key:?}"), key, first_entry }
}

/// Sends calls at a constant rate and returns the results of all their submissions.
async fn load(mut random: ChaCha8Rng, entries: Vec<CallerStandIn>) -> Vec<Report> {
    let mut calls = JoinSet::new();
    let end = Instant::now() + LOAD_TIME;
    let mut ticks = tokio::time::interval(SUBMISSION_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while Instant::now() < end {
        ticks.tick().await;
        let call = new_call(&mut random, calls.len());
        calls.spawn(submit_call(call, entries.clone()));
    }
    calls.join_all().await
}

/// Kills and restarts an entry, an agent, the control leader and a minion, one after another.
async fn inject_faults(
    random: &mut ChaCha8Rng,
    deployment: &mut Deployment,
    entries: &[CallerStandIn],
    proxy: &mut MinionProxy,
) {
    let leader = wait_for_leader(&entries[0], None).await;
    let names = ["entry-2".to_owned(), "agent-2".to_owned(), format!("control-{leader}")];
    for name in names {
        tokio::time::sleep(Duration::from_millis(random.random_range(1000..1500))).await;
        deployment.kill(&name);
        tokio::time::sleep(Duration::from_millis(random.random_range(600..1200))).await;
        deployment.restart(&name);
    }
    tokio::time::sleep(Duration::from_millis(random.random_range(1000..1500))).await;
    proxy.close().await;
    tokio::time::sleep(Duration::from_millis(random.random_range(600..1200))).await;
    proxy.open().await;
}

/// Checks the results of each call against the runs at the minions, and counts both.
fn check_reports(reports: &[Report], runs: &BTreeMap<String, usize>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    let mut count = |name: String| *counts.entry(name).or_insert(0) += 1;
    for report in reports {
        let Report { call, submissions } = report;
        let run_count = runs.get(&call.body).copied().unwrap_or_default();
        let kind = if call.key.is_some() { "keyed" } else { "idempotent" };
        if call.key.is_some() {
            assert!(run_count <= 1, "the request of a key ran {run_count} times: {report:?}");
        }
        for (position, submission) in submissions.iter().enumerate() {
            let resend = if position > 0 { " resend" } else { "" };
            match submission {
                Submission::Completed(answer) => {
                    assert_eq!(answer.status, 200, "{report:?}");
                    assert_eq!(answer.body, call.body.as_bytes(), "{report:?}");
                    assert!(run_count >= 1, "completed without a run: {report:?}");
                    count(format!("{kind}{resend} completed"));
                }
                Submission::NotRun(reason, whole_key) => {
                    if *whole_key {
                        assert_eq!(
                            run_count, 0,
                            "the key was refused, but its request ran: {report:?}"
                        );
                    }
                    count(format!("{kind}{resend} not_run {reason}"));
                }
                Submission::Unknown(reason) => count(format!("{kind}{resend} unknown {reason}")),
                Submission::Lost => count(format!("{kind}{resend} connection error")),
            }
        }
        if submissions.iter().all(|submission| matches!(submission, Submission::NotRun(..))) {
            assert_eq!(
                run_count, 0,
                "every submission was refused, but the request ran: {report:?}"
            );
        }
        count(format!("{kind} runs {run_count}"));
    }
    counts
}

/// Checks that both entries complete new requests, keyed and idempotent, within `RECOVERY_TIMEOUT`.
async fn check_recovery(entries: &[CallerStandIn]) {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let mut random = ChaCha8Rng::seed_from_u64(0);
    for number in 0..40 {
        loop {
            let mut call = new_call(&mut random, 1_000_000 + number);
            call.first_entry = number % 2;
            let report = submit_call(call, entries.to_vec()).await;
            if let [Submission::Completed(answer)] = report.submissions.as_slice() {
                assert_eq!(answer.body, report.call.body.as_bytes());
                break;
            }
            assert!(Instant::now() < deadline, "no recovery after the faults: {report:?}");
        }
    }
}

async fn run_counts(minions: &[&MinionStandIn]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for minion in minions {
        for run in minion.runs().await {
            *counts.entry(String::from_utf8(run.body.to_vec()).unwrap()).or_insert(0) += 1;
        }
    }
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn outcomes_match_runs() {
    let seed = seed(20_261_204);
    let start = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut deployment = Deployment::start(3).await;
    let entries = vec![deployment.operator(), deployment.add_second_entry()];
    let behaviour = MinionBehaviour { delay: RUN_TIME, ..MinionBehaviour::default() };
    deployment.minion.set_behaviour(behaviour);
    let second = MinionStandIn::start(behaviour).await.unwrap();
    let third = MinionStandIn::start(behaviour).await.unwrap();
    let mut proxy = MinionProxy::start(&third).await;
    deployment.add_agent_for(2, second.address());
    deployment.add_agent_for(3, proxy.address());
    submit(&entries[0], "organisation-1", organisation()).await;
    let mut service = service();
    service["default_deadline_ms"] = Value::from(DEADLINE_MS);
    submit(&entries[1], "service-1", service).await;
    wait_for_minions(&entries[0], 3).await;
    // An entry that has completed requests has received the records and the minions.
    check_recovery(&entries).await;

    let load = tokio::spawn(load(ChaCha8Rng::seed_from_u64(random.random()), entries.clone()));
    inject_faults(&mut random, &mut deployment, &entries, &mut proxy).await;
    let reports = load.await.unwrap();
    check_recovery(&entries).await;
    let runs = run_counts(&[&deployment.minion, &second, &third]).await;
    let counts = check_reports(&reports, &runs);
    eprintln!("seed {seed}, {} calls, {:?} in total", reports.len(), start.elapsed());
    for (name, count) in counts {
        eprintln!("{count:6} {name}");
    }
    assert!(start.elapsed() < TEST_DURATION_LIMIT, "the test took {:?}", start.elapsed());
}

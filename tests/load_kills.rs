//! Guards against crossed answers, second runs of a caller key and wrong refusals while an entry,
//! an agent, the control leader and a minion are killed under load.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use support::minion_port::MinionPort;
use support::{Deployment, organisation, seed, service, submit, wait_for_leader, wait_for_minions};
use tokio::task::JoinSet;
use yuccatack_stand_ins::{CallerResponse, CallerStandIn, MinionBehaviour, MinionStandIn};

const ORGANISATION: &str = "putrajaya-club";
const SERVICE: &str = "results";
/// How long requests are sent at a steady rate.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// 143 requests a second.
const SENDING_INTERVAL: Duration = Duration::from_millis(7);
/// Long enough that each kill meets requests in flight, short enough for the slots of two minions.
const RUN_TIME: Duration = Duration::from_millis(40);
/// Resends fit into the time of the test only with a short deadline.
const DEADLINE_MS: u64 = 1_500;
/// How often a call is sent in all while its outcome is open.
const SENDING_LIMIT: usize = 3;
/// The wait before a resend.
const RESEND_WAIT: Duration = Duration::from_millis(100);
/// The whole test ends within this time.
const TEST_LIMIT: Duration = Duration::from_secs(25);
/// New requests complete this soon after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

/// One call, which is sent again while its outcome is open.
#[derive(Clone, Debug)]
struct Call {
    body: String,
    key: Option<String>,
    first_entry: usize,
}

/// What one sending brought.
#[derive(Clone, Debug)]
enum Sending {
    Completed(CallerResponse),
    /// Refused; true if the refusal covers earlier sendings of the key too.
    NotRun(String, bool),
    Unknown(String),
    Lost,
}

#[derive(Debug)]
struct Report {
    call: Call,
    sendings: Vec<Sending>,
}

fn sending(answer: std::io::Result<CallerResponse>) -> Sending {
    let Ok(answer) = answer else { return Sending::Lost };
    let reason = answer.header("yuccatack-reason").unwrap_or_default().to_owned();
    match answer.outcome() {
        Some("completed") => Sending::Completed(answer),
        Some("not_run") => {
            Sending::NotRun(reason, answer.header("yuccatack-not-run-scope") == Some("key"))
        }
        Some("unknown") => Sending::Unknown(reason),
        other => panic!("an entry answered with outcome {other:?}: {answer:?}"),
    }
}

async fn carry_out(call: Call, entries: Vec<CallerStandIn>) -> Report {
    let mut sendings = Vec::new();
    for number in 0..SENDING_LIMIT {
        let entry = &entries[(call.first_entry + number) % entries.len()];
        let body = Bytes::from(call.body.clone());
        let answer = match &call.key {
            Some(key) => entry.request_with_key(ORGANISATION, SERVICE, key, body).await,
            None => entry.request(ORGANISATION, SERVICE, body).await,
        };
        let sending = sending(answer);
        let open = matches!(sending, Sending::Lost | Sending::Unknown(_));
        sendings.push(sending);
        if !open {
            break;
        }
        tokio::time::sleep(RESEND_WAIT).await;
    }
    Report { call, sendings }
}

fn new_call(random: &mut ChaCha8Rng, number: usize) -> Call {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let key = random.random_bool(0.5).then(|| format!("{now_ms}-bib-{number}"));
    let first_entry = random.random_range(0..2);
    Call { body: format!("body {number} {key:?}"), key, first_entry }
}

/// Sends calls at a steady rate and returns them with what became of them.
async fn load(mut random: ChaCha8Rng, entries: Vec<CallerStandIn>) -> Vec<Report> {
    let mut calls = JoinSet::new();
    let end = Instant::now() + LOAD_TIME;
    let mut ticks = tokio::time::interval(SENDING_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while Instant::now() < end {
        ticks.tick().await;
        let call = new_call(&mut random, calls.len());
        calls.spawn(carry_out(call, entries.clone()));
    }
    calls.join_all().await
}

/// Kills and restarts in turn an entry, an agent, the control leader and a minion.
async fn faults(
    random: &mut ChaCha8Rng,
    deployment: &mut Deployment,
    entries: &[CallerStandIn],
    port: &mut MinionPort,
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
    port.close().await;
    tokio::time::sleep(Duration::from_millis(random.random_range(600..1200))).await;
    port.open().await;
}

/// Checks what each caller was told against what ran, and counts both.
fn judge(reports: &[Report], runs: &BTreeMap<String, usize>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    let mut count = |name: String| *counts.entry(name).or_insert(0) += 1;
    for report in reports {
        let Report { call, sendings } = report;
        let run_count = runs.get(&call.body).copied().unwrap_or_default();
        let kind = if call.key.is_some() { "keyed" } else { "idempotent" };
        if call.key.is_some() {
            assert!(run_count <= 1, "ran {run_count} times: {report:?}");
        }
        for (position, sending) in sendings.iter().enumerate() {
            let resend = if position > 0 { " resend" } else { "" };
            match sending {
                Sending::Completed(answer) => {
                    assert_eq!(answer.status, 200, "{report:?}");
                    assert_eq!(answer.body, call.body.as_bytes(), "{report:?}");
                    assert!(run_count >= 1, "answered without a run: {report:?}");
                    count(format!("{kind}{resend} completed"));
                }
                Sending::NotRun(reason, whole_key) => {
                    if *whole_key {
                        assert_eq!(run_count, 0, "refused the key but ran: {report:?}");
                    }
                    count(format!("{kind}{resend} not_run {reason}"));
                }
                Sending::Unknown(reason) => count(format!("{kind}{resend} unknown {reason}")),
                Sending::Lost => count(format!("{kind}{resend} connection error")),
            }
        }
        if sendings.iter().all(|sending| matches!(sending, Sending::NotRun(..))) {
            assert_eq!(run_count, 0, "refused but ran: {report:?}");
        }
        count(format!("{kind} runs {run_count}"));
    }
    counts
}

/// Requires that each entry soon completes both kinds of new requests.
async fn complete_again(entries: &[CallerStandIn]) {
    let deadline = Instant::now() + RECOVERY_LIMIT;
    let mut random = ChaCha8Rng::seed_from_u64(0);
    for number in 0..40 {
        loop {
            let mut call = new_call(&mut random, 1_000_000 + number);
            call.first_entry = number % 2;
            let report = carry_out(call, entries.to_vec()).await;
            if let [Sending::Completed(answer)] = report.sendings.as_slice() {
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
    let mut port = MinionPort::start(&third).await;
    deployment.add_further_agent(2, second.address());
    deployment.add_further_agent(3, port.address());
    submit(&entries[0], "organisation-1", organisation()).await;
    let mut service = service();
    service["default_deadline_ms"] = Value::from(DEADLINE_MS);
    submit(&entries[1], "service-1", service).await;
    wait_for_minions(&entries[0], 3).await;
    // Each entry knows the records and the minions once it has completed requests.
    complete_again(&entries).await;

    let load = tokio::spawn(load(ChaCha8Rng::seed_from_u64(random.random()), entries.clone()));
    faults(&mut random, &mut deployment, &entries, &mut port).await;
    let reports = load.await.unwrap();
    complete_again(&entries).await;
    let runs = run_counts(&[&deployment.minion, &second, &third]).await;
    let counts = judge(&reports, &runs);
    eprintln!("seed {seed}, {} calls, {:?} in all", reports.len(), start.elapsed());
    for (name, count) in counts {
        eprintln!("{count:6} {name}");
    }
    assert!(start.elapsed() < TEST_LIMIT, "took {:?}", start.elapsed());
}

//! Guards against new requests for a minion whose agent is draining after SIGTERM, was killed, or
//! was stopped with SIGSTOP, while two entries send load to it and to another minion.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use support::{Deployment, complete_request, organisation, service, submit, wait_for_minions};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::MissedTickBehavior;
use yuccatack_stand_ins::{
    CallerResponse, CallerStandIn, MinionBehaviour, MinionRun, MinionStandIn,
};

/// Time after the signal from which the minion must get no new requests.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(3);
/// Longer than `DEPARTURE_LIMIT`, so that a call after the limit is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// Duration of the load before the signal, so that requests are in flight when it arrives.
const WARM_UP: Duration = Duration::from_secs(1);
/// Interval of 100 requests per second.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(10);
/// Resolution of the measured times.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time that an entry waits for an agent that does not respond. A shorter call was not sent to one.
const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Run time at which the load takes a quarter of the slots of the remaining minion, so that no
/// request is refused for lack of slots.
const RUN_TIME: Duration = Duration::from_millis(20);

/// A request and its response.
#[derive(Debug)]
struct Call {
    sent_at: Instant,
    latency: Duration,
    body: String,
    answer: CallerResponse,
}

/// Longer than `DEPARTURE_LIMIT`, so that the agent is still draining when the limit has passed.
const LONG_RUN_TIME: Duration = Duration::from_millis(4_000);
const LONG_REQUEST_COUNT: usize = 6;
/// Time within which the long requests reach their minions.
const LONG_REQUEST_LEAD_TIME: Duration = Duration::from_millis(150);

async fn call(entry: CallerStandIn, body: String) -> Call {
    let sent_at = Instant::now();
    let answer = entry.request("putrajaya-club", "results", body.clone().into()).await.unwrap();
    Call { sent_at, latency: sent_at.elapsed(), body, answer }
}

/// Sends idempotent requests through both entries.
async fn load(entries: [CallerStandIn; 2], duration: Duration) -> Vec<Call> {
    let mut calls = JoinSet::new();
    let end = Instant::now() + duration;
    let mut ticks = tokio::time::interval(SUBMISSION_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while Instant::now() < end {
        ticks.tick().await;
        let number = calls.len();
        calls.spawn(call(entries[number % 2].clone(), format!("bib {number}")));
    }
    calls.join_all().await
}

/// Counts the outcomes by reason and checks the bodies of completed requests.
fn count_outcomes(calls: &[Call]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for Call { body, answer, .. } in calls {
        let outcome = answer.outcome().unwrap();
        if outcome == "completed" {
            assert_eq!(answer.body, body.as_bytes());
        }
        let reason = answer.header("yuccatack-reason").unwrap_or_default();
        *counts.entry(format!("{outcome} {reason}").trim().to_owned()).or_insert(0) += 1;
    }
    counts
}

/// Returns the time from the signal to the last run that the minion starts, and the number of these
/// runs.
async fn last_run_after(
    minion: &MinionStandIn,
    start: Instant,
    first_count: usize,
) -> (Duration, usize) {
    let (mut last, mut count) = (Duration::ZERO, first_count);
    while start.elapsed() < OBSERVATION_TIME {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now_count = minion.runs().await.len();
        if now_count > count {
            (last, count) = (start.elapsed(), now_count);
        }
    }
    (last, count - first_count)
}

/// A deployment with two entries and two agents under load. The test stops `agent-2` and observes
/// its minion, `departing`.
struct Scenario {
    deployment: Deployment,
    departing: MinionStandIn,
    load: JoinHandle<Vec<Call>>,
}

impl Scenario {
    async fn start() -> Self {
        let mut deployment = Deployment::start(1).await;
        let entries = [deployment.operator(), deployment.add_second_entry()];
        let behaviour = MinionBehaviour { delay: RUN_TIME, ..MinionBehaviour::default() };
        deployment.minion.set_behaviour(behaviour);
        let departing = MinionStandIn::start(behaviour).await.unwrap();
        deployment.add_agent_for(2, departing.address());
        submit(&entries[0], "organisation-1", organisation()).await;
        submit(&entries[0], "service-1", service()).await;
        wait_for_minions(&entries[0], 2).await;
        for entry in &entries {
            complete_request(entry, "first").await;
        }
        let load = tokio::spawn(load(entries, WARM_UP + OBSERVATION_TIME));
        tokio::time::sleep(WARM_UP).await;
        assert!(
            departing.runs().await.len() > 10,
            "the departing minion got no load before the signal"
        );
        Self { deployment, departing, load }
    }
}

/// Starts long non-idempotent requests, so that some keep the departing agent draining.
async fn start_long_requests(scenario: &Scenario) -> JoinSet<CallerResponse> {
    let delay = LONG_RUN_TIME;
    scenario.departing.set_behaviour(MinionBehaviour { delay, ..MinionBehaviour::default() });
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let mut requests = JoinSet::new();
    for number in 0..LONG_REQUEST_COUNT {
        let caller = scenario.deployment.operator();
        requests.spawn(async move {
            let key = format!("{now_ms}-held-{number}");
            let body = key.clone().into();
            caller.request_with_key("putrajaya-club", "results", &key, body).await.unwrap()
        });
    }
    tokio::time::sleep(LONG_REQUEST_LEAD_TIME).await;
    let delay = RUN_TIME;
    scenario.departing.set_behaviour(MinionBehaviour { delay, ..MinionBehaviour::default() });
    let runs = scenario.departing.runs().await;
    let is_long = |run: &MinionRun| run.body.windows(6).any(|part| part == b"-held-");
    assert!(runs.iter().any(is_long), "no long request reached the departing minion");
    requests
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_after_terminate() {
    let mut scenario = Scenario::start().await;
    let long_requests = start_long_requests(&scenario).await;
    let run_count = scenario.departing.runs().await.len();
    let signalled_at = Instant::now();
    scenario.deployment.signal("agent-2", "-TERM");
    let (last, count) = last_run_after(&scenario.departing, signalled_at, run_count).await;
    let counts = count_outcomes(&scenario.load.await.unwrap());
    eprintln!("SIGTERM: {count} more calls, the last after {last:?}; outcomes {counts:?}");
    assert!(last <= DEPARTURE_LIMIT, "a call reached the minion {last:?} after SIGTERM");
    for answer in long_requests.join_all().await {
        assert_eq!(
            answer.outcome(),
            Some("completed"),
            "a long request was interrupted: {answer:?}"
        );
    }
    // The drain must interrupt nothing, and the other minion must take every new call.
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["completed"], "{counts:?}");
    assert_eq!(scenario.deployment.wait_for_exit("agent-2").code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_after_kill() {
    let mut scenario = Scenario::start().await;
    let run_count = scenario.departing.runs().await.len();
    let signalled_at = Instant::now();
    scenario.deployment.kill("agent-2");
    let (last, count) = last_run_after(&scenario.departing, signalled_at, run_count).await;
    let counts = count_outcomes(&scenario.load.await.unwrap());
    eprintln!("SIGKILL: {count} more calls, the last after {last:?}; outcomes {counts:?}");
    assert!(last <= DEPARTURE_LIMIT, "a call reached the minion {last:?} after SIGKILL");
    // Idempotent requests must be retried at the other minion after the loss of the agent.
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["completed"], "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_after_silence() {
    let mut scenario = Scenario::start().await;
    let run_count = scenario.departing.runs().await.len();
    let signalled_at = Instant::now();
    scenario.deployment.signal("agent-2", "-STOP");
    let (last, count) = last_run_after(&scenario.departing, signalled_at, run_count).await;
    let calls = scenario.load.await.unwrap();
    let counts = count_outcomes(&calls);
    let stalled: Vec<Duration> = calls
        .iter()
        .filter(|call| call.latency >= AGENT_RESPONSE_TIMEOUT)
        .map(|call| call.sent_at.saturating_duration_since(signalled_at))
        .collect();
    let last_stalled = stalled.iter().max().copied().unwrap_or_default();
    eprintln!("SIGSTOP: {count} more calls, the last after {last:?}; outcomes {counts:?}");
    eprintln!(
        "SIGSTOP: {} calls to the stopped agent, the last after {last_stalled:?}",
        stalled.len()
    );
    assert!(last <= DEPARTURE_LIMIT, "a call reached the minion {last:?} after SIGSTOP");
    assert!(
        last_stalled <= DEPARTURE_LIMIT,
        "a call was sent to the stopped agent {last_stalled:?} after SIGSTOP"
    );
    let resumed_count = scenario.departing.runs().await.len();
    scenario.deployment.signal("agent-2", "-CONT");
    tokio::time::sleep(AGENT_RESPONSE_TIMEOUT).await;
    let late = scenario.departing.runs().await.split_off(resumed_count);
    assert!(late.is_empty(), "calls that the other minion answered ran after SIGCONT: {late:?}");
}

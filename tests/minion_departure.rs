//! Guards against new work for a minion whose agent announced its departure, was killed, or
//! went silent.

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

/// A departing minion gets no new work after this time.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(3);
/// Longer than the limit, so that a call after it is seen.
const WATCH_TIME: Duration = Duration::from_secs(5);
/// Load before the signal, so that calls are in flight when it comes.
const WARM_UP: Duration = Duration::from_secs(1);
/// 100 requests a second.
const SENDING_INTERVAL: Duration = Duration::from_millis(10);
/// The resolution of the measured time.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// An entry waits this long for a silent agent; a call that takes less was not sent to one.
const SILENCE: Duration = Duration::from_secs(1);
/// The load takes a quarter of the remaining minion's slots, so that a refusal is not for their lack.
const RUN_TIME: Duration = Duration::from_millis(20);

/// A request that was answered.
#[derive(Debug)]
struct Call {
    sent_at: Instant,
    time: Duration,
    body: String,
    answer: CallerResponse,
}

/// Longer than the departure limit, so that the agent still drains when the limit has passed.
const HELD_RUN_TIME: Duration = Duration::from_millis(4_000);
const HELD_COUNT: usize = 6;
/// The held requests reach their minions within this time.
const HOLD_LEAD: Duration = Duration::from_millis(150);

async fn call(entry: CallerStandIn, body: String) -> Call {
    let sent_at = Instant::now();
    let answer = entry.request("putrajaya-club", "results", body.clone().into()).await.unwrap();
    Call { sent_at, time: sent_at.elapsed(), body, answer }
}

/// Sends idempotent requests through both entries.
async fn load(entries: [CallerStandIn; 2], time: Duration) -> Vec<Call> {
    let mut calls = JoinSet::new();
    let end = Instant::now() + time;
    let mut ticks = tokio::time::interval(SENDING_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while Instant::now() < end {
        ticks.tick().await;
        let number = calls.len();
        calls.spawn(call(entries[number % 2].clone(), format!("bib {number}")));
    }
    calls.join_all().await
}

/// Counts the outcomes and checks the answers.
fn outcomes(calls: &[Call]) -> BTreeMap<String, usize> {
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

/// The time from the signal until the last call reaches the minion, and how many do.
async fn watch(minion: &MinionStandIn, start: Instant, first_count: usize) -> (Duration, usize) {
    let (mut last, mut count) = (Duration::ZERO, first_count);
    while start.elapsed() < WATCH_TIME {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now_count = minion.runs().await.len();
        if now_count > count {
            (last, count) = (start.elapsed(), now_count);
        }
    }
    (last, count - first_count)
}

/// A deployment with two entries and two agents under load; `agent-2` is the one to leave.
struct Scene {
    deployment: Deployment,
    leaving: MinionStandIn,
    load: JoinHandle<Vec<Call>>,
}

impl Scene {
    async fn start() -> Self {
        let mut deployment = Deployment::start(1).await;
        let entries = [deployment.operator(), deployment.add_second_entry()];
        let behaviour = MinionBehaviour { delay: RUN_TIME, ..MinionBehaviour::default() };
        deployment.minion.set_behaviour(behaviour);
        let leaving = MinionStandIn::start(behaviour).await.unwrap();
        deployment.add_further_agent(2, leaving.address());
        submit(&entries[0], "organisation-1", organisation()).await;
        submit(&entries[0], "service-1", service()).await;
        wait_for_minions(&entries[0], 2).await;
        for entry in &entries {
            complete_request(entry, "first").await;
        }
        let load = tokio::spawn(load(entries, WARM_UP + WATCH_TIME));
        tokio::time::sleep(WARM_UP).await;
        assert!(leaving.runs().await.len() > 10, "the leaving minion had no work before");
        Self { deployment, leaving, load }
    }
}

/// Starts non-idempotent requests, some of which keep the leaving agent in its drain.
async fn hold_open(scene: &Scene) -> JoinSet<CallerResponse> {
    let delay = HELD_RUN_TIME;
    scene.leaving.set_behaviour(MinionBehaviour { delay, ..MinionBehaviour::default() });
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let mut held = JoinSet::new();
    for number in 0..HELD_COUNT {
        let caller = scene.deployment.operator();
        held.spawn(async move {
            let key = format!("{now_ms}-held-{number}");
            let body = key.clone().into();
            caller.request_with_key("putrajaya-club", "results", &key, body).await.unwrap()
        });
    }
    tokio::time::sleep(HOLD_LEAD).await;
    let delay = RUN_TIME;
    scene.leaving.set_behaviour(MinionBehaviour { delay, ..MinionBehaviour::default() });
    let runs = scene.leaving.runs().await;
    let is_held = |run: &MinionRun| run.body.windows(6).any(|part| part == b"-held-");
    assert!(runs.iter().any(is_held), "no request keeps the agent in its drain");
    held
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_after_terminate() {
    let mut scene = Scene::start().await;
    let held = hold_open(&scene).await;
    let run_count = scene.leaving.runs().await.len();
    let signalled_at = Instant::now();
    scene.deployment.signal("agent-2", "-TERM");
    let (last, count) = watch(&scene.leaving, signalled_at, run_count).await;
    let counts = outcomes(&scene.load.await.unwrap());
    eprintln!("SIGTERM: {count} more calls, the last after {last:?}; outcomes {counts:?}");
    assert!(last <= DEPARTURE_LIMIT, "a call reached the minion {last:?} after SIGTERM");
    for answer in held.join_all().await {
        assert_eq!(answer.outcome(), Some("completed"), "a held request was cut: {answer:?}");
    }
    // A planned stop interrupts nothing, and another minion takes every call.
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["completed"], "{counts:?}");
    assert_eq!(scene.deployment.wait_for_exit("agent-2").code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_after_kill() {
    let mut scene = Scene::start().await;
    let run_count = scene.leaving.runs().await.len();
    let signalled_at = Instant::now();
    scene.deployment.kill("agent-2");
    let (last, count) = watch(&scene.leaving, signalled_at, run_count).await;
    let counts = outcomes(&scene.load.await.unwrap());
    eprintln!("SIGKILL: {count} more calls, the last after {last:?}; outcomes {counts:?}");
    assert!(last <= DEPARTURE_LIMIT, "a call reached the minion {last:?} after SIGKILL");
    // Idempotent requests are sent to another minion when their agent is lost.
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["completed"], "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_after_silence() {
    let mut scene = Scene::start().await;
    let run_count = scene.leaving.runs().await.len();
    let signalled_at = Instant::now();
    scene.deployment.signal("agent-2", "-STOP");
    let (last, count) = watch(&scene.leaving, signalled_at, run_count).await;
    let calls = scene.load.await.unwrap();
    let counts = outcomes(&calls);
    let held: Vec<Duration> = calls
        .iter()
        .filter(|call| call.time >= SILENCE)
        .map(|call| call.sent_at.saturating_duration_since(signalled_at))
        .collect();
    let last_held = held.iter().max().copied().unwrap_or_default();
    eprintln!("SIGSTOP: {count} more calls, the last after {last:?}; outcomes {counts:?}");
    eprintln!("SIGSTOP: {} calls to the silent agent, the last after {last_held:?}", held.len());
    assert!(last <= DEPARTURE_LIMIT, "a call reached the minion {last:?} after SIGSTOP");
    assert!(
        last_held <= DEPARTURE_LIMIT,
        "a call was sent to the silent agent {last_held:?} after"
    );
    let resumed_count = scene.leaving.runs().await.len();
    scene.deployment.signal("agent-2", "-CONT");
    tokio::time::sleep(SILENCE).await;
    let late = scene.leaving.runs().await.split_off(resumed_count);
    assert!(late.is_empty(), "calls that were answered elsewhere ran late: {late:?}");
}

//! Non-idempotent requests over real sockets: one run at most, and the same response to a resend.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{RunningAgent, RunningEntry, System, post, unix_time};
use tokio::net::TcpListener;
use yuccatack_stand_ins::MinionBehaviour;
use yuccatack_view::MinionState;

fn headers(key: &str) -> Vec<(&'static str, &str)> {
    vec![
        ("yuccatack-organisation", "lender"),
        ("yuccatack-idempotent", "false"),
        ("yuccatack-key", key),
    ]
}

fn new_key(text: &str) -> String {
    format!("{}-{text}", unix_time().get())
}

/// Guards against a second run of a request that is sent again with the same idempotency key
/// through another entry, concurrently or later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_elsewhere() {
    let slow = MinionBehaviour { delay: Duration::from_millis(100), ..Default::default() };
    let system = System::start(&[slow; 3]).await;
    let other = RunningEntry::start(&system.view, system.claims.clone(), |_, _| {}).await;
    let key = new_key("rescoring");
    let mut calls = Vec::new();
    for address in [system.entry.address, other.address, system.entry.address] {
        let key = key.clone();
        calls.push(tokio::spawn(async move { post(address, &headers(&key), "score 7").await }));
    }
    for call in calls {
        let answer = call.await.unwrap();
        assert_eq!((answer.status, answer.outcome()), (200, "completed"), "{answer:?}");
        assert_eq!(answer.body, b"score 7".as_ref());
    }
    let later = post(other.address, &headers(&key), "score 7").await;
    assert_eq!((later.status, later.body.as_ref()), (200, b"score 7".as_ref()), "{later:?}");
    assert_eq!(system.run_count().await, 1);
}

/// Guards against reused, expired, future, malformed or missing idempotency keys that run a request
/// or are refused for another reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_keys() {
    let system = System::start(&[MinionBehaviour::default()]).await;
    let first = new_key("audit");
    assert_eq!(system.post(&headers(&first), "one").await.status, 200);
    let old = format!("{}-old", unix_time().get() - 25 * 60 * 60 * 1000);
    let future = format!("{}-future", unix_time().get() + 10 * 60 * 1000);
    let cases = [
        (first.as_str(), "other content", "key_reused"),
        (old.as_str(), "one", "key_too_old"),
        (future.as_str(), "one", "invalid"),
        ("no time", "one", "invalid"),
        ("17-", "one", "invalid"),
    ];
    for (key, body, reason) in cases {
        let answer = system.post(&headers(key), body).await;
        let found = (answer.status, answer.outcome(), answer.reason());
        assert_eq!(found, (400, "not_run", reason), "{key}: {answer:?}");
    }
    let missing = [("yuccatack-organisation", "lender")];
    assert_eq!(system.post(&missing, "one").await.reason(), "invalid");
    assert_eq!(system.run_count().await, 1);
}

/// Guards against a second run of a request whose agent was killed during the run and restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_agent() {
    let slow = MinionBehaviour { delay: Duration::from_millis(300), ..Default::default() };
    let mut system = System::start(&[slow]).await;
    let key = new_key("ranking");
    let address = system.entry.address;
    let call = {
        let key = key.clone();
        tokio::spawn(async move { post(address, &headers(&key), "rank").await })
    };
    tokio::time::sleep(Duration::from_millis(100)).await;
    let killed = system.agents.remove(0);
    let agent_address = killed.kill().await;
    let listener = TcpListener::bind(agent_address).await.unwrap();
    let minion = system.minions[0].address();
    let started =
        RunningAgent::start_on("minion-0", minion, &system.view, listener, agent_address).await;
    let answer = call.await.unwrap();
    assert_eq!((answer.status, answer.reason()), (504, "agent_restarted"), "{answer:?}");
    let again = system.post(&headers(&key), "rank").await;
    assert_eq!((again.status, again.reason()), (504, "agent_restarted"), "{again:?}");
    assert_eq!(system.run_count().await, 1);
    drop(started);
}

/// Guards against a resend of a completed request that gets "not run" because no minion accepts
/// work at that time, and against an idempotency key that stays blocked after such a refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_without_minions() {
    let system = System::start(&[MinionBehaviour::default()]).await;
    let (ran, new) = (new_key("ran"), new_key("new"));
    assert_eq!(system.post(&headers(&ran), "once").await.status, 200);
    let set_state = |state| {
        system.view.change(|view| {
            for minion in view.minions.values_mut() {
                Arc::make_mut(minion).status.state = state;
            }
        });
    };
    set_state(MinionState::Leaving);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let again = system.post(&headers(&ran), "once").await;
    assert_eq!((again.status, again.body.as_ref()), (200, b"once".as_ref()), "{again:?}");
    let refused = system.post(&headers(&new), "later").await;
    assert_eq!((refused.status, refused.reason()), (503, "no_minion"), "{refused:?}");
    assert_eq!(refused.headers["yuccatack-not-run-scope"], "key");
    set_state(MinionState::Ready);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let later = system.post(&headers(&new), "later").await;
    assert_eq!((later.status, later.body.as_ref()), (200, b"later".as_ref()), "{later:?}");
    assert_eq!(system.run_count().await, 2);
}

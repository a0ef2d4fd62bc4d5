//! Refusals over real sockets: the request did not run, and the reason is correct.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{IDEMPOTENT, RunningEntry, System, post};
use yuccatack_lifecycle::ShutdownPhase;
use yuccatack_stand_ins::MinionBehaviour;
use yuccatack_view::MinionState;

/// Guards against an entry or an agent that starts requests while its view is stale.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_view() {
    let system = System::start(&[MinionBehaviour::default()]).await;
    system.agents[0].view.set_fresh(false);
    let answer = system.post(IDEMPOTENT, "agent").await;
    assert_eq!((answer.status, answer.reason()), (503, "stale_view"), "{answer:?}");
    system.agents[0].view.set_fresh(true);
    system.view.set_fresh(false);
    let answer = system.post(IDEMPOTENT, "entry").await;
    assert_eq!((answer.status, answer.reason()), (503, "stale_view"), "{answer:?}");
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(system.run_count().await, 0);
}

/// Guards against new requests at a draining agent: it must report the drain to the view and refuse
/// requests from an entry that has not seen the report.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_agent() {
    let slow = MinionBehaviour { delay: Duration::from_secs(2), ..Default::default() };
    let system = System::start(&[slow]).await;
    let address = system.entry.address;
    let held = tokio::spawn(async move { post(address, IDEMPOTENT, "held").await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    system.agents[0].trigger.advance(ShutdownPhase::Draining);
    let mut handle = system.view.handle();
    let node = system.agents[0].node.clone();
    let leaving = async {
        while handle.view().minions[&node].status.state != MinionState::Leaving {
            handle.changed().await.unwrap();
        }
    };
    tokio::time::timeout(Duration::from_secs(1), leaving).await.unwrap();
    let refused = system.post(IDEMPOTENT, "new").await;
    assert_eq!((refused.status, refused.outcome()), (503, "not_run"), "{refused:?}");
    // The agent must refuse a request from an entry with an outdated view.
    system.view.change(|view| {
        let entry = Arc::make_mut(view.minions.get_mut(&node).unwrap());
        entry.status.state = MinionState::Ready;
    });
    let refused = system.post(IDEMPOTENT, "new").await;
    assert_eq!((refused.status, refused.reason()), (503, "leaving"), "{refused:?}");
    assert_eq!(held.await.unwrap().body, b"held".as_ref());
    assert_eq!(system.run_count().await, 1);
}

/// Guards against an unknown outcome while the minion is down: nothing was sent, so that the
/// request must be refused as not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn minion_down() {
    let mut system = System::start(&[MinionBehaviour::default()]).await;
    drop(system.minions.remove(0));
    let mut headers = IDEMPOTENT.to_vec();
    headers.push(("yuccatack-deadline-ms", "400"));
    let answer = system.post(&headers, "body").await;
    assert_eq!((answer.status, answer.outcome()), (503, "not_run"), "{answer:?}");
}

/// Guards against a request that waits until its deadline or ends as unknown because its agent was
/// killed: without a connection nothing was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_killed() {
    let mut system = System::start(&[MinionBehaviour::default()]).await;
    assert_eq!(system.post(IDEMPOTENT, "before").await.status, 200);
    system.agents.remove(0).kill().await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let answer = system.post(IDEMPOTENT, "after").await;
    assert_eq!((answer.status, answer.reason()), (503, "agent_unreachable"), "{answer:?}");
}

/// Guards against rate and concurrency limits in the record of an organisation that are not
/// enforced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn organisation_limits() {
    let slow = MinionBehaviour { delay: Duration::from_millis(200), ..Default::default() };
    let system = System::start(&[slow]).await;
    let limited = [("rate", 2, 100, "rate_limited"), ("width", 100, 2, "concurrency_limited")];
    for (name, rate_per_s, concurrency_count, reason) in limited {
        system.view.set_limits(name, rate_per_s, concurrency_count);
        let address = system.entry.address;
        let calls = (0..4).map(|_| {
            tokio::spawn(async move {
                let headers = [("yuccatack-organisation", name), ("yuccatack-idempotent", "true")];
                post(address, &headers, "body").await
            })
        });
        let calls: Vec<_> = calls.collect();
        let mut refused = 0;
        for call in calls {
            let answer = call.await.unwrap();
            if answer.status == 429 {
                assert_eq!(answer.reason(), reason, "{answer:?}");
                refused += 1;
            }
        }
        assert_eq!(refused, 2, "{name}");
    }
}

/// Guards against two entries that together exceed the slots or connections of a minion.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn minion_limits() {
    let slow = MinionBehaviour { delay: Duration::from_millis(20), ..Default::default() };
    let system = System::start(&[slow]).await;
    let other = RunningEntry::start(&system.view, system.claims.clone(), |_, _| {}).await;
    let addresses = [system.entry.address, other.address];
    let calls = (0..100).map(|number| {
        tokio::spawn(async move { post(addresses[number % 2], IDEMPOTENT, "body").await })
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        let answer = call.await.unwrap();
        assert!(matches!(answer.outcome(), "completed" | "not_run"), "{answer:?}");
    }
    // Each entry by itself sends up to 8 requests concurrently.
    assert_eq!(system.minions[0].running_peak(), 8);
    assert!(system.minions[0].connection_peak() <= 64);
}

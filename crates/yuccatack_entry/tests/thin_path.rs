//! Requests from caller to minion and back over real sockets.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::time::Duration;

use common::{IDEMPOTENT, System};
use yuccatack_lifecycle::ShutdownPhase;
use yuccatack_stand_ins::MinionBehaviour;

/// Guards against responses that reach the wrong caller when 40 requests run concurrently.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn matching_responses() {
    let system = System::start(&[MinionBehaviour::default(); 2]).await;
    let calls = (0..40).map(|number| {
        let address = system.entry.address;
        let body = format!("body {number}");
        tokio::spawn(async move {
            let answer = common::post(address, IDEMPOTENT, &body).await;
            (body, answer)
        })
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        let (body, answer) = call.await.unwrap();
        assert_eq!((answer.status, answer.outcome()), (200, "completed"), "{answer:?}");
        assert_eq!(answer.body, body.as_bytes());
    }
}

/// Guards against a drain of the entry or of the agent that interrupts a request in flight.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn graceful_drain() {
    let slow = MinionBehaviour { delay: Duration::from_millis(300), ..Default::default() };
    let mut system = System::start(&[slow]).await;
    let address = system.entry.address;
    let call = tokio::spawn(async move { common::post(address, IDEMPOTENT, "whole").await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    system.entry.drain();
    system.agents[0].trigger.advance(ShutdownPhase::Draining);
    let answer = call.await.unwrap();
    assert_eq!((answer.status, answer.body.as_ref()), (200, b"whole".as_ref()));
    let limit = Duration::from_secs(5);
    let entry = tokio::time::timeout(limit, system.entry.task).await.unwrap().unwrap();
    assert!(entry.is_ok(), "{entry:?}");
    let agent = tokio::time::timeout(limit, &mut system.agents[0].task).await.unwrap().unwrap();
    assert!(agent.is_ok(), "{agent:?}");
}

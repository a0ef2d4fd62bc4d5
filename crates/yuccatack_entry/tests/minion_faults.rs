//! Outcomes that callers get when a minion misbehaves, over real sockets.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::time::Duration;

use common::{IDEMPOTENT, System, unix_time};
use yuccatack_stand_ins::MinionBehaviour;

struct FaultCase {
    fault: &'static str,
    reason: &'static str,
}

const CASES: &[FaultCase] = &[
    FaultCase { fault: "truncate", reason: "invalid_answer" },
    FaultCase { fault: "crossed", reason: "invalid_answer" },
    FaultCase { fault: "oversized", reason: "invalid_answer" },
    FaultCase { fault: "close_early", reason: "minion_connection" },
    FaultCase { fault: "silent", reason: "deadline" },
];

/// Guards against a truncated, foreign or missing response that is passed on as completed, and
/// against a second run of a non-idempotent request after such a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn not_idempotent() {
    let system = System::start(&[MinionBehaviour::default(); 2]).await;
    for case in CASES {
        let before = system.run_count().await;
        let key = format!("{}-{}", unix_time().get(), case.fault);
        let headers = [
            ("yuccatack-organisation", "lender"),
            ("yuccatack-key", key.as_str()),
            ("yuccatack-deadline-ms", "700"),
            ("stand-in-fault", case.fault),
        ];
        let answer = system.post(&headers, "credit review").await;
        let found = (answer.status, answer.outcome(), answer.reason());
        assert_eq!(found, (504, "unknown", case.reason), "{}: {answer:?}", case.fault);
        let again = system.post(&headers, "credit review").await;
        assert_eq!((again.status, again.outcome()), (504, "unknown"), "{}: {again:?}", case.fault);
        assert_eq!(system.run_count().await - before, 1, "{} ran twice", case.fault);
    }
}

/// Guards against a faulty response that affects later requests, for example through a connection
/// that is used again: after each fault an ordinary request must get the response to its own body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn later_requests_unaffected() {
    let system = System::start(&[MinionBehaviour::default()]).await;
    for case in CASES {
        let mut headers = IDEMPOTENT.to_vec();
        headers.extend([("stand-in-fault", case.fault), ("yuccatack-deadline-ms", "300")]);
        let answer = system.post(&headers, "bad").await;
        assert_eq!(answer.outcome(), "unknown", "{}: {answer:?}", case.fault);
        system.view.wait_for_ready(1).await;
        let answer = system.post(IDEMPOTENT, case.fault).await;
        assert_eq!(answer.body, case.fault.as_bytes(), "{answer:?}");
    }
}

/// Guards against a late response that is delivered to the next request on the same connection: the
/// agent must close the connection when the deadline passes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_response() {
    let system = System::start(&[MinionBehaviour::default()]).await;
    let mut late = IDEMPOTENT.to_vec();
    late.extend([("stand-in-delay-ms", "400"), ("yuccatack-deadline-ms", "100")]);
    let answer = system.post(&late, "late").await;
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"), "{answer:?}");
    let closed = async {
        while system.minions[0].connection_count() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    // Without the close by the agent, the connection stays open for another 300 ms.
    tokio::time::timeout(Duration::from_millis(150), closed).await.expect("still connected");
    for number in 0..10 {
        let body = format!("next {number}");
        let answer = system.post(IDEMPOTENT, &body).await;
        assert_eq!(answer.body, body.as_bytes(), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an idempotent request that fails although another minion is healthy: one of the
/// two minions closes every connection early.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_retry() {
    let system = System::start(&[MinionBehaviour::default(); 2]).await;
    system.minions[0].set_behaviour(MinionBehaviour {
        fault: yuccatack_stand_ins::MinionFault::CloseEarly,
        ..Default::default()
    });
    for number in 0..20 {
        let body = format!("body {number}");
        let answer = system.post(IDEMPOTENT, &body).await;
        assert_eq!((answer.status, answer.body.as_ref()), (200, body.as_bytes()), "{answer:?}");
    }
}

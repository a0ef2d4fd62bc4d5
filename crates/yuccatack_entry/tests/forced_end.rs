//! Aborted drains of an entry and an agent.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::time::Duration;

use common::{IDEMPOTENT, System, post};
use yuccatack_agent::AgentError;
use yuccatack_entry::EntryError;
use yuccatack_lifecycle::ShutdownPhase;
use yuccatack_stand_ins::MinionBehaviour;

/// Guards against an aborted drain that ends without an error or with a wrong count of the requests
/// and attempts it interrupted: three requests are running when the abort comes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_unfinished_counts() {
    let slow = MinionBehaviour { delay: Duration::from_secs(20), ..Default::default() };
    let mut system = System::start(&[slow]).await;
    let address = system.entry.address;
    for _ in 0..3 {
        tokio::spawn(async move { post(address, IDEMPOTENT, "body").await });
    }
    while system.run_count().await < 3 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    system.entry.trigger.advance(ShutdownPhase::Aborting);
    system.agents[0].trigger.advance(ShutdownPhase::Aborting);
    let limit = Duration::from_secs(2);
    let entry = tokio::time::timeout(limit, system.entry.task).await.unwrap().unwrap();
    assert!(matches!(entry, Err(EntryError::Aborted { request_count: 3 })), "{entry:?}");
    let agent = tokio::time::timeout(limit, &mut system.agents[0].task).await.unwrap().unwrap();
    assert!(matches!(agent, Err(AgentError::Aborted { attempt_count: 3 })), "{agent:?}");
}

//! Guards against a stop by SIGTERM that interrupts a request in flight or exits with an error:
//! each role is stopped while a slow request runs.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time::Duration;

use support::{Deployment, complete_request, organisation, service, submit};
use yuccatack_stand_ins::MinionBehaviour;

#[tokio::test(flavor = "multi_thread")]
async fn requests_complete_after_sigterm() {
    for name in ["entry-1", "agent-1", "control-1"] {
        let mut deployment = Deployment::start(1).await;
        let operator = deployment.operator();
        submit(&operator, "organisation-1", organisation()).await;
        submit(&operator, "service-1", service()).await;
        complete_request(&operator, "bib 1").await;

        let delay = Duration::from_millis(800);
        deployment.minion.set_behaviour(MinionBehaviour { delay, ..MinionBehaviour::default() });
        let caller = operator.clone();
        let in_flight = tokio::spawn(async move {
            caller.request("putrajaya-club", "results", "slow bib".into()).await
        });
        tokio::time::sleep(Duration::from_millis(200)).await;
        deployment.signal(name, "-TERM");
        let answer = in_flight.await.unwrap().unwrap();
        assert_eq!(
            answer.outcome(),
            Some("completed"),
            "the stop of {name} interrupted a request: {answer:?}"
        );
        let status = deployment.wait_for_exit(name);
        assert_eq!(status.code(), Some(0), "{name} exited with {status}");
    }
}

//! Guards against a planned stop that cuts a request in flight or ends with an error.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time::Duration;

use support::{Deployment, complete_request, organisation, service, submit};
use yuccatack_stand_ins::MinionBehaviour;

#[tokio::test(flavor = "multi_thread")]
async fn terminate_cuts_nothing() {
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
        assert_eq!(answer.outcome(), Some("completed"), "{name} cut a request: {answer:?}");
        let status = deployment.wait_for_exit(name);
        assert_eq!(status.code(), Some(0), "{name} ended with {status}");
    }
}

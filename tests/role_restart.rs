//! Guards against requests and jobs that keep failing, and against lost state, after a process was
//! killed and restarted.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{
    Deployment, complete_request, job, organisation, service, submit, wait_for_job, wait_for_worker,
};

#[tokio::test(flavor = "multi_thread")]
async fn recovery_from_role_kills() {
    let mut deployment = Deployment::start(1).await;
    let operator = deployment.operator();
    submit(&operator, "organisation-1", organisation()).await;
    let first = submit(&operator, "service-1", service()).await;
    wait_for_worker(&operator).await;
    submit(&operator, "job-1", job("rank-1")).await;
    wait_for_job(&operator, "rank-1", "succeeded").await;
    complete_request(&operator, "bib 1").await;

    for (round, name) in ["entry-1", "agent-1", "control-1"].into_iter().enumerate() {
        deployment.kill(name);
        deployment.restart(name);
        complete_request(&operator, &format!("bib after {name}")).await;
        let job_name = format!("rank-after-{round}");
        submit(&operator, &format!("job-after-{round}"), job(&job_name)).await;
        wait_for_job(&operator, &job_name, "succeeded").await;
        // A resend of an old change must get the first response: nothing was lost or applied twice.
        assert_eq!(submit(&operator, "service-1", service()).await, first);
        wait_for_job(&operator, "rank-1", "succeeded").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn recovery_from_replica_kills() {
    let mut deployment = Deployment::start(3).await;
    let operator = deployment.operator();
    submit(&operator, "organisation-1", organisation()).await;
    submit(&operator, "service-1", service()).await;
    wait_for_worker(&operator).await;
    complete_request(&operator, "bib 1").await;
    for number in 1..=3 {
        let name = format!("control-{number}");
        deployment.kill(&name);
        let job_name = format!("rank-{number}");
        submit(&operator, &format!("job-{number}"), job(&job_name)).await;
        wait_for_job(&operator, &job_name, "succeeded").await;
        complete_request(&operator, &format!("bib {number}")).await;
        deployment.restart(&name);
    }
}

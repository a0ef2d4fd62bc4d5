//! Guards against a role that does not serve its health, readiness, burn report or metrics, and
//! against requests and jobs that the metrics do not count.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use support::{
    Deployment, STEP_TIMEOUT, complete_request, job, organisation, service, submit, wait_for_job,
    wait_for_worker,
};
use yuccatack_stand_ins::CallerStandIn;

async fn scrape(address: SocketAddr, path: &str) -> String {
    let answer = CallerStandIn::new(address).get(path).await.unwrap();
    assert!(answer.status.is_success(), "{address}{path}: {answer:?}");
    String::from_utf8(answer.body.to_vec()).unwrap()
}

async fn wait_until_ready(address: SocketAddr) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer = CallerStandIn::new(address).get("/ready").await.unwrap();
        if answer.status.is_success() {
            return;
        }
        assert!(Instant::now() < deadline, "{address} was not ready in time: {answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn roles_serve_metrics() {
    let deployment = Deployment::start(1).await;
    let operator = deployment.operator();
    submit(&operator, "organisation-1", organisation()).await;
    submit(&operator, "service-1", service()).await;
    let objective = json!({
        "schema_version": 2, "kind": "objective", "name": "results-latency",
        "indicator": {"request_latency": "results"}, "target_ratio": 0.999, "threshold_ms": 2000,
    });
    submit(&operator, "objective-1", objective).await;
    wait_for_worker(&operator).await;
    submit(&operator, "job-1", job("rank-1")).await;
    wait_for_job(&operator, "rank-1", "succeeded").await;
    complete_request(&operator, "bib 1").await;

    let [control, entry, agent] = deployment.metrics_addresses[..] else {
        panic!("expected the metrics addresses of three roles")
    };
    for address in [control, entry, agent] {
        scrape(address, "/health").await;
        wait_until_ready(address).await;
        scrape(address, "/burn").await;
    }
    let metrics = scrape(entry, "/metrics").await;
    let counted = metrics.lines().any(|line| {
        line.starts_with("yuccatack_requests_total{") && line.contains("putrajaya-club")
    });
    assert!(counted, "{metrics}");
    let metrics = scrape(control, "/metrics").await;
    let counted = metrics.lines().any(|line| {
        line.starts_with("yuccatack_job_outcomes_total{") && line.contains("succeeded")
    });
    assert!(counted, "{metrics}");
}

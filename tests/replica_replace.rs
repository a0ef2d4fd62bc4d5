//! Guards against lost or reverted records when a control replica loses its disk and is replaced,
//! and a second replica is lost directly after the replacement.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{Deployment, STEP_TIMEOUT, organisation, service, submit};
use yuccatack_stand_ins::CallerStandIn;

async fn wait_for_voters(operator: &CallerStandIn, wanted: &[u64]) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer = operator.get("/v1/status").await;
        if let Ok(answer) = &answer {
            let document = answer.json();
            let voters = document["replication"]["voters"].as_array().cloned().unwrap_or_default();
            let ids: Vec<u64> =
                voters.iter().filter_map(|voter| voter["replica_id"].as_u64()).collect();
            if ids == wanted {
                return;
            }
        }
        assert!(
            Instant::now() < deadline,
            "the voters did not become {wanted:?} in time: {answer:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn membership(deployment: &Deployment, numbers: &[usize]) -> Value {
    let replicas: Vec<Value> = numbers
        .iter()
        .map(|number| {
            let address = deployment.control_addresses[number - 1].to_string();
            json!({"replica_id": number, "address": address})
        })
        .collect();
    json!({
        "schema_version": 2, "kind": "membership", "name": "control", "replicas": replicas,
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn second_loss_after_replacement() {
    let mut deployment = Deployment::start(3).await;
    let operator = deployment.operator();
    let first = submit(&operator, "organisation-1", organisation()).await;

    deployment.kill("control-3");
    deployment.delete_data_folder(3);
    let number = deployment.add_replacement();
    assert_eq!(number, 4);
    submit(&operator, "membership-1", membership(&deployment, &[1, 2, 4])).await;
    wait_for_voters(&operator, &[1, 2, 4]).await;

    deployment.kill("control-1");
    deployment.delete_data_folder(1);
    submit(&operator, "service-1", service()).await;
    assert_eq!(submit(&operator, "organisation-1", organisation()).await, first);
    let stored = operator.get("/v1/records/organisation/putrajaya-club").await.unwrap().json();
    assert_eq!(stored["generation"], first["generation"]);
}

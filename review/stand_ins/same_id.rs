//! Two tenants choose the same `ID` for a job, each on a queue of its own, and one of them cancels.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::cluster::{CannotRun, Cluster, MANIFEST, Outcome, play_on};

const ID: &str = "0000000000000001";
const OTHER_ID: &str = "0000000000000002";
const WORK_MS: u64 = 4_000;

pub fn play(case: &Path, with_trouble: bool) -> Outcome<Vec<String>> {
    play_on(2, case, |cluster| run(cluster, with_trouble))
}

/// Adds a second queue and a second tenant to the manifest.
fn manifest() -> String {
    MANIFEST
        .replace(
            r#""Public":false}],"Services""#,
            r#""Public":false},{"Name":"r-2","Host":"jobs.example","PathPrefix":"/p/","Kind":"non_idempotent","TimeoutMs":3000,"SloMs":3000,"Priority":1,"Service":"pool","MaxAttempts":3,"Stretch":3.0,"Public":false}],"Services""#,
        )
        .replace(
            r#""Guaranteed":{"Gpus":0}}]"#,
            r#""Guaranteed":{"Gpus":0}},{"Name":"t2","ApiKeys":["k2"],"Priority":1,"Guaranteed":{"Gpus":0}}]"#,
        )
}

fn run(cluster: &mut Cluster, with_trouble: bool) -> Outcome<Vec<String>> {
    for worker in 0..2 {
        cluster.start_worker(worker, &format!("m{worker}"), "a", 0)?;
    }
    cluster.configure(&manifest(), Duration::from_secs(15))?;
    sleep(Duration::from_secs(2));
    let body = |work_ms: u64, count: u32| {
        format!(
            r#"{{"Spec":"{work_ms}","Phases":[{{"Count":{count},"Cpu":1000,"MemMb":256,"EstRuntimeMs":{work_ms}}}]}}"#
        )
    };
    let second_id = if with_trouble { ID } else { OTHER_ID };
    let (first, second) = (format!("/q/{ID}"), format!("/p/{second_id}"));
    cluster.submit(&first, "k1", &body(WORK_MS, 1), Duration::from_secs(10))?;
    sleep(Duration::from_millis(500));
    cluster.submit(&second, "k2", &body(WORK_MS, 2), Duration::from_secs(10))?;
    sleep(Duration::from_millis(500));
    cluster.consumer_call("GET", &second, "k2", "");
    let answer = cluster.consumer_call("DELETE", &second, "k2", "");
    if answer.is_none_or(|(status, _)| status != 200 && status != 410) {
        return Err(CannotRun("the second tenant's cancel was not acknowledged".to_owned()));
    }
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        sleep(Duration::from_millis(500));
        match cluster.state(&first, "k1").as_deref() {
            Some("completed") => return Ok(Vec::new()),
            Some(state @ ("cancelled" | "failed")) => {
                return Ok(vec![format!(
                    "the first tenant's job is shown as `{state}`, and only the second tenant has \
                     cancelled a job"
                )]);
            }
            _ => {}
        }
    }
    Err(CannotRun("the first tenant's job did not end in time".to_owned()))
}

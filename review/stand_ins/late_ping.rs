//! A ping of a minion's earlier boot, held up by a partition, reaches the node beside the minion
//! just after that node was restarted.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::boots::start_minions;
use crate::cluster::{Cluster, Outcome, play_on, twice};
use crate::worker::{HEARTBEAT, unix_ms};

const JOB: &str = "5c0e7a21d94b36f8";
const TASK: &str = "5c0e7a21d94b36f8.0.0.0";

/// Work of the job's only work item.
const WORK_MS: u64 = 9_000;

/// Number of `side` machines; minions are up beside the first two.
const SIDE_COUNT: usize = 4;

pub fn play(case: &Path, with_trouble: bool) -> Outcome<Vec<String>> {
    play_on(SIDE_COUNT, case, |cluster| run(cluster, with_trouble))
}

fn run(cluster: &mut Cluster, with_trouble: bool) -> Outcome<Vec<String>> {
    let held_up = start_minions(cluster, with_trouble)?;
    let body = format!(
        r#"{{"Spec":"{WORK_MS}","Phases":[{{"Count":1,"Cpu":1000,"MemMb":256,"EstRuntimeMs":{WORK_MS}}}]}}"#
    );
    let path = format!("/q/{JOB}");
    cluster.submit(&path, "k1", &body, Duration::from_secs(10))?;
    let start = cluster.wait_for("the start", Duration::from_secs(5), |event| {
        event.kind == "start" && event.task == TASK
    })?;
    sleep(Duration::from_millis(300));
    let worker = usize::from(start.boot.starts_with("m1-"));
    if with_trouble {
        // The node beside the minion is stopped and started again, just after a ping of the minion.
        let heartbeat_ms = HEARTBEAT.as_millis() as u64;
        let since_ping_ms = (unix_ms() - start.at_born()) % heartbeat_ms;
        sleep(Duration::from_millis(heartbeat_ms - since_ping_ms + 150));
        cluster.terminate(&Cluster::agent_name(worker));
        cluster.start_agent(worker)?;
        let deadline = Instant::now() + Duration::from_secs(3);
        while !held_up[worker].arrive(cluster) && Instant::now() < deadline {
            sleep(Duration::from_millis(20));
        }
    }
    let deadline = Instant::now() + Duration::from_secs(30);
    while Instant::now() < deadline && cluster.state(&path, "k1").as_deref() != Some("completed") {
        sleep(Duration::from_secs(1));
    }
    sleep(Duration::from_secs(1));
    Ok(twice(&cluster.events(), TASK, &[], unix_ms()))
}

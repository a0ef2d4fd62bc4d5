//! A ping of a minion's earlier boot, held up by a partition, reaches the node beside the minion
//! while that node stands still for some seconds.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::boots::start_minions;
use crate::cluster::{Cluster, Outcome, SIGCONT, SIGSTOP, play_on, twice};
use crate::worker::unix_ms;

const JOB: &str = "5c0e7a21d94b36f8";
const TASK: &str = "5c0e7a21d94b36f8.0.0.0";

/// Work of the job's only work item.
const WORK_MS: u64 = 9_000;

/// Time for which the node beside the minion stands still.
const FROZEN_FOR: Duration = Duration::from_millis(3_000);

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
        let agent = Cluster::agent_name(worker);
        cluster.signal(&agent, SIGSTOP);
        sleep(FROZEN_FOR / 2);
        held_up[worker].send(cluster);
        sleep(FROZEN_FOR / 2);
        cluster.signal(&agent, SIGCONT);
    }
    let deadline = Instant::now() + Duration::from_secs(30);
    while Instant::now() < deadline && cluster.state(&path, "k1").as_deref() != Some("completed") {
        sleep(Duration::from_secs(1));
    }
    sleep(Duration::from_secs(1));
    Ok(twice(&cluster.events(), TASK, &[], unix_ms()))
}

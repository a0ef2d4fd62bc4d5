//! A minion crashes and starts again under its `Id` while jobs arrive.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, MANIFEST, Outcome, play_on, twice};
use crate::worker::unix_ms;

const JOB_COUNT: usize = 12;

/// Work of each job's only work item.
const WORK_MS: u64 = 5_000;

pub fn play(case: &Path, with_trouble: bool) -> Outcome<Vec<String>> {
    play_on(2, case, |cluster| run(cluster, with_trouble))
}

fn run(cluster: &mut Cluster, with_trouble: bool) -> Outcome<Vec<String>> {
    let first_ping_ms =
        std::env::var("FIRST_PING_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(300);
    for worker in 0..2 {
        cluster.start_worker(worker, &format!("m{worker}"), "a", 0)?;
    }
    cluster.configure(MANIFEST, Duration::from_secs(15))?;
    sleep(Duration::from_secs(3));
    let mut crashed = Vec::new();
    if with_trouble {
        let boots = cluster.events();
        let boot = boots.iter().find(|event| event.boot.starts_with("m0@")).unwrap().boot.clone();
        cluster.kill("worker-0");
        crashed.push((boot, unix_ms()));
        sleep(Duration::from_millis(200));
        cluster.start_worker(0, "m0", "a", first_ping_ms)?;
    }
    let paths: Vec<String> =
        (0..JOB_COUNT).map(|index| format!("/q/5c0e7a21d94b36{index:02x}")).collect();
    let body = format!(
        r#"{{"Spec":"{WORK_MS}","Phases":[{{"Count":1,"Cpu":1000,"MemMb":256,"EstRuntimeMs":{WORK_MS}}}]}}"#
    );
    for path in &paths {
        cluster.submit(path, "k1", &body, Duration::from_secs(10))?;
        sleep(Duration::from_millis(80));
    }
    let deadline = Instant::now() + Duration::from_secs(30);
    for path in &paths {
        while Instant::now() < deadline && cluster.state(path, "k1").as_deref() != Some("completed")
        {
            sleep(Duration::from_millis(500));
        }
    }
    sleep(Duration::from_secs(1));
    let events = cluster.events();
    let mut breaks = Vec::new();
    for path in &paths {
        let task = format!("{}.0.0.0", &path[3..]);
        breaks.extend(twice(&events, &task, &crashed, unix_ms()));
    }
    Ok(breaks)
}

//! Many short work items end on one minion at about the same time.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::cluster::{CONTROL_COUNT, Cluster, Event, MANIFEST, Outcome, play_on, twice};
use crate::worker::unix_ms;

const WORK_MS: u64 = 3_000;

const COUNT: u32 = 3_000;

/// Number of work items without the disruption; one list holds the ends of all of them.
const CALM_COUNT: u32 = 400;

/// Number of jobs, one after the other.
const ROUND_COUNT: usize = 5;

/// Time for which all processes of the core are down.
const CORE_DOWN_FOR: Duration = Duration::from_millis(700);

pub fn play(case: &Path, with_trouble: bool) -> Outcome<Vec<String>> {
    play_on(1, case, |cluster| run(cluster, with_trouble))
}

fn run(cluster: &mut Cluster, with_trouble: bool) -> Outcome<Vec<String>> {
    cluster.start_worker(0, "m0", "a", 0)?;
    cluster.configure(MANIFEST, Duration::from_secs(15))?;
    sleep(Duration::from_secs(2));
    let count = if with_trouble { COUNT } else { CALM_COUNT };
    let body = format!(
        r#"{{"Spec":"{WORK_MS}","Phases":[{{"Count":{count},"Cpu":10,"MemMb":10,"EstRuntimeMs":{WORK_MS}}}]}}"#
    );
    for round in 0..ROUND_COUNT {
        let id = format!("5c0e7a21d94b36{round:02x}");
        let path = format!("/q/{id}");
        cluster.submit(&path, "k1", &body, Duration::from_secs(10))?;
        if with_trouble {
            let start = cluster.wait_for("a start", Duration::from_secs(5), |event| {
                event.kind == "start" && event.task.starts_with(&id)
            })?;
            let from_ms = start.at_ms + WORK_MS - 300;
            sleep(Duration::from_millis(from_ms.saturating_sub(unix_ms())));
            for control in 0..CONTROL_COUNT {
                cluster.kill(&format!("control-{control}"));
            }
            sleep(CORE_DOWN_FOR);
            for control in 0..CONTROL_COUNT {
                cluster.start_control(control)?;
            }
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline
            && cluster.state(&path, "k1").as_deref() != Some("completed")
        {
            sleep(Duration::from_secs(1));
        }
        sleep(Duration::from_secs(1));
    }
    let mut per_task: BTreeMap<String, Vec<Event>> = BTreeMap::new();
    for event in cluster.events() {
        per_task.entry(event.task.clone()).or_default().push(event);
    }
    let mut breaks = Vec::new();
    for (task, events) in &per_task {
        breaks.extend(twice(events, task, &[], unix_ms()));
    }
    Ok(breaks)
}

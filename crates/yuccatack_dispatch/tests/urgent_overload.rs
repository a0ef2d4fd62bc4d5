//! Replays an overload of the most urgent queue. Guards against an order by deadlines that begins each
//! job when it is about to be late, so that nearly all of them complete late.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;

use support::{TestCluster, starts, step};
use yuccatack_core::JobName;
use yuccatack_runs::{RunId, RunOutcome};

/// Run time of each job, which is also its estimate.
const RUN_TIME_MS: u64 = 2_000;

/// Objective of each job: three times the run time and one second.
const OBJECTIVE_MS: u64 = 7_000;

/// Interval between two jobs, each of which needs the only worker for more than twice as long.
const ARRIVAL_INTERVAL_MS: u64 = 900;

const LENGTH_MS: u64 = 120_000;

#[test]
fn completed_in_time() {
    let mut cluster = TestCluster::new(1);
    let mut accepted_at: BTreeMap<JobName, u64> = BTreeMap::new();
    let mut executing: Option<(RunId, u64)> = None;
    let (mut completed_count, mut in_time_count) = (0, 0);
    for tick in 0..LENGTH_MS / 100 {
        cluster.advance(100);
        let now_ms = cluster.now.get();
        if (tick * 100).is_multiple_of(ARRIVAL_INTERVAL_MS) {
            let name = format!("urgent{tick}");
            cluster.submit(&name, 0, step(1, 8));
            accepted_at.insert(JobName::new(&name).unwrap(), now_ms);
        }
        match executing.take() {
            Some((run, ends_at)) if now_ms >= ends_at => {
                completed_count += 1;
                let age_ms = now_ms - accepted_at[&run.task.job];
                in_time_count += usize::from(age_ms <= OBJECTIVE_MS);
                cluster.observe(0, &[], &[(run, RunOutcome::Done)], &[]);
            }
            Some((run, ends_at)) => {
                let percent = 100 - (ends_at - now_ms) * 100 / RUN_TIME_MS;
                cluster.observe(0, &[(run.clone(), percent as u8)], &[], &[]);
                executing = Some((run, ends_at));
            }
            None => cluster.observe(0, &[], &[], &[]),
        }
        if let Some(run) = starts(&cluster.decide()).first() {
            cluster.report_begun(run);
            executing = Some((run.clone(), now_ms + RUN_TIME_MS));
        }
    }
    assert!(completed_count >= 50, "only {completed_count} of 60 possible jobs completed");
    // Jobs that can be in time always wait, so that none has to be late once the overload is known.
    assert!(
        in_time_count * 10 >= completed_count * 9,
        "{in_time_count} of {completed_count} completed jobs were in time"
    );
}

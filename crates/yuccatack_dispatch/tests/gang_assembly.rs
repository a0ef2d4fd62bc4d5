//! Guards against workers that are quarantined because their gang members wait for one that has not
//! begun.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, starts, step, stops};
use yuccatack_dispatch::StartResult;
use yuccatack_runs::{RunOutcome, StepSpec};

#[test]
fn waiting_members_blameless() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("gang", 1, StepSpec { gang: true, ..step(2, 8) });
    cluster.decide();
    let (present, absent) = (run("gang", 0, 1), run("gang", 1, 1));
    cluster.report_begun(&present);
    cluster.start_result(&absent, StartResult::Unknown);
    let (present_on, absent_on) = (cluster.worker_of(&present), cluster.worker_of(&absent));
    // The worker of the absent member is silent meanwhile, so that nothing shows whether it began.
    let mut stopped = Vec::new();
    for _ in 0..14 {
        cluster.advance(300);
        cluster.observe(present_on, &[(present.clone(), 0)], &[], &[]);
        stopped.extend(stops(&cluster.decide()));
    }
    assert!(stopped.contains(&present), "the present member waited on for the absent one");
    cluster.observe(present_on, &[], &[(present, RunOutcome::Stopped)], &[]);
    cluster.observe(absent_on, &[], &[], &[absent]);
    cluster.submit("next", 1, step(1, 8));
    let begun = starts(&cluster.decide());
    assert!(
        begun.iter().any(|run| cluster.worker_of(run) == present_on),
        "the worker of a member that only waited was quarantined"
    );
}

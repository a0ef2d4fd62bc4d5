//! Long randomised runs of the state machine. Under all faults committed entries are kept, each
//! term has at most one leader, logs match, and reads are linearizable.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use std::sync::atomic::{AtomicU64, Ordering};

use simulation::faults::{FaultPlan, recover_and_check, run};
use simulation::operator::Operator;
use simulation::seeds::for_each_seed;
use simulation::{Simulator, SimulatorSettings};

const VOTER_COUNTS: [u64; 4] = [3, 5, 1, 3];

/// Counts over all runs of a test, which show that the runs exercised the log.
#[derive(Default)]
struct Coverage {
    acknowledged: AtomicU64,
    reads: AtomicU64,
    promotions: AtomicU64,
    losses_after_promotion: AtomicU64,
}

impl Coverage {
    fn totals(&self) -> [u64; 4] {
        [&self.acknowledged, &self.reads, &self.promotions, &self.losses_after_promotion]
            .map(|count| count.load(Ordering::Relaxed))
    }
}

/// Faults besides loss, delay, kills, freezes and partitions.
#[derive(Clone, Copy, Default)]
struct ExtraFaults {
    wipes: bool,
    membership_changes: bool,
    disk_stalls: bool,
}

fn run_seed(seed: u64, extra: ExtraFaults, coverage: &Coverage) {
    let ExtraFaults { wipes, membership_changes, disk_stalls } = extra;
    let voter_count = VOTER_COUNTS[(seed % 4) as usize];
    let snapshot_entry_count = if seed.is_multiple_of(3) { 1_000_000 } else { 40 };
    let append_limit_bytes = if seed.is_multiple_of(2) { 100 } else { 4_096 };
    let settings = SimulatorSettings { voter_count, snapshot_entry_count, append_limit_bytes };
    let mut simulator = Simulator::new(seed, settings);
    let mut operator = Operator::new(voter_count);
    let plan = FaultPlan { wipes, membership_changes, disk_stalls, duration_ms: 30_000 };
    run(&mut simulator, &mut operator, plan);
    recover_and_check(&mut simulator, &mut operator, plan);
    coverage.acknowledged.fetch_add(simulator.history.acknowledged_count, Ordering::Relaxed);
    coverage.reads.fetch_add(simulator.history.read_count, Ordering::Relaxed);
    coverage.promotions.fetch_add(operator.promotions, Ordering::Relaxed);
    coverage.losses_after_promotion.fetch_add(operator.losses_after_promotion, Ordering::Relaxed);
}

/// Guards against lost or changed commits under message loss, kills, freezes and partitions.
#[test]
fn kills_and_partitions() {
    let coverage = Coverage::default();
    for_each_seed(24, |seed| run_seed(seed, ExtraFaults::default(), &coverage));
    let [acknowledged, reads, ..] = coverage.totals();
    eprintln!("acknowledged {acknowledged}, reads {reads}");
    assert!(acknowledged > 0 && reads > 0, "no proposal or no read succeeded in any run");
}

/// Guards against a wiped replica that votes or acknowledges under its old number, and against lost
/// commits around membership changes, also when a second voter is lost right after a promotion.
#[test]
fn wiped_disks() {
    let coverage = Coverage::default();
    let extra = ExtraFaults { wipes: true, membership_changes: true, disk_stalls: false };
    for_each_seed(24, |seed| run_seed(seed, extra, &coverage));
    let [acknowledged, reads, promotions, losses] = coverage.totals();
    eprintln!("acknowledged {acknowledged}, reads {reads}");
    eprintln!("promotions {promotions}, disks lost right after one {losses}");
    assert!(acknowledged > 0 && reads > 0, "no proposal or no read succeeded in any run");
}

/// Guards against lost commits, second leaders and requests without an answer while disks are full
/// or hang, also all of them at once, and against a group that does not come back afterwards.
#[test]
fn stalled_disks() {
    let coverage = Coverage::default();
    let extra = ExtraFaults { wipes: false, membership_changes: true, disk_stalls: true };
    for_each_seed(24, |seed| run_seed(seed, extra, &coverage));
    let [acknowledged, reads, ..] = coverage.totals();
    eprintln!("acknowledged {acknowledged}, reads {reads}");
    assert!(acknowledged > 0 && reads > 0, "no proposal or no read succeeded in any run");
}

//! Long randomised runs of the state machine: whatever fails, committed entries stay, each term has
//! one leader, logs match, and reads are linearizable.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use std::sync::atomic::{AtomicU64, Ordering};

use simulation::faults::{FaultPlan, recover_and_check, run};
use simulation::operator::Operator;
use simulation::seeds::for_each_seed;
use simulation::{World, WorldSettings};

const VOTER_COUNTS: [u64; 4] = [3, 5, 1, 3];

/// What the runs of one test went through together.
#[derive(Default)]
struct Covered {
    acknowledged: AtomicU64,
    reads: AtomicU64,
    promotions: AtomicU64,
    losses_after_repair: AtomicU64,
}

impl Covered {
    fn totals(&self) -> [u64; 4] {
        [&self.acknowledged, &self.reads, &self.promotions, &self.losses_after_repair]
            .map(|count| count.load(Ordering::Relaxed))
    }
}

fn run_seed(seed: u64, wipes: bool, membership_changes: bool, covered: &Covered) {
    let voter_count = VOTER_COUNTS[(seed % 4) as usize];
    let snapshot_entry_count = if seed.is_multiple_of(3) { 1_000_000 } else { 40 };
    let append_limit_bytes = if seed.is_multiple_of(2) { 100 } else { 4_096 };
    let settings = WorldSettings { voter_count, snapshot_entry_count, append_limit_bytes };
    let mut world = World::new(seed, settings);
    let mut operator = Operator::new(voter_count);
    let plan = FaultPlan { wipes, membership_changes, duration_ms: 30_000 };
    run(&mut world, &mut operator, plan);
    recover_and_check(&mut world, &mut operator, plan);
    covered.acknowledged.fetch_add(world.history.acknowledged_count, Ordering::Relaxed);
    covered.reads.fetch_add(world.history.read_count, Ordering::Relaxed);
    covered.promotions.fetch_add(operator.promotions, Ordering::Relaxed);
    covered.losses_after_repair.fetch_add(operator.losses_after_repair, Ordering::Relaxed);
}

/// Guards against lost or changed commits under loss, kills, freezes and partitions.
#[test]
fn kills_and_partitions() {
    let covered = Covered::default();
    for_each_seed(24, |seed| run_seed(seed, false, false, &covered));
    let [acknowledged, reads, ..] = covered.totals();
    eprintln!("acknowledged {acknowledged}, reads {reads}");
    assert!(acknowledged > 0 && reads > 0, "the runs exercised nothing");
}

/// Guards against a wiped replica that votes or acknowledges under its old identity, and against
/// losses around membership changes, also when a second VM is lost right after a repair.
#[test]
fn wiped_disks() {
    let covered = Covered::default();
    for_each_seed(24, |seed| run_seed(seed, true, true, &covered));
    let [acknowledged, reads, promotions, losses] = covered.totals();
    eprintln!("acknowledged {acknowledged}, reads {reads}");
    eprintln!("promotions {promotions}, disks lost right after one {losses}");
    assert!(acknowledged > 0 && reads > 0, "the runs exercised nothing");
}

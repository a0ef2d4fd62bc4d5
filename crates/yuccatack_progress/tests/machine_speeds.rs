//! Guards against machines whose speed is not learned, or that are told apart by chance.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{Fleet, node};

const MACHINE_COUNT: usize = 72;

/// Returns how many slow machines are known to be slow, and how many others are taken for slow.
fn known_slow(fleet: &Fleet) -> (usize, usize) {
    let known = (0..MACHINE_COUNT).filter(|index| fleet.speed(*index) < 0.8);
    let (right, wrong): (Vec<usize>, Vec<usize>) = known.partition(|index| fleet.is_slow(*index));
    (right.len(), wrong.len())
}

#[test]
fn gangs_tell_apart() {
    for seed in 1..=8 {
        let mut fleet = Fleet::uneven(MACHINE_COUNT, seed);
        for _ in 0..60 {
            let machines = fleet.choose(5);
            fleet.run_gang(&machines, 2_000);
        }
        let (right, wrong) = known_slow(&fleet);
        assert!(right >= 22, "seed {seed}: only {right} of 24 slow machines are known");
        assert_eq!(wrong, 0, "seed {seed}: ordinary machines are taken for slow");
    }
}

#[test]
fn singles_tell_apart() {
    for seed in 1..=8 {
        let mut fleet = Fleet::uneven(MACHINE_COUNT, seed);
        for _ in 0..60 {
            let machines = fleet.choose(16);
            fleet.run_singles(&machines, 3_000);
        }
        let (right, wrong) = known_slow(&fleet);
        assert!(right >= 22, "seed {seed}: only {right} of 24 slow machines are known");
        assert!(wrong <= 1, "seed {seed}: {wrong} ordinary machines are taken for slow");
    }
}

#[test]
fn speeds_are_accurate() {
    let mut fleet = Fleet::uneven(MACHINE_COUNT, 3);
    for _ in 0..200 {
        let machines = fleet.choose(5);
        fleet.run_gang(&machines, 2_000);
    }
    let mut speeds = fleet.speeds.clone();
    speeds.sort_by(f64::total_cmp);
    let median = speeds[MACHINE_COUNT / 2];
    for index in 0..MACHINE_COUNT {
        let estimate = fleet.model.estimate(&node(index)).unwrap();
        let ratio = estimate.speed / (fleet.speeds[index] / median);
        assert!((0.9..1.1).contains(&ratio), "machine {index} is off by a factor of {ratio}");
    }
}

#[test]
fn alike_machines_stay_typical() {
    for seed in 1..=8 {
        // Machines within 10% of each other, with work that differs.
        let speeds = (0..MACHINE_COUNT).map(|index| 0.95 + 0.1 * (index % 7) as f64 / 6.0);
        let mut fleet = Fleet::new(speeds.collect(), seed);
        for _ in 0..60 {
            let machines = fleet.choose(16);
            fleet.run_singles(&machines, 3_000);
            let gang = fleet.choose(5);
            fleet.run_gang(&gang, 2_000);
        }
        let distinct = (0..MACHINE_COUNT).filter(|index| fleet.speed(*index) != 1.0).count();
        assert_eq!(distinct, 0, "seed {seed}: {distinct} equal machines are told apart");
        assert!(fleet.model.changed_estimates(256).is_empty(), "estimates are stored for nothing");
    }
}

#[test]
fn unfinished_gang_counts() {
    // A gang tells its machines apart before it ends, once the speeds of the others are known.
    let mut fleet = Fleet::new(vec![1.0; 10], 1);
    for _ in 0..20 {
        let machines = fleet.choose(5);
        fleet.run_gang(&machines, 2_000);
    }
    fleet.speeds.push(0.45);
    fleet.begin_gang(&[0, 1, 2, 3, 10], 2_000, 750);
    let speed = fleet.speed(10);
    assert!((0.4..0.55).contains(&speed), "the slow member has speed {speed}");
}

#[test]
fn distant_data_ignored() {
    let mut fleet = Fleet::new(vec![1.0; 8], 1);
    for _ in 0..30 {
        let group = fleet.next_group();
        for step in 0..8u8 {
            fleet.now = fleet.now + yuccatack_core::DurationMs::new(support::POLL_MS);
            for task in 0..8 {
                let percent = if task == 0 { step * 5 } else { step * 12 };
                let mut sample = fleet.sample(&group, task, task, percent);
                sample.comparable = task != 0;
                fleet.model.on_progress(&sample, fleet.now);
            }
        }
    }
    assert_eq!(fleet.speed(0), 1.0, "a machine far from the data is taken for slow");
}

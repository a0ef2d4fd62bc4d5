//! Guards against work that keeps going to a worker that fails or hangs everything.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{World, run, starts, step, stops};
use yuccatack_runs::{RunOutcome, StepSpec};

#[test]
fn failing_worker_rests() {
    let mut world = World::new(1);
    for job in ["a", "b"] {
        world.submit(job, 1, step(1, 8));
        assert_eq!(starts(&world.decide()), [run(job, 0, 1)]);
        world.begun(&run(job, 0, 1));
        world.advance(100);
        world.table.cancel(&run(job, 0, 1).task.job, world.now.get());
        world.observe(0, &[], &[(run(job, 0, 1), RunOutcome::Failed)], &[]);
    }
    world.submit("c", 1, step(1, 8));
    assert!(starts(&world.decide()).is_empty(), "a worker that fails everything got more");
    world.advance(4_500);
    world.observe(0, &[], &[], &[]);
    assert_eq!(starts(&world.decide()), [run("c", 0, 1)], "the worker was never tried again");
}

#[test]
fn last_attempt_on_trusted() {
    let mut world = World::new(1);
    world.submit("a", 1, step(1, 8));
    world.decide();
    world.begun(&run("a", 0, 1));
    world.observe(0, &[], &[(run("a", 0, 1), RunOutcome::Failed)], &[]);
    assert!(starts(&world.decide()).is_empty(), "the last attempt went to the failing worker");
    world.advance(4_100);
    world.observe(0, &[], &[], &[]);
    assert_eq!(starts(&world.decide()), [run("a", 0, 2)], "the job waits for ever");
}

#[test]
fn stalled_run_stopped() {
    let mut world = World::new(1);
    world.submit("a", 1, step(1, 8));
    world.decide();
    world.begun(&run("a", 0, 1));
    for _ in 0..12 {
        world.advance(300);
        world.observe(0, &[(run("a", 0, 1), 40)], &[], &[]);
    }
    assert_eq!(stops(&world.decide()), [run("a", 0, 1)]);
}

#[test]
fn pause_of_leader_ignored() {
    let mut world = World::new(1);
    world.submit("a", 1, step(1, 8));
    world.decide();
    world.begun(&run("a", 0, 1));
    world.observe(0, &[(run("a", 0, 1), 40)], &[], &[]);
    // The process was paused; what waited meanwhile arrives at once.
    world.advance(5_000);
    world.observe(0, &[(run("a", 0, 1), 40)], &[], &[]);
    assert!(stops(&world.decide()).is_empty(), "a sound run was stopped after a pause");
}

/// A gang of two on two workers of different speed, both begun.
fn gang_of_two() -> (World, [usize; 2]) {
    let mut world = World::new(2);
    world.submit("a", 1, StepSpec { gang: true, ..step(2, 8) });
    world.decide();
    let places = [0, 1].map(|index| world.place(&run("a", index, 1)));
    (0..2).for_each(|index| world.begun(&run("a", index, 1)));
    (world, places)
}

#[test]
fn fast_member_waits() {
    let (mut world, [fast, slow]) = gang_of_two();
    for look in 0..16 {
        world.advance(300);
        world.observe(fast, &[(run("a", 0, 1), 100)], &[], &[]);
        world.observe(slow, &[(run("a", 1, 1), 80 + look)], &[], &[]);
        assert!(stops(&world.decide()).is_empty(), "a gang was stopped while a member worked");
    }
}

#[test]
fn stalled_member_found() {
    let (mut world, [done, stuck]) = gang_of_two();
    for _ in 0..12 {
        world.advance(300);
        world.observe(done, &[(run("a", 0, 1), 100)], &[], &[]);
        world.observe(stuck, &[(run("a", 1, 1), 60)], &[], &[]);
    }
    assert_eq!(stops(&world.decide()), [run("a", 0, 1), run("a", 1, 1)]);
}

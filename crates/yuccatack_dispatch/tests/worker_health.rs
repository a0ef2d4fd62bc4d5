//! Guards against work that keeps going to a worker that fails or hangs everything.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{World, run, starts, step, stops};
use yuccatack_runs::RunOutcome;

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

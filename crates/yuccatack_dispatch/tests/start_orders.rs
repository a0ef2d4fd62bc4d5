//! Guards against a task that is given up while its start may still be carried out.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{World, run, starts, step, stops};
use yuccatack_dispatch::StartResult;
use yuccatack_runs::RunOutcome;

fn world_with_start() -> World {
    let mut world = World::new(1);
    world.submit("a", 1, step(1, 8));
    assert_eq!(starts(&world.decide()), [run("a", 0, 1)]);
    world
}

#[test]
fn refused_start_barred() {
    let mut world = world_with_start();
    world.start_result(&run("a", 0, 1), StartResult::NoRoom);
    assert_eq!(stops(&world.decide()), [run("a", 0, 1)]);
    world.advance(300);
    world.observe(0, &[], &[], &[]);
    assert!(starts(&world.decide()).is_empty(), "began again before the stop was confirmed");
    world.advance(300);
    world.observe(0, &[], &[], &[run("a", 0, 1)]);
    assert_eq!(starts(&world.decide()), [run("a", 0, 2)]);
}

#[test]
fn lost_answer_found() {
    let mut world = world_with_start();
    world.start_result(&run("a", 0, 1), StartResult::Unknown);
    world.advance(300);
    world.observe(0, &[(run("a", 0, 1), 10)], &[], &[]);
    assert!(stops(&world.decide()).is_empty(), "a run that had begun was stopped");
    assert_eq!(world.table.open_runs().len(), 1);
}

#[test]
fn lost_start_barred() {
    let mut world = world_with_start();
    world.start_result(&run("a", 0, 1), StartResult::Unknown);
    for _ in 0..2 {
        world.advance(300);
        world.observe(0, &[], &[], &[]);
    }
    assert_eq!(stops(&world.decide()), [run("a", 0, 1)]);
    // The stop is lost as well, and sent again.
    world.advance(1_000);
    world.observe(0, &[], &[], &[]);
    assert_eq!(stops(&world.decide()), [run("a", 0, 1)]);
    assert!(world.table.open_runs().contains_key(&run("a", 0, 1)));
}

#[test]
fn late_start_ends_as_stopped() {
    let mut world = world_with_start();
    world.start_result(&run("a", 0, 1), StartResult::Refused);
    world.decide();
    world.advance(300);
    // The start was carried out before the stop, which therefore ends it.
    world.observe(0, &[(run("a", 0, 1), 0)], &[], &[run("a", 0, 1)]);
    assert!(starts(&world.decide()).is_empty(), "began beside a run that is being stopped");
    world.advance(300);
    world.observe(0, &[], &[(run("a", 0, 1), RunOutcome::Stopped)], &[]);
    assert_eq!(starts(&world.decide()), [run("a", 0, 2)]);
}

#[test]
fn cancelled_run_stopped() {
    let mut world = world_with_start();
    world.begun(&run("a", 0, 1));
    world.table.cancel(&run("a", 0, 1).task.job, world.now.get());
    assert_eq!(stops(&world.decide()), [run("a", 0, 1)]);
}

#[test]
fn draining_worker_gets_nothing() {
    let mut world = World::new(1);
    let draining = yuccatack_dispatch::WorkerState { draining: true, ..support::state(0, 1) };
    world.tell(0, yuccatack_dispatch::AgentMessage::State(draining));
    world.submit("a", 1, step(1, 8));
    assert!(starts(&world.decide()).is_empty(), "a leaving worker got new work");
}

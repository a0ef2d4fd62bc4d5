//! Guards against gangs that begin in part, wait for members that will not come, or are spread over
//! racks although one holds them.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeSet;

use support::{World, run, starts, step, stops};
use yuccatack_dispatch::StartResult;
use yuccatack_runs::{RunOutcome, StepSpec};

fn gang(task_count: u32, accelerator_count: u32) -> StepSpec {
    StepSpec { gang: true, ..step(task_count, accelerator_count) }
}

#[test]
fn whole_or_nothing() {
    let mut world = World::new(2);
    world.submit("small", 0, step(1, 4));
    assert_eq!(starts(&world.decide()).len(), 1);
    world.begun(&run("small", 0, 1));
    world.submit("wide", 1, gang(2, 8));
    assert!(starts(&world.decide()).is_empty(), "a part of a gang began");
    world.end(&run("small", 0, 1), RunOutcome::Done);
    assert_eq!(starts(&world.decide()), [run("wide", 0, 1), run("wide", 1, 1)]);
}

#[test]
fn one_rack_chosen() {
    let mut world = World::new(4);
    // One worker of the first rack is taken, so that only the second rack holds the gang.
    world.submit("small", 0, step(1, 1));
    world.decide();
    let taken_rack = world.place(&run("small", 0, 1)) / 2;
    world.submit("wide", 1, StepSpec { rack_local: true, ..gang(2, 8) });
    world.decide();
    let racks: BTreeSet<usize> =
        (0..2).map(|index| world.place(&run("wide", index, 1)) / 2).collect();
    assert_eq!(racks, BTreeSet::from([1 - taken_rack]));
}

#[test]
fn rest_of_gang_stopped() {
    let mut world = World::new(2);
    world.submit("wide", 1, gang(2, 8));
    world.decide();
    world.begun(&run("wide", 0, 1));
    world.start_result(&run("wide", 1, 1), StartResult::NoRoom);
    // The member that is being barred will not come, so the other one must not wait for it.
    assert_eq!(stops(&world.decide()), [run("wide", 0, 1), run("wide", 1, 1)]);
}

#[test]
fn done_gang_left_alone() {
    let mut world = World::new(2);
    world.submit("wide", 1, gang(2, 8));
    world.decide();
    world.begun(&run("wide", 0, 1));
    world.begun(&run("wide", 1, 1));
    let index = world.place(&run("wide", 0, 1));
    world.advance(2_000);
    world.observe(index, &[], &[(run("wide", 0, 1), RunOutcome::Done)], &[]);
    let orders = world.decide();
    assert!(starts(&orders).is_empty(), "a done gang began again");
}

#[test]
fn data_rack_preferred() {
    let mut world = World::new(4);
    let near = StepSpec { data_rack: Some(std::sync::Arc::from("rack-1")), ..step(2, 4) };
    world.submit("near", 1, near);
    world.decide();
    for index in 0..2 {
        assert_eq!(world.place(&run("near", index, 1)) / 2, 1);
    }
}

#[test]
fn limit_per_worker() {
    let mut world = World::new(2);
    world.submit("apart", 1, StepSpec { tasks_per_worker: Some(1), ..step(3, 1) });
    assert_eq!(starts(&world.decide()).len(), 2, "more tasks than the limit on one worker");
    let places: BTreeSet<usize> = (0..2).map(|i| world.place(&run("apart", i, 1))).collect();
    assert_eq!(places.len(), 2);
}

//! Guards against workers that fill up with other work, so that each urgent job must wait for an
//! eviction.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{World, run, starts, step};
use yuccatack_runs::RunOutcome;

/// Two workers whose urgent work has used one of them for a while.
fn busy_world() -> World {
    let mut world = World::new(2);
    world.submit("urgent", 0, step(1, 8));
    world.decide();
    world.begun(&run("urgent", 0, 1));
    for _ in 0..40 {
        world.advance(500);
        let place = world.place(&run("urgent", 0, 1));
        world.observe(place, &[(run("urgent", 0, 1), 50)], &[], &[]);
        world.observe(1 - place, &[], &[], &[]);
        world.decide();
    }
    world
}

#[test]
fn kept_for_urgent() {
    let mut world = busy_world();
    world.submit("low", 2, step(1, 8));
    assert!(starts(&world.decide()).is_empty(), "other work took the room of urgent work");
    world.submit("next", 0, step(1, 8));
    assert_eq!(starts(&world.decide()), [run("next", 0, 1)]);
}

#[test]
fn given_up_again() {
    let mut world = busy_world();
    let place = world.place(&run("urgent", 0, 1));
    world.observe(place, &[], &[(run("urgent", 0, 1), RunOutcome::Done)], &[]);
    world.submit("low", 2, step(2, 8));
    // Without urgent work the average falls, and with it what is kept.
    for _ in 0..60 {
        world.advance(500);
        world.observe_all(2);
        if starts(&world.decide()).len() == 2 || world.table.open_runs().len() == 2 {
            return;
        }
    }
    panic!("the room was kept although no urgent work comes");
}

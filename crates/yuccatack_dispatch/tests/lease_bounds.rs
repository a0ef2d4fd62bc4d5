//! Guards against a task that begins on a second worker while a lease may still keep it alive on
//! the first one.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{LONGEST_LEASE, World, incarnation, run, starts, step};
use yuccatack_core::TimestampMs;
use yuccatack_dispatch::{ClockReading, Dispatcher};

/// The lease that the settings make of the longest one.
const LEASE_MS: u64 = LONGEST_LEASE.get() * 8 / 10;

#[test]
fn slow_clock_waited_for() {
    let reading = ClockReading { clock_ms: 50_000, received_at: TimestampMs::new(1_000) };
    let past = reading.latest_expiry(59_800);
    // A clock that is 2% slow needs ten seconds for 9.8, and timers add a margin.
    assert!(past >= TimestampMs::new(11_300), "{past:?}");
    assert!(past < TimestampMs::new(12_000), "{past:?}");
}

#[test]
fn grant_needs_confirmed_lead() {
    let mut world = World::new(1);
    let orders = world.decide();
    let granted_until_clock_ms = orders[0].1.lease_until_clock_ms.unwrap();
    assert_eq!(granted_until_clock_ms, world.clock_ms() + LEASE_MS);
    assert!(world.decide().is_empty(), "a reading was used twice");
    // The lead is confirmed by a round that began before the reading arrived.
    let began_at = world.now;
    world.advance(300);
    world.observe_unconfirmed(0, &[], &[], &[]);
    world.dispatcher.confirm_leadership(began_at);
    assert!(world.decide().is_empty(), "a lease was granted from an unconfirmed reading");
    world.dispatcher.confirm_leadership(world.now);
    assert_eq!(world.decide()[0].1.lease_until_clock_ms.unwrap(), world.clock_ms() + LEASE_MS);
}

#[test]
fn silent_worker_keeps_task() {
    let mut world = World::new(2);
    world.submit("a", 1, step(1, 8));
    assert_eq!(starts(&world.decide()), [run("a", 0, 1)]);
    let first = world.place(&run("a", 0, 1));
    world.begun(&run("a", 0, 1));
    let other = 1 - first;
    let begun_at = world.now;
    loop {
        world.advance(100);
        world.observe(other, &[], &[], &[]);
        let again = starts(&world.decide());
        let waited_ms = world.now.since(begun_at).get();
        if !again.is_empty() {
            assert_eq!(again, [run("a", 0, 2)]);
            assert!(waited_ms > LEASE_MS * 100 / 98, "began elsewhere after {waited_ms} ms");
            assert!(waited_ms < LEASE_MS + 1_000, "waited {waited_ms} ms");
            return;
        }
        assert!(waited_ms < 2 * LEASE_MS, "the task of a lost worker never began again");
    }
}

#[test]
fn new_leader_waits() {
    let mut world = World::new(2);
    world.submit("a", 1, step(1, 8));
    world.decide();
    let first = world.place(&run("a", 0, 1));
    let other = 1 - first;
    // A later leader hears only of the other worker.
    world.dispatcher = Dispatcher::new(support::settings(), support::TOKEN + 1, world.now);
    let elected_at = world.now;
    world.dispatcher.connect(&support::node(other));
    let state = support::state(other, 1);
    world.tell(other, yuccatack_dispatch::AgentMessage::State(state));
    loop {
        world.advance(100);
        world.observe(other, &[], &[], &[]);
        if !starts(&world.decide()).is_empty() {
            let waited_ms = world.now.since(elected_at).get();
            assert!(waited_ms > LEASE_MS * 100 / 98, "began elsewhere after {waited_ms} ms");
            return;
        }
        assert!(world.now.since(elected_at).get() < 2 * LEASE_MS, "the task never began again");
    }
}

#[test]
fn new_life_ends_runs() {
    let mut world = World::new(1);
    world.submit("a", 1, step(1, 8));
    world.decide();
    world.begun(&run("a", 0, 1));
    let next = support::state(0, 2);
    world.tell(0, yuccatack_dispatch::AgentMessage::State(next));
    assert!(world.table.open_runs().is_empty(), "a run outlived its worker's incarnation");
    // An observation of the earlier incarnation arrives late.
    let observed = yuccatack_dispatch::Observation {
        incarnation: incarnation(0, 1),
        clock_ms: world.clock_ms(),
        running: Vec::new(),
        ended: Vec::new(),
        stopped: Vec::new(),
    };
    world.tell(0, yuccatack_dispatch::AgentMessage::Observed(observed));
    world.dispatcher.confirm_leadership(world.now);
    assert!(world.decide().is_empty(), "an earlier incarnation's clock made a lease");
}

//! Guards against a task that begins on a second worker while its lease may still be valid on the
//! first one, which would run it twice.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{MAX_LEASE_MS, TestCluster, incarnation, run, starts, step};
use yuccatack_core::TimestampMs;
use yuccatack_dispatch::{ClockReading, Dispatcher};

/// Lease that the settings derive from the longest one that workers accept.
const LEASE_MS: u64 = MAX_LEASE_MS.get() * 8 / 10;

#[test]
fn slow_clock_covered() {
    let reading = ClockReading { clock_ms: 50_000, received_at: TimestampMs::new(1_000) };
    let past = reading.latest_expiry(59_800);
    // A clock that runs 2% slow takes 10 s for 9.8 s, and the margin for timers is 0.3 s.
    assert!(past >= TimestampMs::new(11_300), "{past:?}");
    assert!(past < TimestampMs::new(12_000), "{past:?}");
}

#[test]
fn lease_needs_confirmed_leadership() {
    let mut cluster = TestCluster::new(1);
    let orders = cluster.decide();
    let lease_until_clock_ms = orders[0].1.lease_until_clock_ms.unwrap();
    assert_eq!(lease_until_clock_ms, cluster.clock_ms() + LEASE_MS);
    assert!(cluster.decide().is_empty(), "one clock reading renewed the lease twice");
    // Leadership is confirmed by a round that began before the reading arrived.
    let round_began_at = cluster.now;
    cluster.advance(300);
    cluster.observe_unconfirmed(0, &[], &[], &[]);
    cluster.dispatcher.confirm_leadership(round_began_at);
    assert!(cluster.decide().is_empty(), "a lease was granted from an unconfirmed reading");
    cluster.dispatcher.confirm_leadership(cluster.now);
    assert_eq!(cluster.decide()[0].1.lease_until_clock_ms.unwrap(), cluster.clock_ms() + LEASE_MS);
}

#[test]
fn late_confirmations_count() {
    let mut cluster = TestCluster::new(1);
    cluster.decide();
    // Each confirmation arrives after a newer reading.
    for _ in 0..20 {
        let round_began_at = cluster.now;
        cluster.advance(250);
        cluster.observe_unconfirmed(0, &[], &[], &[]);
        cluster.dispatcher.confirm_leadership(round_began_at);
    }
    let renewed = cluster.decide()[0].1.lease_until_clock_ms;
    assert_eq!(renewed, Some(cluster.clock_ms() - 250 + LEASE_MS));
    cluster.submit("a", 1, step(1, 8));
    assert_eq!(starts(&cluster.decide()), [run("a", 0, 1)], "a slow leader begins nothing");
}

#[test]
fn silent_worker_keeps_task() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("a", 1, step(1, 8));
    assert_eq!(starts(&cluster.decide()), [run("a", 0, 1)]);
    let first = cluster.worker_of(&run("a", 0, 1));
    cluster.report_begun(&run("a", 0, 1));
    let other = 1 - first;
    let begun_at = cluster.now;
    loop {
        cluster.advance(100);
        cluster.observe(other, &[], &[], &[]);
        let again = starts(&cluster.decide());
        let waited_ms = cluster.now.since(begun_at).get();
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
    let mut cluster = TestCluster::new(2);
    cluster.submit("a", 1, step(1, 8));
    cluster.decide();
    let first = cluster.worker_of(&run("a", 0, 1));
    let other = 1 - first;
    // The next leader gets reports of the other worker only.
    cluster.dispatcher = Dispatcher::new(support::settings(), support::TOKEN + 1, cluster.now);
    let elected_at = cluster.now;
    cluster.dispatcher.connect(&support::node(other));
    let state = support::state(other, 1);
    cluster.deliver(other, yuccatack_dispatch::AgentMessage::State(state));
    loop {
        cluster.advance(100);
        cluster.observe(other, &[], &[], &[]);
        if !starts(&cluster.decide()).is_empty() {
            let waited_ms = cluster.now.since(elected_at).get();
            assert!(waited_ms > LEASE_MS * 100 / 98, "began elsewhere after {waited_ms} ms");
            return;
        }
        assert!(cluster.now.since(elected_at).get() < 2 * LEASE_MS, "the task never began again");
    }
}

#[test]
fn new_incarnation_ends_runs() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("a", 1, step(1, 8));
    cluster.decide();
    cluster.report_begun(&run("a", 0, 1));
    let next = support::state(0, 2);
    cluster.deliver(0, yuccatack_dispatch::AgentMessage::State(next));
    assert!(cluster.table.open_runs().is_empty(), "a run outlived its worker's incarnation");
    // A late observation of the earlier incarnation arrives.
    let observed = yuccatack_dispatch::Observation {
        incarnation: incarnation(0, 1),
        clock_ms: cluster.clock_ms(),
        running: Vec::new(),
        ended: Vec::new(),
        stopped: Vec::new(),
        lists_all_ends: Some(true),
    };
    cluster.deliver(0, yuccatack_dispatch::AgentMessage::Observed(observed));
    cluster.dispatcher.confirm_leadership(cluster.now);
    assert!(
        cluster.decide().is_empty(),
        "a clock reading of an earlier incarnation granted a lease"
    );
}

//! Guards against a flood that shuts out others because no connection is closed for them, and
//! against requests in progress that are cut although idle or stalled connections are open.

#![allow(missing_docs)]

use yuccatack_http::{Candidate, Phase, Room, choose_victims};

fn candidate(phase: Phase, phase_age_ms: u64, stalled_ms: u64, blocks: usize) -> Candidate {
    Candidate { phase, phase_age_ms, stalled_ms, reserved_blocks: blocks }
}

#[test]
fn stalled_before_idle() {
    let candidates = [
        candidate(Phase::Idle, 60_000, 60_000, 0),
        candidate(Phase::Body, 3_000, 500, 16),
        candidate(Phase::Head, 9_000, 2_000, 0),
        candidate(Phase::Handling, 9_000, 9_000, 300),
        candidate(Phase::Response, 9_000, 900, 64),
    ];
    assert_eq!(choose_victims(&candidates, Room::Connection), [2], "not the oldest stalled one");
    assert_eq!(choose_victims(&candidates, Room::Blocks(64)), [4], "more than needed");
    assert_eq!(
        choose_victims(&candidates, Room::Blocks(1_000)),
        [4, 1],
        "connections without reserved memory or with a request in progress were closed"
    );
}

#[test]
fn handled_requests_kept() {
    let handled = [candidate(Phase::Handling, 60_000, 60_000, 300)];
    assert!(choose_victims(&handled, Room::Connection).is_empty());
    assert!(choose_victims(&handled, Room::Blocks(1)).is_empty());
    let fresh = [candidate(Phase::Body, 20, 0, 300), candidate(Phase::Idle, 20, 20, 0)];
    assert!(choose_victims(&fresh, Room::Connection).is_empty());
}

#[test]
fn busy_clients_last() {
    // Clients that keep sending are never stalled; without a victim they would shut out others.
    let busy = [candidate(Phase::Body, 300, 0, 16), candidate(Phase::Body, 900, 0, 16)];
    assert_eq!(choose_victims(&busy, Room::Connection), [1]);
    let with_idle = [busy[0], busy[1], candidate(Phase::Idle, 1_000, 1_000, 0)];
    assert_eq!(choose_victims(&with_idle, Room::Connection), [2]);
}

//! Order, limits and load shedding of the fair queue.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_admission::{Dequeued, FairQueue, QueueLimits, QueuedRequest};
use yuccatack_core::prelude::*;

const LIMITS: QueueLimits = QueueLimits { length_count: 100, organisation_share_percent: 50 };

fn request(organisation: &str, weight: u32, class: PriorityClass) -> QueuedRequest<u32> {
    QueuedRequest {
        organisation: OrganisationName::new(organisation).unwrap(),
        weight,
        class,
        deadline: TimestampMs::new(1_000),
        item: 0,
    }
}

fn pop_next(queue: &mut FairQueue<u32>) -> QueuedRequest<u32> {
    match queue.pop(TimestampMs::new(0), DurationMs::new(10)).unwrap() {
        Dequeued::Next(request) => request,
        Dequeued::Late(request) => panic!("late: {request:?}"),
    }
}

/// Guards against an organisation that exceeds its weighted share by sending more requests.
#[test]
fn weighted_shares() {
    let mut queue = FairQueue::new(QueueLimits { length_count: 1_000, ..LIMITS });
    for _ in 0..300 {
        queue.push(request("flood", 1, PriorityClass::Standard)).unwrap();
    }
    for _ in 0..60 {
        queue.push(request("heavy", 3, PriorityClass::Standard)).unwrap();
        queue.push(request("light", 1, PriorityClass::Standard)).unwrap();
    }
    let mut served = BTreeMap::new();
    for _ in 0..50 {
        *served.entry(pop_next(&mut queue).organisation.to_string()).or_insert(0) += 1;
    }
    assert_eq!(
        served,
        BTreeMap::from([("flood".into(), 10), ("heavy".into(), 30), ("light".into(), 10)])
    );
}

/// Guards against urgent requests that are served after less urgent ones, or rejected because less
/// urgent ones fill the queue.
#[test]
fn urgent_first() {
    let mut queue = FairQueue::new(LIMITS);
    for organisation in ["one", "two"] {
        for _ in 0..50 {
            queue.push(request(organisation, 1, PriorityClass::Batch)).unwrap();
        }
    }
    let evicted = queue.push(request("three", 1, PriorityClass::Urgent)).unwrap_err();
    assert_eq!(evicted.class, PriorityClass::Batch);
    assert_eq!(queue.len(), 100);
    assert_eq!(pop_next(&mut queue).class, PriorityClass::Urgent);
    assert_eq!(pop_next(&mut queue).class, PriorityClass::Batch);
}

/// Guards against an organisation that fills the whole queue and blocks the others.
#[test]
fn organisation_share() {
    let mut queue = FairQueue::new(LIMITS);
    let accepted = (0..100)
        .filter(|_| queue.push(request("flood", 1, PriorityClass::Standard)).is_ok())
        .count();
    assert_eq!(accepted, 50);
    queue.push(request("other", 1, PriorityClass::Standard)).unwrap();
}

/// Guards against executing requests that cannot complete before their deadline.
#[test]
fn late_requests() {
    let mut queue = FairQueue::new(LIMITS);
    queue.push(request("one", 1, PriorityClass::Standard)).unwrap();
    let late = queue.pop(TimestampMs::new(991), DurationMs::new(10));
    assert!(matches!(late, Some(Dequeued::Late(_))), "{late:?}");
}

/// Guards against requests that are lost or duplicated, and against a queue that exceeds its limit.
#[test]
fn random_operations() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = FairQueue::new(LIMITS);
        let (mut pushed, mut removed) = (0, 0);
        for step in 0..2_000 {
            if random.random_bool(0.6) {
                let name = format!("org-{}", random.random_range(0..5));
                let class = PriorityClass::ALL[random.random_range(0..3)];
                pushed += 1;
                removed += usize::from(queue.push(request(&name, 1 + step % 3, class)).is_err());
            } else {
                removed += usize::from(queue.pop(TimestampMs::new(0), DurationMs::ZERO).is_some());
            }
            assert!(queue.len() <= LIMITS.length_count, "seed {seed}");
            assert_eq!(pushed, removed + queue.len(), "seed {seed}");
        }
    }
}

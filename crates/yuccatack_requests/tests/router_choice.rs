//! Selection of minions by the router.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;

use yuccatack_core::prelude::*;
use yuccatack_requests::dispatch::Target;
use yuccatack_requests::outcome::NotRunReason;
use yuccatack_requests::routing::{Feedback, MinionLoad, Router, RoutingSettings};

const NOW: TimestampMs = TimestampMs::new(1_000);

fn load(name: &str, data_centre: &str, ready: bool, slots_in_use: u32) -> MinionLoad {
    MinionLoad {
        target: Target {
            node: NodeName::new(name).unwrap(),
            incarnation: Incarnation::new(1),
            address: ([127, 0, 0, 1], 9000).into(),
        },
        data_centre: DataCentreName::new(data_centre).unwrap(),
        service: ServiceName::new("reviews").unwrap(),
        ready,
        slot_count: 8,
        slots_in_use,
        latency_us: 1_000,
    }
}

fn router(loads: Vec<MinionLoad>) -> Router {
    let data_centre = DataCentreName::new("langkawi").unwrap();
    let mut router = Router::new(RoutingSettings::default(), data_centre, 1);
    router.update(loads);
    router
}

fn service() -> ServiceName {
    ServiceName::new("reviews").unwrap()
}

/// Guards against requests to remote data centres while the local one has free slots, and against
/// refusals while a remote one has free slots.
#[test]
fn own_data_centre() {
    let mut router =
        router(vec![load("near", "langkawi", true, 7), load("far", "desaru", true, 0)]);
    for expected in ["near", "near", "near", "near", "near", "near", "near", "near", "far"] {
        assert_eq!(router.choose(&service(), &[], NOW).unwrap().node.as_str(), expected);
    }
}

/// Guards against routing requests to minions that are draining or belong to another service.
#[test]
fn ready_only() {
    let mut router = router(vec![load("leaving", "langkawi", false, 0)]);
    let refusal = router.choose(&service(), &[], NOW).unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::NoMinion);
    let other = ServiceName::new("rankings").unwrap();
    assert_eq!(router.choose(&other, &[], NOW).unwrap_err().reason, NotRunReason::NoMinion);
}

/// Guards against more requests in flight than a minion has slots.
#[test]
fn full_minions() {
    let mut router = router(vec![load("one", "langkawi", true, 0)]);
    let target = router.choose(&service(), &[], NOW).unwrap();
    for _ in 1..8 {
        router.choose(&service(), &[], NOW).unwrap();
    }
    assert_eq!(router.choose(&service(), &[], NOW).unwrap_err().reason, NotRunReason::NoSlot);
    router.record_feedback(&target, Feedback::Completed { latency_us: 500 }, NOW);
    router.choose(&service(), &[], NOW).unwrap();
}

/// Guards against a selection that ignores load: the busier of two minions must receive fewer
/// requests.
#[test]
fn less_loaded() {
    let mut router =
        router(vec![load("busy", "langkawi", true, 7), load("idle", "langkawi", true, 0)]);
    let mut chosen = BTreeMap::new();
    for _ in 0..100 {
        let target = router.choose(&service(), &[], NOW).unwrap();
        *chosen.entry(target.node.to_string()).or_insert(0) += 1;
        router.record_feedback(&target, Feedback::Neutral, NOW);
    }
    assert!(chosen["idle"] >= 70, "{chosen:?}");
}

/// Guards against a failing minion that is not ejected, one that is never probed again after its
/// ejection, and one that receives more than a single probe at a time.
#[test]
fn outlier_ejection() {
    let mut router =
        router(vec![load("bad", "langkawi", true, 0), load("good", "langkawi", true, 0)]);
    let good = NodeName::new("good").unwrap();
    for _ in 0..3 {
        let target = router.choose(&service(), std::slice::from_ref(&good), NOW).unwrap();
        router.record_feedback(&target, Feedback::Failed, NOW);
    }
    for _ in 0..7 {
        assert_eq!(router.choose(&service(), &[], NOW).unwrap().node, good);
    }
    let later = NOW + DurationMs::new(501);
    let probe = router.choose(&service(), &[], later).unwrap();
    assert_eq!(probe.node.as_str(), "bad");
    assert_eq!(router.choose(&service(), &[], later).unwrap().node, good);
    router.record_feedback(&probe, Feedback::Completed { latency_us: 900 }, later);
    assert_eq!(router.choose(&service(), &[], later).unwrap().node.as_str(), "bad");
}

/// Guards against a shared fault that ejects every minion and takes the service down.
#[test]
fn ejection_share() {
    let names = ["a", "b", "c", "d"];
    let loads = names.map(|name| load(name, "langkawi", true, 0)).to_vec();
    let targets: Vec<Target> = loads.iter().map(|load| load.target.clone()).collect();
    let mut router = router(loads);
    for target in targets.iter().cycle().take(40) {
        router.record_feedback(target, Feedback::Failed, NOW);
    }
    let mut routed_count = 0;
    while router.choose(&service(), &[], NOW).is_ok() {
        routed_count += 1;
    }
    assert_eq!(routed_count, 2 * 8, "half of the minions must remain in use");
}

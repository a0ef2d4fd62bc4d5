//! Nodes of the measurement: two thirds are entries and one third are agents.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use yuccatack_core::prelude::*;
use yuccatack_view::{MinionState, MinionStatus, NodeRole, SubscriberConfig, ViewSubscriber};

use crate::{MEASUREMENT_DURATION, WARM_UP_DURATION, processor_time_ms, resident_kb};

/// Interval between changes in the load of an agent.
const LOAD_CHANGE_INTERVAL: Duration = Duration::from_millis(100);

fn config(index: u64, port: u16) -> SubscriberConfig {
    let role = if index % 3 == 2 { NodeRole::Agent } else { NodeRole::Entry };
    SubscriberConfig {
        node: NodeName::new(&format!("node-{index:05}")).unwrap(),
        incarnation: Incarnation::random(),
        role,
        data_centre: DataCentreName::new("desaru").unwrap(),
        control_addresses: vec![(Ipv4Addr::LOCALHOST, port).into()],
    }
}

fn status(index: u64, slots_in_use: u32) -> MinionStatus {
    MinionStatus {
        minion: MinionName::new(&format!("minion-{index:05}")).unwrap(),
        service: ServiceName::new("ranking").unwrap(),
        agent_address: (Ipv4Addr::LOCALHOST, 9).into(),
        state: MinionState::Ready,
        slot_count: 8,
        slots_in_use,
        queued_count: 0,
        latency_us: 1_000,
    }
}

pub async fn run(port: u16, node_count: u64) {
    let initial_resident_kb = resident_kb();
    let mut handles = Vec::new();
    for index in 0..node_count {
        let (sender, reports) = watch::channel(None);
        let config = config(index, port);
        let is_agent = config.role == NodeRole::Agent;
        handles.push(ViewSubscriber::spawn(config, reports));
        if is_agent {
            tokio::spawn(change_load(index, sender));
        }
    }
    while !handles.iter().all(|handle| handle.is_fresh(Instant::now())) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(WARM_UP_DURATION).await;
    let processor_before_ms = processor_time_ms();
    let started = Instant::now();
    let mut stale_count = 0_u64;
    while started.elapsed() < MEASUREMENT_DURATION {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = Instant::now();
        stale_count += handles.iter().filter(|handle| !handle.is_fresh(now)).count() as u64;
    }
    let processor_ms = (processor_time_ms() - processor_before_ms) as f64;
    let percent_per_node =
        processor_ms / started.elapsed().as_secs_f64() / 10.0 / node_count as f64;
    println!(
        "nodes: {node_count} nodes: {percent_per_node:.3}% of a core each; process {} kB, {} kB \
         more than at its start; {stale_count} stale observations",
        resident_kb(),
        resident_kb() - initial_resident_kb
    );
}

async fn change_load(index: u64, sender: watch::Sender<Option<MinionStatus>>) {
    for load in (0..8).cycle() {
        if sender.send(Some(status(index, load))).is_err() {
            return;
        }
        tokio::time::sleep(LOAD_CHANGE_INTERVAL).await;
    }
}

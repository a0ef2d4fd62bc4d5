//! Leader of the measurement.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio_stream::StreamExt;
use yuccatack_core::prelude::*;
use yuccatack_records::{RecordKey, RecordKind};
use yuccatack_view::{PublishedRecord, RecordUpdate, ViewPublisher, ViewService};

use crate::counted::{CountedStream, Traffic};
use crate::{MEASUREMENT_DURATION, WARM_UP_DURATION, processor_time_ms, resident_kb};

/// Number of organisations in a cluster of the design size.
const ORGANISATION_COUNT: u64 = 190;

fn organisation(index: u64, revision: u64) -> PublishedRecord {
    let name = format!("organisation-{index:03}");
    let document = format!(
        r#"{{"schema_version":2,"kind":"organisation","name":"{name}","accelerator_quota_count":{revision},"fair_share_weight":3,"request_rate_per_s":100,"request_concurrency_count":50}}"#
    );
    PublishedRecord {
        key: RecordKey { kind: RecordKind::Organisation, name: RecordName::new(&name).unwrap() },
        generation: Generation::new(revision),
        revision: Revision::new(revision),
        document: Bytes::from(document),
    }
}

async fn listen(port: u16, publisher: &ViewPublisher) -> Arc<Traffic> {
    let traffic = Arc::new(Traffic::default());
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await.unwrap();
    let counted = Arc::clone(&traffic);
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener).map(move |stream| {
        stream.map(|stream| {
            // This fails only if the connection is already closed.
            let _ = stream.set_nodelay(true);
            CountedStream { stream, traffic: Arc::clone(&counted) }
        })
    });
    let service = ViewService::new(publisher.clone()).into_server();
    tokio::spawn(
        tonic::transport::Server::builder().add_service(service).serve_with_incoming(incoming),
    );
    traffic
}

fn confirm_leadership(publisher: ViewPublisher) {
    tokio::spawn(async move {
        loop {
            publisher.confirm_leadership(Instant::now()).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
}

pub async fn run(port: u16, node_count: u64, changes_per_10_s: u64) {
    let publisher = ViewPublisher::spawn();
    let records = (0..ORGANISATION_COUNT).map(|index| organisation(index, 1)).collect();
    publisher.reset(Revision::new(1), records).await;
    publisher.become_leader().await;
    confirm_leadership(publisher.clone());
    let traffic = listen(port, &publisher).await;
    while (publisher.status().await.node_count as u64) < node_count {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(WARM_UP_DURATION).await;
    let bytes_before =
        (traffic.from_nodes.load(Ordering::Relaxed), traffic.to_nodes.load(Ordering::Relaxed));
    let processor_before_ms = processor_time_ms();
    let started = Instant::now();
    let mut times_ms = Vec::new();
    let mut revision = 1;
    while started.elapsed() < MEASUREMENT_DURATION {
        if changes_per_10_s == 0 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        let publish_at = started
            + Duration::from_secs(10) * u32::try_from(times_ms.len()).unwrap()
                / u32::try_from(changes_per_10_s).unwrap();
        tokio::time::sleep_until(publish_at.into()).await;
        revision += 1;
        times_ms.push(publish_and_wait(&publisher, revision).await);
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let per_node = |now: u64, before: u64| (now - before) as f64 / elapsed_s / node_count as f64;
    let up = per_node(traffic.from_nodes.load(Ordering::Relaxed), bytes_before.0);
    let down = per_node(traffic.to_nodes.load(Ordering::Relaxed), bytes_before.1);
    let processor_percent = (processor_time_ms() - processor_before_ms) as f64 / elapsed_s / 10.0;
    println!(
        "leader: {node_count} nodes, {changes_per_10_s} changes in 10 s: {up:.0} B/s from and \
         {down:.0} B/s to each node; leader {processor_percent:.1}% of a core, {} kB",
        resident_kb()
    );
    times_ms.sort_by(f64::total_cmp);
    if let (Some(median_ms), Some(max_ms)) = (times_ms.get(times_ms.len() / 2), times_ms.last()) {
        println!(
            "leader: in force everywhere after {median_ms:.0} ms (median), {max_ms:.0} ms \
             (maximum of {})",
            times_ms.len()
        );
    }
}

async fn publish_and_wait(publisher: &ViewPublisher, revision: u64) -> f64 {
    let started = Instant::now();
    let record = organisation(revision % ORGANISATION_COUNT, revision);
    let revision = Revision::new(revision);
    publisher.publish(RecordUpdate { revision, changed: vec![record], removed: Vec::new() }).await;
    while !publisher.in_force(revision).await.everywhere {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    started.elapsed().as_secs_f64() * 1000.0
}

//! Connections that hang without being closed, and subscribers that do not read their updates.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use support::{key, organisation, report};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use yuccatack_core::prelude::*;
use yuccatack_records::{RecordKey, RecordKind};
use yuccatack_view::generated::view::NodeReport;
use yuccatack_view::generated::view::view_client::ViewClient;
use yuccatack_view::{
    NodeRole, PublishedRecord, RecordUpdate, SubscriberConfig, ViewHandle, ViewPublisher,
    ViewService, ViewSubscriber,
};

async fn start_leader() -> (ViewPublisher, SocketAddr) {
    let publisher = ViewPublisher::spawn();
    publisher.become_leader().await;
    let confirming_publisher = publisher.clone();
    tokio::spawn(async move {
        loop {
            confirming_publisher.confirm_leadership(Instant::now()).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = ViewService::new(publisher.clone()).into_server();
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
    let server = tonic::transport::Server::builder().add_service(service);
    tokio::spawn(server.serve_with_incoming(incoming));
    (publisher, address)
}

fn subscribe(control_address: SocketAddr) -> ViewHandle {
    let config = SubscriberConfig {
        node: NodeName::new("entry-1").unwrap(),
        incarnation: Incarnation::random(),
        role: NodeRole::Entry,
        data_centre: DataCentreName::new("desaru").unwrap(),
        control_addresses: vec![control_address],
    };
    ViewSubscriber::spawn(config, watch::channel(None).1)
}

/// Starts a proxy whose connections hang after `lifetime` without being closed.
async fn unreliable_proxy(target: SocketAddr, lifetime: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut inbound, _) = listener.accept().await.unwrap();
            let mut outbound = TcpStream::connect(target).await.unwrap();
            tokio::spawn(async move {
                let forwarding = copy_bidirectional(&mut inbound, &mut outbound);
                let _ = tokio::time::timeout(lifetime, forwarding).await;
                std::future::pending::<()>().await;
                drop((inbound, outbound));
            });
        }
    });
    address
}

/// Guards against a node that waits for a hung connection, and against one that loses its freshness
/// although new connections work. Each connection hangs 2.5 s after it opened.
#[tokio::test(flavor = "multi_thread")]
async fn hung_connection_is_replaced() {
    let (publisher, address) = start_leader().await;
    let proxy = unreliable_proxy(address, Duration::from_millis(2_500)).await;
    let node = subscribe(proxy);
    let deadline = Instant::now() + Duration::from_secs(5);
    while !node.is_fresh(Instant::now()) {
        assert!(Instant::now() < deadline, "the node is not fresh within 5 s");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Three connections hang within this time.
    let end = Instant::now() + Duration::from_secs(13);
    let mut revision = 0;
    while Instant::now() < end {
        assert!(node.is_fresh(Instant::now()), "the node is not fresh at revision {revision}");
        revision += 1;
        publisher.publish(organisation("tri", revision)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(node.view().revision.get(), revision);
}

/// Returns a guarantee with 2,500 data centres, so that a few records fill the buffers of a stream.
fn large_record(revision: u64) -> RecordUpdate {
    let names: Vec<String> =
        (0..2_500).map(|index| format!(r#""data-centre-{index:06}""#)).collect();
    let document = format!(
        r#"{{"schema_version":2,"kind":"guarantee","name":"long-{revision}","organisation":"tri","tasks":1,"accelerators_per_task":1,"data_centres":[{}]}}"#,
        names.join(",")
    );
    let name = RecordName::new(&format!("long-{revision}")).unwrap();
    let record = PublishedRecord {
        key: RecordKey { kind: RecordKind::Guarantee, name },
        generation: Generation::new(1),
        revision: Revision::new(revision),
        document: Bytes::from(document),
    };
    RecordUpdate {
        revision: Revision::new(revision),
        changed: vec![record],
        removed: vec![key("none")],
    }
}

/// Guards against a subscriber that does not read its updates and thereby delays other nodes or
/// increases the memory of the leader without limit.
#[tokio::test(flavor = "multi_thread")]
async fn slow_subscriber_is_disconnected() {
    let (publisher, address) = start_leader().await;
    let (reports, report_queue) = tokio::sync::mpsc::channel(4);
    tokio::spawn(async move {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let report: NodeReport = report("slow", NodeRole::Entry, sequence, 0).into();
            if reports.send(report).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    });
    let mut client = ViewClient::connect(format!("http://{address}")).await.unwrap();
    let report_queue = tokio_stream::wrappers::ReceiverStream::new(report_queue);
    let unread_updates = client.subscribe(report_queue).await.unwrap();
    let node = subscribe(address);
    let deadline = Instant::now() + Duration::from_secs(10);
    while publisher.status().await.stream_count < 2 {
        assert!(Instant::now() < deadline, "fewer than 2 streams opened within 10 s");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut revision = 0;
    while publisher.status().await.stream_count == 2 {
        assert!(Instant::now() < deadline, "the slow stream was not closed within 10 s");
        revision += 1;
        publisher.publish(large_record(revision)).await;
        let published_at = Instant::now();
        while node.view().revision.get() < revision {
            assert!(
                published_at.elapsed() < Duration::from_secs(3),
                "the other node did not apply revision {revision} within 3 s"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    drop(unread_updates);
}

//! Publisher and subscribers over TCP connections on loopback.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::watch;
use yuccatack_core::prelude::*;
use yuccatack_records::{RecordKey, RecordKind};
use yuccatack_view::{
    MinionState, MinionStatus, NodeRole, PublishedRecord, RecordUpdate, SubscriberConfig,
    ViewHandle, ViewPublisher, ViewService, ViewSubscriber,
};

async fn serve(publisher: &ViewPublisher) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = ViewService::new(publisher.clone()).into_server();
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
    tokio::spawn(
        tonic::transport::Server::builder().add_service(service).serve_with_incoming(incoming),
    );
    address
}

/// Confirms the leadership every 100 ms, in place of the read index of the control process.
fn confirm_continuously(publisher: &ViewPublisher) -> tokio::task::JoinHandle<()> {
    let publisher = publisher.clone();
    tokio::spawn(async move {
        loop {
            publisher.confirm_leadership(Instant::now()).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    })
}

fn organisation(name: &str, revision: u64) -> RecordUpdate {
    let document = format!(
        r#"{{"schema_version":1,"kind":"organisation","name":"{name}","gpu_quota":{revision}}}"#
    );
    RecordUpdate {
        revision: Revision::new(revision),
        changed: vec![PublishedRecord {
            key: RecordKey { kind: RecordKind::Organisation, name: RecordName::new(name).unwrap() },
            generation: Generation::new(revision),
            revision: Revision::new(revision),
            document: Bytes::from(document),
        }],
        removed: Vec::new(),
    }
}

fn subscribe(
    node: &str,
    role: NodeRole,
    control_addresses: Vec<SocketAddr>,
) -> (ViewHandle, watch::Sender<Option<MinionStatus>>) {
    let config = SubscriberConfig {
        node: NodeName::new(node).unwrap(),
        incarnation: Incarnation::random(),
        role,
        data_centre: DataCentreName::new("desaru").unwrap(),
        control_addresses,
    };
    let (sender, reports) = watch::channel(None);
    (ViewSubscriber::spawn(config, reports), sender)
}

fn minion(state: MinionState) -> MinionStatus {
    MinionStatus {
        minion: MinionName::new("m1").unwrap(),
        service: ServiceName::new("rank").unwrap(),
        agent_address: "127.0.0.1:9".parse().unwrap(),
        state,
        slot_count: 8,
        slots_in_use: 0,
        queued_count: 0,
        latency_us: 0,
    }
}

async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition().await {
        assert!(Instant::now() < deadline, "not reached within 10 s: {description}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a change that does not reach a node or is never reported as in force, and against
/// a new leader that reports a change as in force within its first 3.5 s.
#[tokio::test(flavor = "multi_thread")]
async fn change_comes_into_force() {
    let publisher = ViewPublisher::spawn();
    let address = serve(&publisher).await;
    publisher.reset(Revision::default(), Vec::new()).await;
    publisher.become_leader().await;
    let leader_since = Instant::now();
    confirm_continuously(&publisher);
    let (entry, _entry_reports) = subscribe("entry-1", NodeRole::Entry, vec![address]);
    publisher.publish(organisation("tri", 1)).await;
    wait_until("the view is applied", async || entry.view().revision.get() == 1).await;
    wait_until("the view is fresh", async || entry.is_fresh(Instant::now())).await;
    let revision = Revision::new(1);
    wait_until("in force", async || publisher.in_force(revision).await.everywhere).await;
    assert!(leader_since.elapsed() > Duration::from_millis(3_500));
    publisher.publish(organisation("tri", 2)).await;
    let published_at = Instant::now();
    let revision = Revision::new(2);
    wait_until("in force", async || publisher.in_force(revision).await.everywhere).await;
    assert!(published_at.elapsed() < Duration::from_secs(3), "{:?}", published_at.elapsed());
}

/// Guards against routing to a minion that is leaving or whose agent has stopped.
#[tokio::test(flavor = "multi_thread")]
async fn departed_minion_is_removed() {
    let publisher = ViewPublisher::spawn();
    let address = serve(&publisher).await;
    publisher.become_leader().await;
    confirm_continuously(&publisher);
    let (entry, _entry_reports) = subscribe("entry-1", NodeRole::Entry, vec![address]);
    let (agent, reports) = subscribe("agent-1", NodeRole::Agent, vec![address]);
    reports.send(Some(minion(MinionState::Ready))).unwrap();
    wait_until("the minion appears", async || entry.view().minions.len() == 1).await;
    reports.send(Some(minion(MinionState::Leaving))).unwrap();
    let leaving_at = Instant::now();
    let leaving = |view: &yuccatack_view::View| {
        view.minions.values().all(|entry| entry.status.state == MinionState::Leaving)
    };
    wait_until("the minion leaves", async || leaving(&entry.view())).await;
    assert!(leaving_at.elapsed() < Duration::from_secs(3));
    drop(agent);
    let stopped_at = Instant::now();
    wait_until("the minion disappears", async || entry.view().minions.is_empty()).await;
    assert!(stopped_at.elapsed() < Duration::from_secs(3), "{:?}", stopped_at.elapsed());
}

/// Guards against a node that does not find a new leader or loses its minions at the change, and
/// against one that stays fresh on a leader that has lost its quorum.
#[tokio::test(flavor = "multi_thread")]
async fn new_leader_is_followed() {
    let first = ViewPublisher::spawn();
    let second = ViewPublisher::spawn();
    let (first_address, second_address) = (serve(&first).await, serve(&second).await);
    first.become_leader().await;
    second.become_follower(Some(first_address)).await;
    let confirmation = confirm_continuously(&first);
    let addresses = vec![second_address, first_address];
    let (entry, _entry_reports) = subscribe("entry-1", NodeRole::Entry, addresses.clone());
    let (_agent, reports) = subscribe("agent-1", NodeRole::Agent, addresses);
    reports.send(Some(minion(MinionState::Ready))).unwrap();
    first.publish(organisation("tri", 1)).await;
    wait_until("fresh", async || entry.is_fresh(Instant::now())).await;
    wait_until("the minion appears", async || entry.view().minions.len() == 1).await;
    confirmation.abort();
    second.publish(organisation("tri", 1)).await;
    second.publish(organisation("tri", 2)).await;
    second.become_leader().await;
    confirm_continuously(&second);
    first.become_follower(Some(second_address)).await;
    let changed_at = Instant::now();
    wait_until("the new revision", async || {
        assert_eq!(entry.view().minions.len(), 1);
        entry.view().revision.get() == 2
    })
    .await;
    assert!(changed_at.elapsed() < Duration::from_secs(1), "{:?}", changed_at.elapsed());
    // Without confirmations of leadership, no node stays fresh.
    first.become_leader().await;
    second.become_follower(Some(first_address)).await;
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    assert!(!entry.is_fresh(Instant::now()));
    assert_eq!(entry.view().revision.get(), 2);
}

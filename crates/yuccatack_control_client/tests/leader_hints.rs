//! Guards against calls that miss the leader, and errors that misstate the effect of a call.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tonic::{Request, Response, Status};
use yuccatack_control_client::{ControlClient, ControlClientConfig, ControlError};
use yuccatack_core::prelude::*;
use yuccatack_records::generated::records as wire;
use yuccatack_records::generated::records::operators_server::{Operators, OperatorsServer};
use yuccatack_records::{Change, ChangeOutcome, Operation, RecordKey, RecordKind};

/// Behaviour of a replica.
#[derive(Clone, Copy)]
enum Behaviour {
    Leader,
    Follower(Option<SocketAddr>),
    /// Accepts calls and never responds.
    Hangs,
    /// Executes calls, and the first response is lost.
    LosesFirstResponse,
    Refuses,
}

#[derive(Clone)]
struct Replica {
    behaviour: Behaviour,
    calls: Arc<AtomicU64>,
}

impl Replica {
    async fn respond(&self) -> Result<(), Status> {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        match self.behaviour {
            Behaviour::Leader => Ok(()),
            Behaviour::Follower(leader) => {
                let mut status = Status::failed_precondition("does not lead");
                if let Some(leader) = leader {
                    let value = leader.to_string().parse().unwrap();
                    status.metadata_mut().insert("yuccatack-leader", value);
                }
                Err(status)
            }
            Behaviour::Hangs => std::future::pending().await,
            Behaviour::LosesFirstResponse if call == 0 => Err(Status::unavailable("lost")),
            Behaviour::LosesFirstResponse => Ok(()),
            Behaviour::Refuses => Err(Status::resource_exhausted("too many calls")),
        }
    }
}

#[tonic::async_trait]
impl Operators for Replica {
    async fn submit_change(
        &self,
        _request: Request<wire::SubmitChangeRequest>,
    ) -> Result<Response<wire::SubmitChangeResponse>, Status> {
        self.respond().await?;
        let outcome =
            ChangeOutcome::Accepted { generation: Generation::new(1), revision: Revision::new(7) };
        Ok(Response::new((&outcome).into()))
    }

    async fn read_record(
        &self,
        _request: Request<wire::ReadRecordRequest>,
    ) -> Result<Response<wire::ReadRecordResponse>, Status> {
        self.respond().await?;
        Ok(Response::new(wire::ReadRecordResponse { record: None }))
    }

    async fn list_records(
        &self,
        _request: Request<wire::ListRecordsRequest>,
    ) -> Result<Response<wire::ListRecordsResponse>, Status> {
        Err(Status::unimplemented("not used"))
    }

    async fn read_change(
        &self,
        _request: Request<wire::ReadChangeRequest>,
    ) -> Result<Response<wire::ReadChangeResponse>, Status> {
        Err(Status::unimplemented("not used"))
    }

    async fn read_status(
        &self,
        _request: Request<wire::ReadStatusRequest>,
    ) -> Result<Response<wire::DocumentResponse>, Status> {
        Err(Status::unimplemented("not used"))
    }

    async fn explain_job(
        &self,
        _request: Request<wire::ExplainJobRequest>,
    ) -> Result<Response<wire::DocumentResponse>, Status> {
        Err(Status::unimplemented("not used"))
    }
}

async fn serve(behaviour: Behaviour) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicU64::new(0));
    let replica = Replica { behaviour, calls: Arc::clone(&calls) };
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
    let server = tonic::transport::Server::builder().add_service(OperatorsServer::new(replica));
    tokio::spawn(server.serve_with_incoming(incoming));
    (address, calls)
}

/// Returns an address on which nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

fn client(control_addresses: Vec<SocketAddr>) -> ControlClient {
    let call_deadline = Duration::from_secs(3);
    ControlClient::spawn(ControlClientConfig { control_addresses, call_deadline })
}

fn change() -> Change {
    Change {
        change_id: ChangeId::new("a"),
        operation: Operation::Submit,
        replaces_generation: Generation::default(),
        document: Arc::from("{}"),
    }
}

/// Guards against a client that ignores the leader hint, or calls the follower first each time.
#[tokio::test]
async fn leader_hint_followed() {
    let (leader, leader_calls) = serve(Behaviour::Leader).await;
    let (follower, follower_calls) = serve(Behaviour::Follower(Some(leader))).await;
    let client = client(vec![follower]);
    for _ in 0..3 {
        let outcome = client.submit_change(&change()).await.unwrap();
        assert_eq!(outcome.revision(), Some(Revision::new(7)));
    }
    assert_eq!(leader_calls.load(Ordering::Relaxed), 3);
    assert_eq!(follower_calls.load(Ordering::Relaxed), 1);
}

/// Guards against a client that gives up at a replica that is down, hangs or names a leader that is
/// down.
#[tokio::test]
async fn other_replicas_tried() {
    let closed_address = closed_address().await;
    let (hung, _) = serve(Behaviour::Hangs).await;
    let (follower, _) = serve(Behaviour::Follower(Some(closed_address))).await;
    let (leader, _) = serve(Behaviour::Leader).await;
    let client = client(vec![closed_address, hung, follower, leader]);
    let key = RecordKey { kind: RecordKind::Job, name: RecordName::new("j").unwrap() };
    assert_eq!(client.read_record(&key).await, Ok(None));
}

/// Starts a proxy whose connections hang after `lifetime` without being closed.
async fn unreliable_proxy(target: SocketAddr, lifetime: Duration) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut inbound, _) = listener.accept().await.unwrap();
            let mut outbound = tokio::net::TcpStream::connect(target).await.unwrap();
            tokio::spawn(async move {
                let forwarding = tokio::io::copy_bidirectional(&mut inbound, &mut outbound);
                let _ = tokio::time::timeout(lifetime, forwarding).await;
                std::future::pending::<()>().await;
                drop((inbound, outbound));
            });
        }
    });
    address
}

/// Guards against a client that keeps using a connection that hangs.
#[tokio::test]
async fn hung_connection_replaced() {
    let (leader, _) = serve(Behaviour::Leader).await;
    let client = client(vec![unreliable_proxy(leader, Duration::from_millis(500)).await]);
    for _ in 0..4 {
        assert!(client.submit_change(&change()).await.is_ok());
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
}

/// Guards against an error for a change whose first response was lost, although a resend with the
/// same change id returns it.
#[tokio::test]
async fn change_resent() {
    let (leader, calls) = serve(Behaviour::LosesFirstResponse).await;
    assert!(client(vec![leader]).submit_change(&change()).await.is_ok());
    assert_eq!(calls.load(Ordering::Relaxed), 2);
}

/// Guards against `NotSent` for a call that a replica may have executed, and against `AnswerLost`
/// for a call without effect, which would mislead the operator about a resend.
#[tokio::test]
async fn errors_distinguished() {
    let closed_address = closed_address().await;
    let (follower, _) = serve(Behaviour::Follower(None)).await;
    let error = client(vec![closed_address, follower]).submit_change(&change()).await.unwrap_err();
    assert!(matches!(error, ControlError::NotSent { .. }), "{error}");
    let (hung, _) = serve(Behaviour::Hangs).await;
    let error = client(vec![hung, closed_address]).submit_change(&change()).await.unwrap_err();
    assert!(matches!(error, ControlError::AnswerLost { .. }), "{error}");
    let (refusing, _) = serve(Behaviour::Refuses).await;
    let error = client(vec![refusing]).submit_change(&change()).await.unwrap_err();
    assert!(matches!(error, ControlError::Refused { .. }), "{error}");
}

//! Guards against requests with effects that are sent to a leader which no longer responds, so that
//! their callers never learn whether they took effect.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tokio_stream::Stream;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};
use yuccatack_queue_client::generated::queue_control::Envelope;
use yuccatack_queue_client::generated::queue_control::queue_control_server::{
    QueueControl, QueueControlServer,
};
use yuccatack_queue_client::protocol::{self, CallTarget};
use yuccatack_queue_client::{CallError, QueueClient};

const CALL_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Replica that responds until `unresponsive` is set, and passes every request on to the test.
struct Replica {
    received: mpsc::UnboundedSender<protocol::Request>,
    unresponsive: watch::Receiver<bool>,
}

#[tonic::async_trait]
impl QueueControl for Replica {
    async fn call(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let request = protocol::Request::try_from(request.into_inner()).unwrap();
        self.received.send(request).unwrap();
        if *self.unresponsive.borrow() {
            return std::future::pending().await;
        }
        Ok(Response::new(Envelope::try_from(&protocol::Response::Pong).unwrap()))
    }

    type AttachStream = Pin<Box<dyn Stream<Item = Result<Envelope, Status>> + Send>>;

    async fn attach(
        &self,
        _request: Request<Streaming<Envelope>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        Err(Status::unavailable("only calls are served"))
    }
}

type ReceivedRequests = mpsc::UnboundedReceiver<protocol::Request>;

async fn start_replica() -> (QueueClient, watch::Sender<bool>, ReceivedRequests) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_, seeds) = watch::channel(vec![listener.local_addr().unwrap()]);
    let (received, requests) = mpsc::unbounded_channel();
    let (make_unresponsive, unresponsive) = watch::channel(false);
    let replica = Replica { received, unresponsive };
    let server = Server::builder().add_service(QueueControlServer::new(replica));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    (QueueClient::new(seeds), make_unresponsive, requests)
}

fn target() -> CallTarget {
    CallTarget { host: "host".into(), path: "/queue/job".into(), key: None }
}

fn count_received<Predicate>(received: &mut ReceivedRequests, matches: Predicate) -> usize
where
    Predicate: Fn(&protocol::Request) -> bool,
{
    std::iter::from_fn(|| received.try_recv().ok()).filter(|request| matches(request)).count()
}

#[tokio::test]
async fn unconfirmed_leader_skipped() {
    let (client, make_unresponsive, mut received) = start_replica().await;
    let cancel = protocol::Request::Cancel(target());
    assert!(client.call(&cancel, CALL_TIMEOUT).await.is_ok());
    make_unresponsive.send(true).unwrap();
    // Longer than a leadership confirmation is valid.
    sleep(Duration::from_millis(300)).await;
    count_received(&mut received, |_| true);
    assert_eq!(client.call(&cancel, CALL_TIMEOUT).await, Err(CallError::NotDone));
    let cancels = count_received(&mut received, |request| request.has_effects());
    assert_eq!(cancels, 0, "a replica without a valid confirmation got a request with effects");
}

#[tokio::test]
async fn read_without_effect() {
    let (client, make_unresponsive, _received) = start_replica().await;
    let read = protocol::Request::Read(target());
    assert!(client.call(&read, CALL_TIMEOUT).await.is_ok());
    make_unresponsive.send(true).unwrap();
    assert_eq!(
        client.call(&read, CALL_TIMEOUT).await,
        Err(CallError::NotDone),
        "a read without a response was reported as a possible effect"
    );
}

#[tokio::test]
async fn lost_response_reported() {
    let (client, make_unresponsive, mut received) = start_replica().await;
    let join =
        protocol::Request::Join { replica_id: 1, address: SocketAddr::from(([127, 0, 0, 1], 1)) };
    assert!(client.call(&join, CALL_TIMEOUT).await.is_ok());
    make_unresponsive.send(true).unwrap();
    // The leadership confirmation is still valid, so the request is sent and its response is lost.
    assert_eq!(client.call(&join, CALL_TIMEOUT).await, Err(CallError::Unknown));
    assert!(count_received(&mut received, |request| request.has_effects()) >= 2);
}

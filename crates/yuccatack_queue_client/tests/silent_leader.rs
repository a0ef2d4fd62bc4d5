//! Guards against requests that are sent to a replica which cannot carry them out, so that their
//! callers never learn whether they took effect.

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

/// How long the calls of these tests are tried.
const LIMIT: Duration = Duration::from_millis(1_300);

/// A replica that answers until it is told to fall silent, and tells what arrives.
struct Replica {
    arrived: mpsc::UnboundedSender<protocol::Request>,
    silent: watch::Receiver<bool>,
}

#[tonic::async_trait]
impl QueueControl for Replica {
    async fn call(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let request = protocol::Request::try_from(request.into_inner()).unwrap();
        self.arrived.send(request).unwrap();
        if *self.silent.borrow() {
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

type Arrived = mpsc::UnboundedReceiver<protocol::Request>;

async fn replica() -> (QueueClient, watch::Sender<bool>, Arrived) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_, seeds) = watch::channel(vec![listener.local_addr().unwrap()]);
    let (arrived, requests) = mpsc::unbounded_channel();
    let (silence, silent) = watch::channel(false);
    let replica = Replica { arrived, silent };
    let server = Server::builder().add_service(QueueControlServer::new(replica));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    (QueueClient::new(seeds), silence, requests)
}

fn target() -> CallTarget {
    CallTarget { host: "host".into(), path: "/queue/job".into(), key: None }
}

fn counted<Counts>(arrived: &mut Arrived, counts: Counts) -> usize
where
    Counts: Fn(&protocol::Request) -> bool,
{
    std::iter::from_fn(|| arrived.try_recv().ok()).filter(|request| counts(request)).count()
}

#[tokio::test]
async fn unconfirmed_not_asked() {
    let (client, silence, mut arrived) = replica().await;
    let cancel = protocol::Request::Cancel(target());
    assert!(client.call(&cancel, LIMIT).await.is_ok());
    silence.send(true).unwrap();
    // Longer than a confirmed lead stands.
    sleep(Duration::from_millis(300)).await;
    counted(&mut arrived, |_| true);
    assert_eq!(client.call(&cancel, LIMIT).await, Err(CallError::NotDone));
    let cancels = counted(&mut arrived, |request| request.has_effects());
    assert_eq!(cancels, 0, "a silent replica got a request with effects");
}

#[tokio::test]
async fn read_without_effect() {
    let (client, silence, _arrived) = replica().await;
    let read = protocol::Request::Read(target());
    assert!(client.call(&read, LIMIT).await.is_ok());
    silence.send(true).unwrap();
    assert_eq!(client.call(&read, LIMIT).await, Err(CallError::NotDone), "a read has no effect");
}

#[tokio::test]
async fn lost_answer_told() {
    let (client, silence, mut arrived) = replica().await;
    let join =
        protocol::Request::Join { replica_id: 1, address: SocketAddr::from(([127, 0, 0, 1], 1)) };
    assert!(client.call(&join, LIMIT).await.is_ok());
    silence.send(true).unwrap();
    // The lead was confirmed a moment ago, so that the request is sent and its answer is lost.
    assert_eq!(client.call(&join, LIMIT).await, Err(CallError::Unknown));
    assert!(counted(&mut arrived, |request| request.has_effects()) >= 2);
}

//! Guards against callers who are told that a request did not take effect although an earlier attempt,
//! whose response was lost, may have.

#![allow(clippy::unwrap_used, missing_docs)]

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_stream::Stream;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};
use yuccatack_core::DurationMs;
use yuccatack_queue_client::generated::queue_control::Envelope;
use yuccatack_queue_client::generated::queue_control::queue_control_server::{
    QueueControl, QueueControlServer,
};
use yuccatack_queue_client::protocol::{self, CallTarget};
use yuccatack_queue_client::{CallError, QueueClient};
use yuccatack_queues::AccessError;

const CALL_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Leader that leaves the first `silent_count` requests with effects unanswered and refuses all
/// others.
struct Leader {
    silent_count: usize,
    received_count: Arc<AtomicUsize>,
    refusal: protocol::Response,
}

#[tonic::async_trait]
impl QueueControl for Leader {
    async fn call(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let request = protocol::Request::try_from(request.into_inner()).unwrap();
        let mut response = protocol::Response::Pong;
        if request.has_effects() {
            if self.received_count.fetch_add(1, Ordering::SeqCst) < self.silent_count {
                return std::future::pending().await;
            }
            response = self.refusal.clone();
        }
        Ok(Response::new(Envelope::try_from(&response).unwrap()))
    }

    type AttachStream = Pin<Box<dyn Stream<Item = Result<Envelope, Status>> + Send>>;

    async fn attach(
        &self,
        _request: Request<Streaming<Envelope>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        Err(Status::unavailable("only calls are served"))
    }
}

async fn cancel_at_leader(
    silent_count: usize,
    refusal: protocol::Response,
) -> Result<protocol::Response, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_seeds, addresses) = watch::channel(vec![listener.local_addr().unwrap()]);
    let leader = Leader { silent_count, received_count: Arc::default(), refusal };
    let server = Server::builder().add_service(QueueControlServer::new(leader));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    let client = QueueClient::new(addresses);
    let target = CallTarget { host: "host".into(), path: "/queue/job".into(), key: None };
    client.call(&protocol::Request::Cancel(target), CALL_TIMEOUT).await
}

fn refusals() -> [protocol::Response; 2] {
    let busy = protocol::Response::Busy { retry_after_ms: DurationMs::new(1_000) };
    [busy, protocol::Response::Denied(AccessError::UnknownKey)]
}

#[tokio::test]
async fn refusal_after_loss() {
    for refusal in refusals() {
        let result = cancel_at_leader(1, refusal).await;
        assert_eq!(result, Err(CallError::Unknown), "a lost attempt was reported as refused");
    }
}

#[tokio::test]
async fn first_refusal_returned() {
    for refusal in refusals() {
        assert_eq!(cancel_at_leader(0, refusal.clone()).await, Ok(refusal));
    }
}

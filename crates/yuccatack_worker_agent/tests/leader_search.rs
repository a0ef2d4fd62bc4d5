//! Guards against agents and callers that retry without a backoff while there is no leader: the
//! load would keep the replicas from electing one.

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
use yuccatack_core::NodeName;
use yuccatack_dispatch::StartResult;
use yuccatack_lifecycle::shutdown_channel;
use yuccatack_queue_client::generated::queue_control::Envelope;
use yuccatack_queue_client::generated::queue_control::queue_control_server::{
    QueueControl, QueueControlServer,
};
use yuccatack_queue_client::protocol::{self, LeaderFrame, LeaderHint};
use yuccatack_queue_client::{CallError, QueueClient};
use yuccatack_worker_agent::{
    Agent, AgentConfig, PollCall, PollResult, StartCall, StopCall, StopResult, WorkerPort,
};

/// Replica that never leads and reports every call and attachment to the test.
struct Follower {
    requested: mpsc::UnboundedSender<()>,
}

#[tonic::async_trait]
impl QueueControl for Follower {
    async fn call(&self, _request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        self.requested.send(()).unwrap();
        let refusal = protocol::Response::NotLeader(LeaderHint::default());
        Ok(Response::new(Envelope::try_from(&refusal).unwrap()))
    }

    type AttachStream = Pin<Box<dyn Stream<Item = Result<Envelope, Status>> + Send>>;

    async fn attach(
        &self,
        _request: Request<Streaming<Envelope>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        self.requested.send(()).unwrap();
        let frame = LeaderFrame::NotLeader(LeaderHint::default());
        let frame = Envelope::try_from(&frame).unwrap();
        Ok(Response::new(Box::pin(tokio_stream::iter([Ok(frame)]))))
    }
}

/// Worker that is never called, because there is no leader.
struct UnusedWorker;

impl WorkerPort for UnusedWorker {
    async fn start(&self, _call: StartCall) -> StartResult {
        StartResult::Unknown
    }

    async fn stop(&self, _call: StopCall) -> StopResult {
        StopResult::Unknown
    }

    async fn poll(&self, _call: PollCall) -> PollResult {
        PollResult::Failed
    }
}

async fn start_follower() -> (watch::Receiver<Vec<SocketAddr>>, mpsc::UnboundedReceiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_, seeds) = watch::channel(vec![listener.local_addr().unwrap()]);
    let (requested, requests) = mpsc::unbounded_channel();
    let server = Server::builder().add_service(QueueControlServer::new(Follower { requested }));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    (seeds, requests)
}

fn count_requests(mut requests: mpsc::UnboundedReceiver<()>) -> usize {
    let mut count = 0;
    while requests.try_recv().is_ok() {
        count += 1;
    }
    count
}

#[tokio::test]
async fn agent_backs_off() {
    let (seeds, requests) = start_follower().await;
    let (_announcements, announced) = mpsc::channel(1);
    let (_trigger, shutdown) = shutdown_channel();
    let config = AgentConfig { node: NodeName::new("node").unwrap() };
    tokio::spawn(Agent::run(config, UnusedWorker, QueueClient::new(seeds), announced, shutdown));
    sleep(Duration::from_secs(3)).await;
    let count = count_requests(requests);
    assert!((2..=16).contains(&count), "the agent made {count} attempts to attach in 3 s");
}

#[tokio::test]
async fn caller_backs_off() {
    let (seeds, requests) = start_follower().await;
    let client = QueueClient::new(seeds);
    let result = client.call(&protocol::Request::Ping, Duration::from_secs(3)).await;
    assert_eq!(
        result,
        Err(CallError::NotDone),
        "a refused call was reported with an unknown outcome"
    );
    let count = count_requests(requests);
    assert!((2..=24).contains(&count), "the caller made {count} attempts in 3 s");
}

//! Guards against agents and callers that keep the replicas from electing a leader by asking all of
//! them again and again.

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

/// A replica that never leads and counts who asks.
struct Follower {
    asked: mpsc::UnboundedSender<()>,
}

#[tonic::async_trait]
impl QueueControl for Follower {
    async fn call(&self, _request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        self.asked.send(()).unwrap();
        let refusal = protocol::Response::NotLeader(LeaderHint::default());
        Ok(Response::new(Envelope::try_from(&refusal).unwrap()))
    }

    type AttachStream = Pin<Box<dyn Stream<Item = Result<Envelope, Status>> + Send>>;

    async fn attach(
        &self,
        _request: Request<Streaming<Envelope>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        self.asked.send(()).unwrap();
        let frame = LeaderFrame::NotLeader(LeaderHint::default());
        let frame = Envelope::try_from(&frame).unwrap();
        Ok(Response::new(Box::pin(tokio_stream::iter([Ok(frame)]))))
    }
}

/// A worker that is never spoken to, because there is no leader.
struct NoWorker;

impl WorkerPort for NoWorker {
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

async fn follower() -> (watch::Receiver<Vec<SocketAddr>>, mpsc::UnboundedReceiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_, seeds) = watch::channel(vec![listener.local_addr().unwrap()]);
    let (asked, count) = mpsc::unbounded_channel();
    let server = Server::builder().add_service(QueueControlServer::new(Follower { asked }));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    (seeds, count)
}

fn counted(mut asked: mpsc::UnboundedReceiver<()>) -> usize {
    let mut count = 0;
    while asked.try_recv().is_ok() {
        count += 1;
    }
    count
}

#[tokio::test]
async fn agent_backs_off() {
    let (seeds, asked) = follower().await;
    let (_announcements, waiting) = mpsc::channel(1);
    let (_trigger, shutdown) = shutdown_channel();
    let config = AgentConfig { node: NodeName::new("node").unwrap() };
    tokio::spawn(Agent::run(config, NoWorker, QueueClient::new(seeds), waiting, shutdown));
    sleep(Duration::from_secs(3)).await;
    let count = counted(asked);
    assert!((2..=16).contains(&count), "the agent asked {count} times in 3 s");
}

#[tokio::test]
async fn caller_backs_off() {
    let (seeds, asked) = follower().await;
    let client = QueueClient::new(seeds);
    let answer = client.call(&protocol::Request::Ping, Duration::from_secs(3)).await;
    assert_eq!(answer, Err(CallError::NotDone), "a refusal is no unknown outcome");
    let count = counted(asked);
    assert!((2..=24).contains(&count), "the caller asked {count} times in 3 s");
}

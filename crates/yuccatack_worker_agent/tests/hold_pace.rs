//! Guards against an agent that polls its worker in a busy loop while the worker lists run ends
//! that the leader has not stored yet, since the worker then responds to every poll at once.

#![allow(clippy::unwrap_used, missing_docs)]

use std::pin::Pin;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};
use yuccatack_core::{DataCentreName, JobName, NodeName, Resources, ServiceName, WorkerName};
use yuccatack_dispatch::{EndedRun, Orders, StartResult, WorkerState};
use yuccatack_lifecycle::{ShutdownTrigger, shutdown_channel};
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::generated::queue_control::Envelope;
use yuccatack_queue_client::generated::queue_control::queue_control_server::{
    QueueControl, QueueControlServer,
};
use yuccatack_queue_client::protocol::LeaderFrame;
use yuccatack_runs::{RunId, RunOutcome, TaskId, WorkerIncarnation};
use yuccatack_worker_agent::{
    Agent, AgentConfig, Announcement, PollCall, PollResponse, PollResult, StartCall, StopCall,
    StopResult, WorkerPort,
};

const TOKEN: u64 = 3;

/// Number of frames that may be queued for the agent.
const FRAME_QUEUE_LENGTH: usize = 16;

/// Leader that discards reports and hands the sender of each agent's stream to the test.
struct Leader {
    streams: mpsc::Sender<mpsc::Sender<LeaderFrame>>,
}

#[tonic::async_trait]
impl QueueControl for Leader {
    async fn call(&self, _request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        Err(Status::unavailable("only agents are served"))
    }

    type AttachStream = Pin<Box<dyn Stream<Item = Result<Envelope, Status>> + Send>>;

    async fn attach(
        &self,
        request: Request<Streaming<Envelope>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        let mut reports = request.into_inner();
        tokio::spawn(async move { while let Ok(Some(_)) = reports.message().await {} });
        let (sender, frames) = mpsc::channel(FRAME_QUEUE_LENGTH);
        sender.send(LeaderFrame::Leading { token: TOKEN }).await.unwrap();
        self.streams.send(sender).await.unwrap();
        let frames =
            ReceiverStream::new(frames).map(|frame| Ok(Envelope::try_from(&frame).unwrap()));
        Ok(Response::new(Box::pin(frames)))
    }
}

/// Worker with one ended run, which it lists until the end is acknowledged.
struct EndedWorker {
    /// Receives the acknowledged end of each poll.
    polls: mpsc::UnboundedSender<u64>,
}

impl WorkerPort for EndedWorker {
    async fn start(&self, _call: StartCall) -> StartResult {
        StartResult::Unknown
    }

    async fn stop(&self, _call: StopCall) -> StopResult {
        StopResult::Unknown
    }

    async fn poll(&self, call: PollCall) -> PollResult {
        self.polls.send(call.acknowledged_end).unwrap();
        let task = TaskId { job: JobName::new("job").unwrap(), occurrence: 0, step: 0, index: 0 };
        let run = RunId { task, number: 1 };
        let end = EndedRun { number: 1, run, outcome: RunOutcome::Done, checkpoint: None };
        if call.acknowledged_end == 0 {
            return PollResult::Answered(PollResponse {
                ended: vec![end],
                ..PollResponse::default()
            });
        }
        sleep(Duration::from(call.wait_ms)).await;
        PollResult::Answered(PollResponse::default())
    }
}

fn worker() -> WorkerState {
    let node = NodeName::new("node").unwrap();
    let name = WorkerName::new("worker").unwrap();
    WorkerState {
        incarnation: WorkerIncarnation { node, worker: name, started_at_unix_ms: 1 },
        service: ServiceName::new("pool").unwrap(),
        data_centre: DataCentreName::new("here").unwrap(),
        capacity: Resources::default(),
        labels: Vec::new(),
        rack: None,
        draining: false,
        remaining_ms: None,
        cold_left_ms: None,
    }
}

/// Leader's side of the stream, polls that the worker received, and handles that keep the agent
/// running.
type AttachedAgent = (
    mpsc::Sender<LeaderFrame>,
    mpsc::UnboundedReceiver<u64>,
    (ShutdownTrigger, mpsc::Sender<Announcement>),
);

async fn attached_agent() -> AttachedAgent {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_, seeds) = watch::channel(vec![listener.local_addr().unwrap()]);
    let (streams, mut attached) = mpsc::channel(1);
    let server = Server::builder().add_service(QueueControlServer::new(Leader { streams }));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    let (polls, received_polls) = mpsc::unbounded_channel();
    let (announcements, announced) = mpsc::channel(1);
    let (trigger, shutdown) = shutdown_channel();
    let config = AgentConfig { node: NodeName::new("node").unwrap() };
    let port = EndedWorker { polls };
    tokio::spawn(Agent::run(config, port, QueueClient::new(seeds), announced, shutdown));
    announcements.send(Announcement::Present { state: worker(), sequence: 1 }).await.unwrap();
    let stream = attached.recv().await.unwrap();
    (stream, received_polls, (trigger, announcements))
}

fn count_polls(polls: &mut mpsc::UnboundedReceiver<u64>) -> usize {
    let mut count = 0;
    while polls.try_recv().is_ok() {
        count += 1;
    }
    count
}

#[tokio::test]
async fn pause_between_polls() {
    let (_stream, mut polls, _handles) = attached_agent().await;
    assert_eq!(polls.recv().await, Some(0));
    sleep(Duration::from_secs(2)).await;
    let count = count_polls(&mut polls);
    assert!(
        (4..=16).contains(&count),
        "{count} polls in 2 s of a worker that lists an unacknowledged end"
    );
}

#[tokio::test]
async fn acknowledged_end_sent() {
    let (stream, mut polls, _handles) = attached_agent().await;
    assert_eq!(polls.recv().await, Some(0));
    let orders = Orders {
        token: TOKEN,
        incarnation: worker().incarnation,
        acknowledged_end: 1,
        lease_until_clock_ms: None,
        starts: Vec::new(),
        stops: Vec::new(),
    };
    stream.send(LeaderFrame::Orders(orders)).await.unwrap();
    // The next poll must carry the acknowledgement although no lease is renewed.
    sleep(Duration::from_millis(500)).await;
    let acknowledged =
        std::iter::from_fn(|| polls.try_recv().ok()).any(|acknowledged_end| acknowledged_end == 1);
    assert!(acknowledged, "no poll acknowledged the end that the leader has stored");
}

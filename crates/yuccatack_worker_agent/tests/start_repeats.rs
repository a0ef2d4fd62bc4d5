//! Guards against a gang that waits for one member because the worker left its start unanswered.

#![allow(clippy::unwrap_used, missing_docs)]

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};
use yuccatack_core::{DataCentreName, JobName, NodeName, Resources, ServiceName, WorkerName};
use yuccatack_dispatch::{AgentMessage, Orders, StartOrder, StartResult, WorkerState};
use yuccatack_lifecycle::{ShutdownTrigger, shutdown_channel};
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::generated::queue_control::Envelope;
use yuccatack_queue_client::generated::queue_control::queue_control_server::{
    QueueControl, QueueControlServer,
};
use yuccatack_queue_client::protocol::{AgentFrame, LeaderFrame};
use yuccatack_runs::{RunId, TaskId, WorkerIncarnation};
use yuccatack_worker_agent::{
    Agent, AgentConfig, Announcement, PollCall, PollResponse, PollResult, StartCall, StopCall,
    StopResult, WorkerPort,
};

const TOKEN: u64 = 3;

/// Number of frames that may be queued for the agent.
const FRAME_QUEUE_LENGTH: usize = 16;

const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Leader that hands the sender of each agent's stream and the results of starts to the test.
struct Leader {
    streams: mpsc::Sender<mpsc::Sender<LeaderFrame>>,
    results: mpsc::UnboundedSender<StartResult>,
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
        let results = self.results.clone();
        tokio::spawn(async move {
            while let Ok(Some(envelope)) = reports.message().await {
                let frame = AgentFrame::try_from(envelope).unwrap();
                if let AgentFrame::Report(AgentMessage::Start(_, result)) = frame {
                    results.send(result).unwrap();
                }
            }
        });
        let (sender, frames) = mpsc::channel(FRAME_QUEUE_LENGTH);
        sender.send(LeaderFrame::Leading { token: TOKEN }).await.unwrap();
        self.streams.send(sender).await.unwrap();
        let frames =
            ReceiverStream::new(frames).map(|frame| Ok(Envelope::try_from(&frame).unwrap()));
        Ok(Response::new(Box::pin(frames)))
    }
}

/// Worker that leaves the first `silent_count` starts without an answer and begins the next one.
struct SilentWorker {
    silent_count: u32,
    start_count: Arc<AtomicU32>,
}

impl WorkerPort for SilentWorker {
    async fn start(&self, _call: StartCall) -> StartResult {
        let earlier_count = self.start_count.fetch_add(1, Ordering::SeqCst);
        if earlier_count < self.silent_count { StartResult::Unknown } else { StartResult::Begun }
    }

    async fn stop(&self, _call: StopCall) -> StopResult {
        StopResult::Unknown
    }

    async fn poll(&self, call: PollCall) -> PollResult {
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

/// Orders a start and returns the result that the agent reports, and the number of calls.
async fn ordered_start(silent_count: u32) -> (StartResult, u32) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_seeds, addresses) = watch::channel(vec![listener.local_addr().unwrap()]);
    let (streams, mut attached) = mpsc::channel(1);
    let (results, mut reported) = mpsc::unbounded_channel();
    let leader = Leader { streams, results };
    let server = Server::builder().add_service(QueueControlServer::new(leader));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    let (announcements, announced) = mpsc::channel(1);
    let (_trigger, shutdown): (ShutdownTrigger, _) = shutdown_channel();
    let config = AgentConfig { node: NodeName::new("node").unwrap() };
    let start_count = Arc::new(AtomicU32::new(0));
    let port = SilentWorker { silent_count, start_count: Arc::clone(&start_count) };
    tokio::spawn(Agent::run(config, port, QueueClient::new(addresses), announced, shutdown));
    announcements.send(Announcement::Present { state: worker(), sequence: 1 }).await.unwrap();
    let stream = attached.recv().await.unwrap();
    let task = TaskId { job: JobName::new("job").unwrap(), occurrence: 0, step: 0, index: 0 };
    let start = StartOrder {
        run: RunId { task, number: 1 },
        payload: Arc::from("payload"),
        until_clock_ms: 10_000,
        checkpoint: None,
        begin_until_clock_ms: None,
    };
    let orders = Orders {
        token: TOKEN,
        incarnation: worker().incarnation,
        acknowledged_end: 0,
        lease_until_clock_ms: Some(10_000),
        starts: vec![start],
        stops: Vec::new(),
    };
    // The agent takes orders once it knows its worker.
    sleep(Duration::from_millis(300)).await;
    stream.send(LeaderFrame::Orders(orders)).await.unwrap();
    let result = timeout(REPORT_TIMEOUT, reported.recv()).await.unwrap().unwrap();
    (result, start_count.load(Ordering::SeqCst))
}

#[tokio::test]
async fn unanswered_start() {
    assert_eq!(ordered_start(1).await, (StartResult::Begun, 2));
}

#[tokio::test]
async fn silent_worker() {
    assert_eq!(ordered_start(10).await, (StartResult::Unknown, 3));
}

#[tokio::test]
async fn answered_start() {
    assert_eq!(ordered_start(0).await, (StartResult::Begun, 1));
}

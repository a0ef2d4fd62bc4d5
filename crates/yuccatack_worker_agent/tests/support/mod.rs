//! Agent that is attached to a leader of the test, with a worker of the test.

#![allow(clippy::unwrap_used, dead_code, missing_docs)]

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, interval, timeout_at};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};
use yuccatack_core::{DataCentreName, JobName, NodeName, Resources, ServiceName, WorkerName};
use yuccatack_dispatch::{AgentMessage, Orders, StartOrder, WorkerState};
use yuccatack_lifecycle::{ShutdownTrigger, shutdown_channel};
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::generated::queue_control::Envelope;
use yuccatack_queue_client::generated::queue_control::queue_control_server::{
    QueueControl, QueueControlServer,
};
use yuccatack_queue_client::protocol::{AgentFrame, LeaderFrame};
use yuccatack_runs::{RunId, TaskId, WorkerIncarnation};
use yuccatack_worker_agent::{Agent, AgentConfig, Announcement, WorkerPort};

pub const TOKEN: u64 = 3;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Number of frames that may be queued for the agent.
const FRAME_QUEUE_LENGTH: usize = 16;

/// Leader that hands all reports, and the sender of each agent's stream, to the test.
struct Leader {
    reports: mpsc::UnboundedSender<AgentMessage>,
    streams: mpsc::UnboundedSender<mpsc::Sender<LeaderFrame>>,
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
        let mut frames = request.into_inner();
        let reports = self.reports.clone();
        tokio::spawn(async move {
            while let Ok(Some(envelope)) = frames.message().await {
                if let Ok(AgentFrame::Report(report)) = AgentFrame::try_from(envelope) {
                    // The test may have ended.
                    let _ = reports.send(report);
                }
            }
        });
        let (sender, frames) = mpsc::channel(FRAME_QUEUE_LENGTH);
        let heartbeats = sender.clone();
        tokio::spawn(async move {
            let mut ticks = interval(HEARTBEAT_INTERVAL);
            loop {
                ticks.tick().await;
                if heartbeats.send(LeaderFrame::Leading { token: TOKEN }).await.is_err() {
                    return;
                }
            }
        });
        // The test may have ended.
        let _ = self.streams.send(sender);
        let frames =
            ReceiverStream::new(frames).map(|frame| Ok(Envelope::try_from(&frame).unwrap()));
        Ok(Response::new(Box::pin(frames)))
    }
}

pub struct AttachedAgent {
    pub reports: mpsc::UnboundedReceiver<AgentMessage>,
    announcements: mpsc::Sender<Announcement>,
    stream: mpsc::Sender<LeaderFrame>,
    _trigger: ShutdownTrigger,
}

impl AttachedAgent {
    /// Starts an agent of the worker behind `port` and waits until it has attached.
    pub async fn new<Port>(port: Port) -> Self
    where
        Port: WorkerPort,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_, seeds) = watch::channel(vec![listener.local_addr().unwrap()]);
        let (reports, received) = mpsc::unbounded_channel();
        let (streams, mut attached) = mpsc::unbounded_channel();
        let leader = Leader { reports, streams };
        let server = Server::builder().add_service(QueueControlServer::new(leader));
        tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
        let (announcements, announced) = mpsc::channel(8);
        let (trigger, shutdown) = shutdown_channel();
        let config = AgentConfig { node: NodeName::new("node").unwrap() };
        tokio::spawn(Agent::run(config, port, QueueClient::new(seeds), announced, shutdown));
        let stream = attached.recv().await.unwrap();
        Self { reports: received, announcements, stream, _trigger: trigger }
    }

    pub async fn announce(&self, state: WorkerState, sequence: u64) {
        self.send(Announcement::Present { state, sequence }).await;
    }

    pub async fn send(&self, announcement: Announcement) {
        self.announcements.send(announcement).await.unwrap();
    }

    pub async fn order(&self, orders: Orders) {
        self.stream.send(LeaderFrame::Orders(orders)).await.unwrap();
    }

    /// Returns the reports of the next `duration`.
    pub async fn reports_within(&mut self, duration: Duration) -> Vec<AgentMessage> {
        let end = Instant::now() + duration;
        let mut reports = Vec::new();
        while let Ok(Some(report)) = timeout_at(end, self.reports.recv()).await {
            reports.push(report);
        }
        reports
    }
}

pub fn worker(name: &str, started_at_unix_ms: u64) -> WorkerState {
    let node = NodeName::new("node").unwrap();
    let name = WorkerName::new(name).unwrap();
    WorkerState {
        incarnation: WorkerIncarnation { node, worker: name, started_at_unix_ms },
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

pub fn run(index: u32) -> RunId {
    let task = TaskId { job: JobName::new("job").unwrap(), occurrence: 0, step: 0, index };
    RunId { task, number: 1 }
}

pub fn start(index: u32) -> StartOrder {
    StartOrder {
        run: run(index),
        payload: Arc::from("payload"),
        until_clock_ms: 10_000,
        checkpoint: None,
        begin_until_clock_ms: None,
    }
}

/// Orders for an incarnation, without any starts and stops.
pub fn orders(incarnation: &WorkerIncarnation) -> Orders {
    Orders {
        token: TOKEN,
        incarnation: incarnation.clone(),
        acknowledged_end: 0,
        lease_until_clock_ms: Some(10_000),
        starts: Vec::new(),
        stops: Vec::new(),
    }
}

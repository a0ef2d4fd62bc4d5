//! Guards against an agent that stops following its worker after one odd response or announcement:
//! it reports nothing more, polls in a busy loop, reports a worker that does not exist, or misses
//! that the worker drains.

#![allow(clippy::unwrap_used, missing_docs)]

use std::pin::Pin;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};
use yuccatack_core::{DataCentreName, JobName, NodeName, Resources, ServiceName, WorkerName};
use yuccatack_dispatch::{AgentMessage, EndedRun, Observation, StartResult, WorkerState};
use yuccatack_lifecycle::{ShutdownTrigger, shutdown_channel};
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::generated::queue_control::Envelope;
use yuccatack_queue_client::generated::queue_control::queue_control_server::{
    QueueControl, QueueControlServer,
};
use yuccatack_queue_client::protocol::{AgentFrame, LeaderFrame};
use yuccatack_runs::{RunId, RunOutcome, TaskId, WorkerIncarnation};
use yuccatack_worker_agent::{
    Agent, AgentConfig, Announcement, PollCall, PollResponse, PollResult, StartCall, StopCall,
    StopResult, WorkerPort,
};

const TOKEN: u64 = 3;

/// Start of the worker's current incarnation.
const START: u64 = 1_000;

/// Leader that hands all reports to the test and never sends orders.
struct Leader {
    reports: mpsc::UnboundedSender<AgentMessage>,
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
        let (sender, heartbeats) = mpsc::channel(1);
        tokio::spawn(async move {
            while sender.send(LeaderFrame::Leading { token: TOKEN }).await.is_ok() {
                sleep(Duration::from_millis(250)).await;
            }
        });
        let heartbeats =
            ReceiverStream::new(heartbeats).map(|frame| Ok(Envelope::try_from(&frame).unwrap()));
        Ok(Response::new(Box::pin(heartbeats)))
    }
}

/// Worker whose responses the test chooses, by the number of the poll and the time since the start.
struct ScriptedWorker<Script> {
    script: Script,
    started_at: Instant,
    polls: mpsc::UnboundedSender<PollCall>,
    count: std::sync::atomic::AtomicUsize,
    /// `true` if the worker lists an end, so that it responds without waiting for one.
    responds_at_once: bool,
}

impl<Script> WorkerPort for ScriptedWorker<Script>
where
    Script: Fn(usize, u64) -> PollResult + Send + Sync + 'static,
{
    async fn start(&self, _call: StartCall) -> StartResult {
        StartResult::Unknown
    }

    async fn stop(&self, _call: StopCall) -> StopResult {
        StopResult::Unknown
    }

    async fn poll(&self, call: PollCall) -> PollResult {
        let number = self.count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let wait = Duration::from(call.wait_ms);
        let _ = self.polls.send(call);
        if !self.responds_at_once {
            sleep(wait).await;
        }
        let elapsed_ms = u64::try_from(self.started_at.elapsed().as_millis()).unwrap();
        (self.script)(number, 5_000 + elapsed_ms)
    }
}

/// Agent of a scripted worker, attached to a leader.
struct Attached {
    reports: mpsc::UnboundedReceiver<AgentMessage>,
    polls: mpsc::UnboundedReceiver<PollCall>,
    announcements: mpsc::Sender<Announcement>,
    _trigger: ShutdownTrigger,
}

impl Attached {
    async fn new<Script>(responds_at_once: bool, script: Script) -> Self
    where
        Script: Fn(usize, u64) -> PollResult + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_, seeds) = watch::channel(vec![listener.local_addr().unwrap()]);
        let (report_sender, reports) = mpsc::unbounded_channel();
        let leader = Leader { reports: report_sender };
        let server = Server::builder().add_service(QueueControlServer::new(leader));
        tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
        let (poll_sender, polls) = mpsc::unbounded_channel();
        let (announcements, announced) = mpsc::channel(8);
        let (trigger, shutdown) = shutdown_channel();
        let config = AgentConfig { node: NodeName::new("node").unwrap() };
        let port = ScriptedWorker {
            script,
            started_at: Instant::now(),
            polls: poll_sender,
            count: Default::default(),
            responds_at_once,
        };
        tokio::spawn(Agent::run(config, port, QueueClient::new(seeds), announced, shutdown));
        let attached = Self { reports, polls, announcements, _trigger: trigger };
        attached.announce(worker(START), 1).await;
        attached
    }

    async fn announce(&self, state: WorkerState, sequence: u64) {
        self.announcements.send(Announcement::Present { state, sequence }).await.unwrap();
    }

    /// Returns the reports of the next `duration`.
    async fn reports_within(&mut self, duration: Duration) -> Vec<AgentMessage> {
        let end = Instant::now() + duration;
        let mut reports = Vec::new();
        while let Ok(Some(report)) = timeout_at(end, self.reports.recv()).await {
            reports.push(report);
        }
        reports
    }
}

fn worker(started_at_unix_ms: u64) -> WorkerState {
    let node = NodeName::new("node").unwrap();
    let name = WorkerName::new("worker").unwrap();
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

fn end(number: u64) -> EndedRun {
    let task = TaskId { job: JobName::new("job").unwrap(), occurrence: 0, step: 0, index: 0 };
    let run = RunId { task, number: u32::try_from(number).unwrap() };
    EndedRun { number, run, outcome: RunOutcome::Done, checkpoint: None }
}

fn response(clock_ms: u64, ended: Vec<EndedRun>) -> PollResponse {
    PollResponse {
        started_at_unix_ms: Some(START),
        clock_ms,
        running: Vec::new(),
        ended,
        lists_all_ends: true,
    }
}

fn observations(reports: &[AgentMessage]) -> Vec<&Observation> {
    let mut observations = Vec::new();
    for report in reports {
        if let AgentMessage::Observed(observation) = report {
            observations.push(observation);
        }
    }
    observations
}

fn states(reports: &[AgentMessage]) -> Vec<&WorkerState> {
    let mut states = Vec::new();
    for report in reports {
        if let AgentMessage::State(state) = report {
            states.push(state);
        }
    }
    states
}

#[tokio::test]
async fn damaged_row_read_again() {
    // If the first end were taken for missing, the leader would stop its run and begin it again.
    let mut attached = Attached::new(true, |number, clock_ms| {
        if (2..4).contains(&number) {
            PollResult::AnsweredInPart(response(clock_ms, vec![end(2)]))
        } else {
            PollResult::Answered(response(clock_ms, vec![end(1), end(2)]))
        }
    })
    .await;
    let reports = attached.reports_within(Duration::from_secs(2)).await;
    let observations = observations(&reports);
    assert!(observations.len() >= 3, "{} observations in 2 s", observations.len());
    let complete = observations.iter().filter(|observation| observation.ended.len() == 2).count();
    assert_eq!(complete, observations.len(), "an observation lacks an end that is listed again");
}

#[tokio::test]
async fn lasting_odd_row() {
    // The other rows must reach the leader within 1.2 s, or the worker gets no work. A worker that
    // lists an end responds at once, so polls without a pause would take all processor time.
    let mut attached = Attached::new(true, |_, clock_ms| {
        PollResult::AnsweredInPart(response(clock_ms, Vec::new()))
    })
    .await;
    let reports = attached.reports_within(Duration::from_millis(2_500)).await;
    let mut poll_count = 0;
    while attached.polls.try_recv().is_ok() {
        poll_count += 1;
    }
    let observation_count = observations(&reports).len();
    assert!(observation_count >= 5, "{observation_count} observations in 2.5 s");
    assert!((6..=20).contains(&poll_count), "{poll_count} polls in 2.5 s");
}

#[tokio::test]
async fn odd_clock_ignored() {
    // The leader discards readings that are lower than an earlier one, so one that is too large
    // would cost the worker all of its work.
    let mut cases = Vec::new();
    for odd_ms in [u64::MAX, 1 << 53, 500_000_000, 20_000, 0] {
        cases.extend([0, 1, 3].map(|odd_poll| tokio::spawn(odd_clock_case(odd_ms, odd_poll))));
    }
    let mut failures = Vec::new();
    for case in cases {
        failures.extend(case.await.unwrap());
    }
    assert!(failures.is_empty(), "{} cases: {failures:?}", failures.len());
}

/// Returns what was wrong if one poll shows the clock at `odd_ms`.
async fn odd_clock_case(odd_ms: u64, odd_poll: usize) -> Option<String> {
    let mut attached = Attached::new(false, move |number, clock_ms| {
        let clock_ms = if number == odd_poll { odd_ms } else { clock_ms };
        PollResult::Answered(response(clock_ms, Vec::new()))
    })
    .await;
    let reports = attached.reports_within(Duration::from_millis(2_000)).await;
    let observations = observations(&reports).into_iter();
    let clocks: Vec<u64> = observations.map(|observation| observation.clock_ms).collect();
    let plausible = clocks.iter().all(|clock_ms| (5_000..9_000).contains(clock_ms));
    (clocks.len() < 3 || !plausible)
        .then(|| format!("{odd_ms} in poll {odd_poll}: readings {clocks:?}"))
}

#[tokio::test]
async fn lasting_odd_clock() {
    // Until a reading counts, polls ask for a response at once.
    let mut attached =
        Attached::new(false, |_, _| PollResult::Answered(response(u64::MAX, Vec::new()))).await;
    let reports = attached.reports_within(Duration::from_millis(2_500)).await;
    let mut poll_count = 0;
    while attached.polls.try_recv().is_ok() {
        poll_count += 1;
    }
    assert!(observations(&reports).is_empty(), "reported an implausible reading");
    assert!((6..=20).contains(&poll_count), "{poll_count} polls in 2.5 s");
}

#[tokio::test]
async fn lasting_jump_followed() {
    // While the agent is suspended, its own clock stands still and that of the worker does not.
    let mut attached = Attached::new(false, |number, clock_ms| {
        let clock_ms = if number >= 4 { clock_ms + 60_000 } else { clock_ms };
        PollResult::Answered(response(clock_ms, Vec::new()))
    })
    .await;
    let reports = attached.reports_within(Duration::from_millis(2_500)).await;
    let observations = observations(&reports);
    let later = observations.iter().filter(|observation| observation.clock_ms > 60_000).count();
    assert!(later >= 2, "{later} observations after the jump");
}

#[tokio::test]
async fn invented_incarnation_ignored() {
    // The leader takes the runs of the incarnation before for lost and begins them elsewhere, while
    // they run on.
    let mut attached =
        Attached::new(false, |_, clock_ms| PollResult::Answered(response(clock_ms, Vec::new())))
            .await;
    attached.reports_within(Duration::from_secs(1)).await;
    attached.announce(worker(START + 50_000), 1).await;
    let reports = attached.reports_within(Duration::from_millis(1_500)).await;
    assert_eq!(states(&reports), Vec::<&WorkerState>::new(), "reported a worker that does not run");
    assert!(observations(&reports).len() >= 3, "stopped following the worker");
    let draining = WorkerState { draining: true, ..worker(START) };
    attached.announce(draining.clone(), 2).await;
    let reports = attached.reports_within(Duration::from_millis(500)).await;
    assert_eq!(states(&reports), vec![&draining]);
}

#[tokio::test]
async fn restart_followed() {
    // The response of the new incarnation shows at once that the announced one runs.
    let mut attached = Attached::new(false, |number, clock_ms| {
        let started_at_unix_ms = Some(if number < 4 { START } else { START + 1 });
        let clock_ms = if number < 4 { clock_ms } else { clock_ms - 5_000 };
        PollResult::Answered(PollResponse { started_at_unix_ms, ..response(clock_ms, Vec::new()) })
    })
    .await;
    attached.reports_within(Duration::from_millis(900)).await;
    attached.announce(worker(START + 1), 1).await;
    let reports = attached.reports_within(Duration::from_millis(1_500)).await;
    assert_eq!(states(&reports), vec![&worker(START + 1)]);
    assert!(!observations(&reports).is_empty(), "no observation of the new incarnation");
}

#[tokio::test]
async fn silent_restart_followed() {
    // Workers that do not name their start in responses are replaced as announced.
    let mut attached = Attached::new(false, |_, clock_ms| {
        let response = response(clock_ms, Vec::new());
        PollResult::Answered(PollResponse { started_at_unix_ms: None, ..response })
    })
    .await;
    attached.reports_within(Duration::from_millis(900)).await;
    attached.announce(worker(START + 1), 1).await;
    let reports = attached.reports_within(Duration::from_millis(1_000)).await;
    assert_eq!(states(&reports), vec![&worker(START + 1)]);
}

#[tokio::test]
async fn drain_after_odd_sequence() {
    // The sequence number of another writer must not hide that the worker drains.
    let mut attached =
        Attached::new(false, |_, clock_ms| PollResult::Answered(response(clock_ms, Vec::new())))
            .await;
    attached.announce(worker(START), u64::MAX).await;
    attached.reports_within(Duration::from_millis(500)).await;
    let draining = WorkerState { draining: true, ..worker(START) };
    attached.announce(draining.clone(), 2).await;
    let reports = attached.reports_within(Duration::from_millis(500)).await;
    assert_eq!(states(&reports), vec![&draining], "the agent missed that the worker drains");
    attached.announce(worker(START), 1).await;
    let reports = attached.reports_within(Duration::from_millis(500)).await;
    assert!(states(&reports).is_empty(), "a late announcement took the drain back");
}

#[tokio::test]
async fn contradiction_ignored() {
    // A worker in another pool gets no work. Its pool changes only with its incarnation.
    let mut attached =
        Attached::new(false, |_, clock_ms| PollResult::Answered(response(clock_ms, Vec::new())))
            .await;
    attached.reports_within(Duration::from_millis(500)).await;
    let other = WorkerState { service: ServiceName::new("other").unwrap(), ..worker(START) };
    attached.announce(other.clone(), 2).await;
    attached.announce(worker(START), 3).await;
    attached.announce(other.clone(), 4).await;
    let reports = attached.reports_within(Duration::from_millis(500)).await;
    assert!(states(&reports).is_empty(), "reported a contradicting announcement");
    // The first announcement may have been the odd one.
    attached.announce(other.clone(), 5).await;
    let reports = attached.reports_within(Duration::from_millis(500)).await;
    assert_eq!(states(&reports), vec![&other]);
}

#[tokio::test]
async fn late_departure_ignored() {
    // Incarnations may share a name. The leader takes the runs of one that leaves for lost.
    let mut attached =
        Attached::new(false, |_, clock_ms| PollResult::Answered(response(clock_ms, Vec::new())))
            .await;
    attached.reports_within(Duration::from_millis(500)).await;
    let name = WorkerName::new("worker").unwrap();
    for (start, leaves) in [(Some(START - 1), false), (Some(START), true)] {
        let left = Announcement::Left { worker: name.clone(), started_at_unix_ms: start };
        attached.announcements.send(left).await.unwrap();
        let reports = attached.reports_within(Duration::from_millis(500)).await;
        let left = reports.iter().any(|report| matches!(report, AgentMessage::Left(_)));
        assert_eq!(left, leaves, "departure of the incarnation started at {start:?}");
    }
}

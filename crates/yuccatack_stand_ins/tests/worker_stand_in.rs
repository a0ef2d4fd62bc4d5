//! Worker test double: heartbeats over HTTP, leases and fencing.
#![allow(clippy::unwrap_used, missing_docs)]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use yuccatack_core::prelude::*;
use yuccatack_leases::wire::{HeartbeatBody, HeartbeatReplyBody};
use yuccatack_leases::*;
use yuccatack_stand_ins::*;

type Exchange = (HeartbeatReport, oneshot::Sender<HeartbeatReply>);

fn registration(name: &str) -> WorkerRegistration {
    WorkerRegistration {
        worker: WorkerName::new(name).unwrap(),
        incarnation: Incarnation::new(1),
        data_centre: DataCentreName::new("centre").unwrap(),
        rack: RackName::new("rack").unwrap(),
        resources: Resources { cores_milli: 32_000, memory_bytes: 1 << 37, accelerator_count: 8 },
    }
}

fn job(name: &str) -> JobSpec {
    let task = Resources { cores_milli: 1_000, memory_bytes: 1 << 30, accelerator_count: 4 };
    JobSpec {
        name: JobName::new(name).unwrap(),
        organisation: OrganisationName::new("alpha").unwrap(),
        shape: Shape { task_count: 4, task, adjacency: Adjacency::Rack },
        class: PriorityClass::Standard,
        declared_run_time_s: 1,
        idempotent: true,
        checkpointable: true,
        command: vec!["run".to_owned()],
    }
}

/// Runs a control replica without a replicated log: commands are applied immediately.
async fn run_control_replica(
    jobs: Vec<JobSpec>,
    mut inbox: mpsc::Receiver<Exchange>,
    done: mpsc::Sender<JobName>,
) {
    let origin = Instant::now();
    let mut table = LeaseTable::new();
    let mut leader = Scheduler::new(TimestampMs::new(0));
    let mut jobs = Some(jobs);
    while let Some((report, reply)) = inbox.recv().await {
        let at = TimestampMs::new(origin.elapsed().as_millis() as u64);
        let (response, mut commands) = leader.heartbeat(&table, report, at);
        if table.workers().count() == 2 {
            let jobs = jobs.take().unwrap_or_default();
            commands.extend(jobs.into_iter().map(|job| LeaseCommand::SubmitJob { job, at }));
        }
        while !commands.is_empty() {
            for command in commands {
                for event in table.apply(command) {
                    if let LeaseEvent::JobFinished(job) = event {
                        done.send(job).await.unwrap();
                    }
                }
            }
            commands = leader.schedule(&table, at);
        }
        let _ = reply.send(response);
    }
}

async fn serve(sender: mpsc::Sender<Exchange>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let sender = sender.clone();
            let service = service_fn(move |request| handle_request(request, sender.clone()));
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn handle_request(
    request: Request<Incoming>,
    sender: mpsc::Sender<Exchange>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let worker = request.uri().path().split('/').nth(3).unwrap().to_owned();
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let body: HeartbeatBody = serde_json::from_slice(&body).unwrap();
    let (reply, response) = oneshot::channel();
    sender.send((body.into_report(&worker).unwrap(), reply)).await.unwrap();
    let reply = HeartbeatReplyBody::from(response.await.unwrap());
    Ok(Response::new(Full::new(Bytes::from(serde_json::to_vec(&reply).unwrap()))))
}

/// Guards against a test double that breaks the worker protocol between registration and the
/// success of a job, or that does not move on from an unreachable control replica.
#[tokio::test]
async fn runs_gang() {
    let (sender, inbox) = mpsc::channel(16);
    let (done, mut finished) = mpsc::channel(16);
    tokio::spawn(run_control_replica(vec![job("gang")], inbox, done));
    let address = serve(sender).await;
    // Nothing listens on the first address, so the worker has to try the next one.
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let workers: Vec<WorkerStandIn> = ["worker-0", "worker-1"]
        .iter()
        .map(|name| {
            WorkerStandIn::start(WorkerSettings {
                registration: registration(name),
                control_addresses: vec![closed, address],
                default_run_time: DurationMs::new(300),
            })
        })
        .collect();
    let job = tokio::time::timeout(Duration::from_secs(20), finished.recv()).await.unwrap();
    assert_eq!(job, Some(JobName::new("gang").unwrap()));
    let mut started = 0;
    for worker in &workers {
        started += worker.records().await.len();
        assert!(worker.violations().await.is_empty());
    }
    assert_eq!(started, 4);
}

fn model() -> WorkerModel {
    WorkerModel::new(registration("worker"), DurationMs::new(60_000))
}

fn command(epoch: u64, kind: CommandKind) -> WorkerCommand {
    let job = JobName::new("job").unwrap();
    WorkerCommand { task: TaskReference { job, epoch: FencingEpoch::new(epoch), index: 0 }, kind }
}

fn prepare() -> CommandKind {
    CommandKind::Prepare {
        accelerators: vec![0],
        resources: Resources::default(),
        task_count: 1,
        command: Vec::new(),
        resume_epoch: None,
    }
}

fn send(model: &mut WorkerModel, now: u64, commands: Vec<WorkerCommand>) {
    let sequence = model.heartbeat().sequence;
    let reply = HeartbeatReply {
        sequence,
        lease: Some(LEASE_DURATION),
        commands,
        acknowledged: Vec::new(),
    };
    model.handle_reply(&reply, TimestampMs::new(now), TimestampMs::new(now));
}

/// Guards against tasks that keep running after the lease has expired.
#[test]
fn stops_at_lease_end() {
    let mut model = model();
    send(&mut model, 1_000, vec![command(1, prepare()), command(1, CommandKind::Start)]);
    assert!(!model.tick(TimestampMs::new(6_999)));
    assert!(model.tick(TimestampMs::new(7_000)));
    assert_eq!(model.records()[0].ended, Some((TimestampMs::new(7_000), ReportedState::Stopped)));
}

/// Guards against a task that starts from a command of an outdated attempt, or from a `prepare`
/// that arrives after the `stop` of its task. Both happen when the network reorders commands.
#[test]
fn outdated_commands_ignored() {
    let mut model = model();
    send(&mut model, 1_000, vec![command(2, CommandKind::Stop)]);
    send(&mut model, 1_100, vec![command(2, prepare()), command(1, prepare())]);
    send(&mut model, 1_200, vec![command(2, CommandKind::Start), command(1, CommandKind::Start)]);
    assert!(model.records().is_empty());
    assert_eq!(model.active().count(), 0);
}

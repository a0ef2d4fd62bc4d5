//! A worker over HTTP, as a task of the test's own process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use yuccatack_core::prelude::*;
use yuccatack_leases::wire::{HeartbeatBody, HeartbeatReplyBody};
use yuccatack_leases::{HEARTBEAT_INTERVAL, HeartbeatReply, HeartbeatReport, WorkerRegistration};

use crate::worker_model::{AcceleratorConflict, TaskRecord, WorkerBehaviour, WorkerModel};

/// A held reply comes within a heartbeat interval; later ones are given up.
const REPLY_LIMIT: Duration = Duration::from_millis(3_000);
/// The wait after a control replica refused or failed, before the next one is asked.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// The wait after commands that changed nothing, for example while a checkpoint is written.
const REPEAT_WAIT: Duration = Duration::from_millis(500);

/// How a worker stand-in is set up.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The worker and what it offers.
    pub registration: WorkerRegistration,
    /// Where the control replicas answer workers.
    pub control_addresses: Vec<SocketAddr>,
    /// How long tasks run unless a job's run time is set.
    pub default_run_time: DurationMs,
}

enum Message {
    RunTime(JobName, DurationMs),
    CheckpointTime(DurationMs),
    Behaviour(WorkerBehaviour),
    Restart,
    Records(oneshot::Sender<Vec<TaskRecord>>),
    Violations(oneshot::Sender<Vec<AcceleratorConflict>>),
}

/// A running worker. It ends when this is dropped.
#[derive(Debug)]
pub struct WorkerStandIn {
    messages: mpsc::UnboundedSender<Message>,
    task: JoinHandle<()>,
}

impl WorkerStandIn {
    /// Starts the worker on the current runtime.
    pub fn start(settings: WorkerSettings) -> Self {
        let (messages, inbox) = mpsc::unbounded_channel();
        let task = tokio::spawn(Actor::new(settings).run(inbox));
        Self { messages, task }
    }

    /// Sets how long the tasks of a job run.
    pub fn set_run_time(&self, job: &JobName, run_time: DurationMs) {
        self.send(Message::RunTime(job.clone(), run_time));
    }

    /// Sets how long a checkpoint takes.
    pub fn set_checkpoint_time(&self, checkpoint_time: DurationMs) {
        self.send(Message::CheckpointTime(checkpoint_time));
    }

    /// Changes how the worker treats its tasks.
    pub fn set_behaviour(&self, behaviour: WorkerBehaviour) {
        self.send(Message::Behaviour(behaviour));
    }

    /// Ends the worker process and starts it under a new incarnation.
    pub fn restart(&self) {
        self.send(Message::Restart);
    }

    /// Every task that was started, in order.
    pub async fn records(&self) -> Vec<TaskRecord> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Records(reply));
        answer.await.unwrap_or_default()
    }

    /// Commands that no correct scheduler sends.
    pub async fn violations(&self) -> Vec<AcceleratorConflict> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Violations(reply));
        answer.await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        // The actor ends only with this handle, so there is nobody to tell about an error.
        let _ = self.messages.send(message);
    }
}

impl Drop for WorkerStandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Answer = Result<HeartbeatReply, String>;

struct Actor {
    model: WorkerModel,
    addresses: Vec<SocketAddr>,
    address: usize,
    origin: Instant,
    next_heartbeat: Instant,
    in_flight: Option<(TimestampMs, JoinHandle<Answer>)>,
}

impl Actor {
    fn new(settings: WorkerSettings) -> Self {
        Self {
            model: WorkerModel::new(settings.registration, settings.default_run_time),
            addresses: settings.control_addresses,
            address: 0,
            origin: Instant::now(),
            next_heartbeat: Instant::now(),
            in_flight: None,
        }
    }

    fn now(&self) -> TimestampMs {
        TimestampMs::new(1 + DurationMs::from(self.origin.elapsed()).get())
    }

    fn instant(&self, at: TimestampMs) -> Instant {
        self.origin + Duration::from_millis(at.get().saturating_sub(1))
    }

    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        loop {
            let frozen = self.model.behaviour() == WorkerBehaviour::Frozen;
            let event = self.model.next_event().map(|at| self.instant(at));
            let wake = event.unwrap_or(self.next_heartbeat).min(self.next_heartbeat);
            let in_flight = self.in_flight.as_mut().map(|(_, task)| task);
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                answer = wait(in_flight), if !frozen => self.finish_heartbeat(answer),
                () = tokio::time::sleep_until(wake), if !frozen => self.wake(),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::RunTime(job, run_time) => self.model.set_run_time(&job, run_time),
            Message::CheckpointTime(time) => self.model.set_checkpoint_time(time),
            Message::Behaviour(behaviour) => self.model.set_behaviour(behaviour),
            Message::Restart => {
                self.abandon();
                self.model.restart(Incarnation::random(), self.now());
                self.next_heartbeat = Instant::now();
            }
            // A caller that no longer waits is no fault of the worker.
            Message::Records(reply) => drop(reply.send(self.model.records().to_vec())),
            Message::Violations(reply) => drop(reply.send(self.model.violations().to_vec())),
        }
    }

    fn wake(&mut self) {
        let changed = self.model.tick(self.now());
        if changed || Instant::now() >= self.next_heartbeat {
            self.send_heartbeat();
        }
    }

    fn abandon(&mut self) {
        if let Some((_, task)) = self.in_flight.take() {
            task.abort();
        }
    }

    /// Sends a heartbeat in place of one that is still held.
    fn send_heartbeat(&mut self) {
        self.abandon();
        let report = self.model.heartbeat();
        let Some(address) = self.addresses.get(self.address % self.addresses.len().max(1)) else {
            return;
        };
        let task = tokio::spawn(exchange(*address, report));
        self.in_flight = Some((self.now(), task));
        // The reply sets the next heartbeat; this is the limit when none arrives.
        self.next_heartbeat = Instant::now() + REPLY_LIMIT + RETRY_WAIT;
    }

    fn finish_heartbeat(&mut self, answer: Answer) {
        let Some((sent_at, _)) = self.in_flight.take() else { return };
        let now = self.now();
        // A task that ended with its lease must not be revived by the reply.
        let ended = self.model.tick(now);
        match answer {
            Ok(reply) => {
                let changed = self.model.handle_reply(&reply, sent_at, now);
                self.next_heartbeat = if reply.lease.is_none() {
                    // An unregistered worker asks again soon, so that a start-up is short.
                    Instant::now() + RETRY_WAIT
                } else if changed || ended || !reply.acknowledged.is_empty() {
                    // A reply that was not held leaves no request open for the next command.
                    Instant::now()
                } else if !reply.commands.is_empty() {
                    // Commands that change nothing yet come again with each reply.
                    Instant::now() + REPEAT_WAIT
                } else {
                    // Counted from the sending, because the reply may have been held.
                    self.instant(sent_at + HEARTBEAT_INTERVAL)
                };
            }
            Err(error) => {
                log::debug!(event = "heartbeat_failed", error = error.as_str(); "trying the next replica");
                self.address += 1;
                self.next_heartbeat = Instant::now() + RETRY_WAIT;
            }
        }
    }
}

async fn wait(task: Option<&mut JoinHandle<Answer>>) -> Answer {
    match task {
        Some(task) => task.await.unwrap_or_else(|error| Err(error.to_string())),
        None => std::future::pending().await,
    }
}

async fn exchange(address: SocketAddr, report: HeartbeatReport) -> Answer {
    match tokio::time::timeout(REPLY_LIMIT, post(address, report)).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no reply from {address} in time")),
    }
}

async fn post(address: SocketAddr, report: HeartbeatReport) -> Answer {
    let path = format!("/v1/workers/{}/heartbeat", report.registration.worker);
    let body =
        serde_json::to_vec(&HeartbeatBody::from(report)).map_err(|error| error.to_string())?;
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let connection = tokio::spawn(connection);
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|error| error.to_string())?.to_bytes();
    connection.abort();
    if status != StatusCode::OK {
        return Err(format!("{address} answered {status}"));
    }
    let reply: HeartbeatReplyBody =
        serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    Ok(HeartbeatReply::from(reply))
}

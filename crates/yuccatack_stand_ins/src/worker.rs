//! Test double of a worker that sends heartbeats over HTTP, as a task in the process of the test.

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

/// Timeout of a heartbeat. A leader delays its reply by at most one heartbeat interval.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Delay before the next control replica is tried after one refused or failed, and between the
/// heartbeats of an unregistered worker.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay of the next heartbeat after commands that changed no task state, for example while a
/// checkpoint is written.
const REPEATED_COMMAND_DELAY: Duration = Duration::from_millis(500);

/// Settings of a [`WorkerStandIn`].
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Name, incarnation, location and resources that the worker registers with.
    pub registration: WorkerRegistration,
    /// Addresses on which the control replicas accept heartbeats, tried in turn.
    pub control_addresses: Vec<SocketAddr>,
    /// Run time of the tasks of jobs without a run time of their own.
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

/// Running test double of a worker; dropping it stops the heartbeats and discards its tasks.
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

    /// Sets the run time of tasks of `job` that start from now on.
    pub fn set_run_time(&self, job: &JobName, run_time: DurationMs) {
        self.send(Message::RunTime(job.clone(), run_time));
    }

    /// Sets the duration of a checkpoint; it is 200 ms by default.
    pub fn set_checkpoint_time(&self, checkpoint_time: DurationMs) {
        self.send(Message::CheckpointTime(checkpoint_time));
    }

    /// Sets the behaviour towards commands and tasks.
    pub fn set_behaviour(&self, behaviour: WorkerBehaviour) {
        self.send(Message::Behaviour(behaviour));
    }

    /// Simulates a restart of the worker process under a new random incarnation.
    pub fn restart(&self) {
        self.send(Message::Restart);
    }

    /// Returns a record of every task that was started, in start order.
    pub async fn records(&self) -> Vec<TaskRecord> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Records(reply));
        answer.await.unwrap_or_default()
    }

    /// Returns the commands that a correct scheduler never sends.
    pub async fn violations(&self) -> Vec<AcceleratorConflict> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Violations(reply));
        answer.await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        // The actor runs until this handle is dropped, so the channel is open.
        let _ = self.messages.send(message);
    }
}

impl Drop for WorkerStandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type HeartbeatResult = Result<HeartbeatReply, String>;

struct Actor {
    model: WorkerModel,
    addresses: Vec<SocketAddr>,
    address_index: usize,
    origin: Instant,
    next_heartbeat: Instant,
    in_flight: Option<(TimestampMs, JoinHandle<HeartbeatResult>)>,
}

impl Actor {
    fn new(settings: WorkerSettings) -> Self {
        Self {
            model: WorkerModel::new(settings.registration, settings.default_run_time),
            addresses: settings.control_addresses,
            address_index: 0,
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
            let next_event = self.model.next_event().map(|at| self.instant(at));
            let wake_at = next_event.unwrap_or(self.next_heartbeat).min(self.next_heartbeat);
            let in_flight = self.in_flight.as_mut().map(|(_, task)| task);
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                answer = wait_for_reply(in_flight), if !frozen => self.finish_heartbeat(answer),
                () = tokio::time::sleep_until(wake_at), if !frozen => self.advance(),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::RunTime(job, run_time) => self.model.set_run_time(&job, run_time),
            Message::CheckpointTime(time) => self.model.set_checkpoint_time(time),
            Message::Behaviour(behaviour) => self.model.set_behaviour(behaviour),
            Message::Restart => {
                self.cancel_heartbeat();
                self.model.restart(Incarnation::random(), self.now());
                self.next_heartbeat = Instant::now();
            }
            // Sending a reply fails only if the caller no longer waits for it.
            Message::Records(reply) => drop(reply.send(self.model.records().to_vec())),
            Message::Violations(reply) => drop(reply.send(self.model.violations().to_vec())),
        }
    }

    fn advance(&mut self) {
        let changed = self.model.tick(self.now());
        if changed || Instant::now() >= self.next_heartbeat {
            self.send_heartbeat();
        }
    }

    fn cancel_heartbeat(&mut self) {
        if let Some((_, task)) = self.in_flight.take() {
            task.abort();
        }
    }

    /// Sends a heartbeat and cancels an earlier one that still awaits its reply.
    fn send_heartbeat(&mut self) {
        self.cancel_heartbeat();
        let report = self.model.heartbeat();
        let Some(address) = self.addresses.get(self.address_index % self.addresses.len().max(1))
        else {
            return;
        };
        let task = tokio::spawn(exchange(*address, report));
        self.in_flight = Some((self.now(), task));
        // The reply reschedules the next heartbeat; this is the fallback if none arrives.
        self.next_heartbeat = Instant::now() + REPLY_TIMEOUT + RETRY_DELAY;
    }

    fn finish_heartbeat(&mut self, answer: HeartbeatResult) {
        let Some((sent_at, _)) = self.in_flight.take() else { return };
        let now = self.now();
        // Expires the old lease first: the reply may renew the lease, but must not let tasks run on
        // that had to end with the old one.
        let ended = self.model.tick(now);
        match answer {
            Ok(reply) => {
                let changed = self.model.handle_reply(&reply, sent_at, now);
                self.next_heartbeat = if reply.lease.is_none() {
                    // A worker without a lease retries soon, which shortens start-up.
                    Instant::now() + RETRY_DELAY
                } else if changed || ended || !reply.acknowledged.is_empty() {
                    // The leader can only send the next command in reply to a new heartbeat.
                    Instant::now()
                } else if !reply.commands.is_empty() {
                    // The leader repeats pending commands in every reply, so an immediate
                    // heartbeat would cause a busy loop.
                    Instant::now() + REPEATED_COMMAND_DELAY
                } else {
                    // Counted from `sent_at`, because the leader may have delayed the reply.
                    self.instant(sent_at + HEARTBEAT_INTERVAL)
                };
            }
            Err(error) => {
                log::debug!(
                    event = "heartbeat_failed", error = error.as_str();
                    "heartbeat failed; trying the next control replica"
                );
                self.address_index += 1;
                self.next_heartbeat = Instant::now() + RETRY_DELAY;
            }
        }
    }
}

async fn wait_for_reply(task: Option<&mut JoinHandle<HeartbeatResult>>) -> HeartbeatResult {
    match task {
        Some(task) => task.await.unwrap_or_else(|error| Err(error.to_string())),
        None => std::future::pending().await,
    }
}

async fn exchange(address: SocketAddr, report: HeartbeatReport) -> HeartbeatResult {
    match tokio::time::timeout(REPLY_TIMEOUT, post(address, report)).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no reply from control replica {address} within {REPLY_TIMEOUT:?}")),
    }
}

async fn post(address: SocketAddr, report: HeartbeatReport) -> HeartbeatResult {
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
        return Err(format!(
            "control replica {address} refused the heartbeat with HTTP status {status}"
        ));
    }
    let reply: HeartbeatReplyBody =
        serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    Ok(HeartbeatReply::from(reply))
}

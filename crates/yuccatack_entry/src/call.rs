//! Dispatch of one request: executes the commands of its state machine and feeds back events.

use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};
use yuccatack_core::prelude::*;
use yuccatack_requests::attempt::attempt_id;
use yuccatack_requests::attempts::Resolution;
use yuccatack_requests::claims::{
    ClaimClient, ClaimCommand, ClaimState, ClaimedAttempt, ContentDigest, IdempotencyKey,
};
use yuccatack_requests::dispatch::{
    ChoiceKind, Dispatch, DispatchCommand, DispatchEvent, DispatchSettings, Target,
};
use yuccatack_requests::prelude::*;
use yuccatack_requests::routing::Feedback;
use yuccatack_telemetry::metrics::RequestMetrics;

use crate::agent_client::{self, AgentCallError};
use crate::balancer::{BalancerMessage, ChooseRequest};
use crate::connection_pool::ConnectionPool;

/// Time that a `Resolve` call may take in addition to its wait before it counts as broken.
const RESOLVE_MARGIN: Duration = Duration::from_millis(500);

/// State that the calls of all requests share.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// Name of this entry.
    pub node: NodeName,
    /// Sender to the balancer, which admits requests and chooses minions.
    pub balancer: mpsc::Sender<BalancerMessage>,
    /// Pool of connections to agents.
    pub connections: ConnectionPool,
    /// Claims idempotency keys at the control leader.
    pub claims: ClaimClient,
    /// Timeouts and limits of dispatch.
    pub settings: DispatchSettings,
    /// Maximum size of the body of a response.
    pub body_limit_bytes: u64,
    /// Metrics of requests, for the count of retries.
    pub metrics: RequestMetrics,
}

/// A chosen minion for which the balancer has not received feedback yet.
struct Reservation {
    attempt: AttemptId,
    target: Target,
    since: Instant,
}

struct Call {
    context: CallContext,
    content: RequestContent,
    key: Option<IdempotencyKey>,
    dispatch: Dispatch,
    started: Instant,
    deadline: Duration,
    events: mpsc::Sender<DispatchEvent>,
    reservations: Vec<Reservation>,
    outcome: Option<Outcome>,
    attempt_count: u32,
}

fn wall_clock() -> TimestampMs {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let milliseconds = since_epoch.map_or(0, |duration| duration.as_millis());
    TimestampMs::new(u64::try_from(milliseconds).unwrap_or(u64::MAX))
}

/// Admits a request, dispatches it and returns its outcome.
pub async fn run_call(
    context: CallContext,
    content: RequestContent,
    key: Option<IdempotencyKey>,
    deadline: Duration,
) -> Outcome {
    let organisation = content.organisation.clone();
    let balancer = context.balancer.clone();
    let (reply, admitted) = oneshot::channel();
    let _ = balancer.send(BalancerMessage::Admit(organisation.clone(), reply)).await;
    match admitted.await {
        Ok(Ok(())) => {}
        Ok(Err(not_run)) => return not_run.into(),
        Err(_) => return entry_shutting_down().into(),
    }
    let outcome = run_dispatch(context, content, key, deadline).await;
    let _ = balancer.send(BalancerMessage::Release(organisation)).await;
    outcome
}

fn entry_shutting_down() -> NotRun {
    NotRun::retryable(NotRunReason::ShuttingDown, 1_000, "the entry ends")
}

async fn run_dispatch(
    context: CallContext,
    content: RequestContent,
    key: Option<IdempotencyKey>,
    deadline: Duration,
) -> Outcome {
    // Few events are pending at a time, because the state machine waits for each command's event.
    let (events, mut receiver) = mpsc::channel(64);
    let dispatch = Dispatch::new(
        context.settings,
        context.node.clone(),
        key.is_none(),
        TimestampMs::default() + deadline.into(),
        rand::random(),
    );
    let started = Instant::now();
    let mut call = Call {
        context,
        content,
        key,
        dispatch,
        started,
        deadline,
        events,
        reservations: Vec::new(),
        outcome: None,
        attempt_count: 0,
    };
    let commands = call.dispatch.start(call.now());
    call.run_commands(commands);
    loop {
        if let Some(outcome) = call.outcome.take() {
            call.release_all();
            return outcome;
        }
        let event = call.next_event(&mut receiver).await;
        call.track_reservations(&event);
        let commands = call.dispatch.handle(event, call.now());
        call.run_commands(commands);
    }
}

fn feedback(resolution: &Resolution, since: Instant) -> Option<Feedback> {
    let latency_us = u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX);
    match resolution {
        Resolution::Running => None,
        Resolution::NotRun(not_run) => Some(not_run_feedback(not_run)),
        Resolution::Unknown(_) => Some(Feedback::Failed),
        Resolution::Ended(outcome) => Some(match outcome.as_ref() {
            Outcome::Completed(_) => Feedback::Completed { latency_us },
            Outcome::NotRun(not_run) => not_run_feedback(not_run),
            Outcome::Unknown(_) => Feedback::Failed,
        }),
    }
}

fn not_run_feedback(not_run: &NotRun) -> Feedback {
    match not_run.reason {
        NotRunReason::NoSlot => Feedback::NoSlot,
        NotRunReason::MinionUnreachable | NotRunReason::AgentUnreachable => Feedback::Failed,
        NotRunReason::Deadline | NotRunReason::Barred | NotRunReason::Invalid => Feedback::Neutral,
        _ => Feedback::Refused,
    }
}

impl Call {
    fn now(&self) -> TimestampMs {
        TimestampMs::new(DurationMs::from(self.started.elapsed()).get())
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.started.elapsed())
    }

    async fn next_event(&self, receiver: &mut mpsc::Receiver<DispatchEvent>) -> DispatchEvent {
        let timer = Duration::from_millis(self.dispatch.next_timer().get());
        let at = tokio::time::Instant::from_std(self.started + timer);
        tokio::select! {
            // The channel stays open, because this call holds a sender.
            event = receiver.recv() => event.unwrap_or(DispatchEvent::Timer),
            () = tokio::time::sleep_until(at) => DispatchEvent::Timer,
        }
    }

    /// Tracks chosen minions and sends the balancer feedback about resolved attempts.
    fn track_reservations(&mut self, event: &DispatchEvent) {
        match event {
            DispatchEvent::Chosen(Ok((attempt, target))) => self.reservations.push(Reservation {
                attempt: *attempt,
                target: target.clone(),
                since: Instant::now(),
            }),
            DispatchEvent::Resolved(attempt, resolution) => {
                let position = self
                    .reservations
                    .iter()
                    .position(|reservation| reservation.attempt == *attempt);
                let Some(position) = position else {
                    return;
                };
                let since = self.reservations[position].since;
                if let Some(feedback) = feedback(resolution, since) {
                    let reservation = self.reservations.swap_remove(position);
                    self.send_feedback(reservation.target, feedback);
                }
            }
            DispatchEvent::Chosen(Err(_))
            | DispatchEvent::Claimed(_)
            | DispatchEvent::Settled(_)
            | DispatchEvent::Broken(_)
            | DispatchEvent::Timer => {}
        }
    }

    fn send_feedback(&self, target: Target, feedback: Feedback) {
        let balancer = self.context.balancer.clone();
        tokio::spawn(async move {
            let _ = balancer.send(BalancerMessage::RecordFeedback(target, feedback)).await;
        });
    }

    fn release_all(&mut self) {
        for reservation in std::mem::take(&mut self.reservations) {
            self.send_feedback(reservation.target, Feedback::Neutral);
        }
    }

    fn run_commands(&mut self, commands: Vec<DispatchCommand>) {
        for command in commands {
            match command {
                DispatchCommand::Choose(kind, excluded) => self.choose(kind, excluded),
                DispatchCommand::Claim(attempt) => self.claim(attempt),
                DispatchCommand::Settle(attempt, state) => self.settle(attempt, state),
                DispatchCommand::Execute(attempt) => self.execute(attempt),
                DispatchCommand::Resolve(attempt) => self.resolve(attempt),
                DispatchCommand::Finish(outcome) => self.outcome = Some(outcome),
            }
        }
    }

    fn choose(&self, kind: ChoiceKind, excluded: Vec<NodeName>) {
        let (reply, choice) = oneshot::channel();
        let request = ChooseRequest {
            organisation: self.content.organisation.clone(),
            class: self.content.class,
            service: self.content.service.clone(),
            deadline: self.started + self.deadline,
            kind,
            excluded,
            reply,
        };
        let balancer = self.context.balancer.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let _ = balancer.send(BalancerMessage::Choose(request)).await;
            let choice = choice.await.unwrap_or_else(|_| Err(entry_shutting_down()));
            let reserved = choice.as_ref().ok().cloned();
            let chosen = choice.map(|target| (attempt_id(wall_clock(), rand::random()), target));
            if events.send(DispatchEvent::Chosen(chosen)).await.is_err()
                && let Some(target) = reserved
            {
                let unused = BalancerMessage::RecordFeedback(target, Feedback::Neutral);
                let _ = balancer.send(unused).await;
            }
        });
    }

    fn content_digest(&self) -> ContentDigest {
        ContentDigest::of(&[
            self.content.service.as_str().as_bytes(),
            self.content.method.as_bytes(),
            self.content.path.as_bytes(),
            &self.content.body,
        ])
    }

    fn claim(&self, attempt: ClaimedAttempt) {
        let Some(key) = self.key.clone() else {
            return;
        };
        let command = ClaimCommand::Claim {
            organisation: self.content.organisation.clone(),
            key,
            content: self.content_digest(),
            attempt,
        };
        let claims = self.context.claims.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let _ = events.send(DispatchEvent::Claimed(claims.call(command).await)).await;
        });
    }

    fn settle(&self, attempt: AttemptId, state: ClaimState) {
        let Some(key) = self.key.clone() else {
            return;
        };
        let organisation = self.content.organisation.clone();
        let command = ClaimCommand::Settle { organisation, key, attempt, state };
        let claims = self.context.claims.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let _ = events.send(DispatchEvent::Settled(claims.call(command).await)).await;
        });
    }

    fn execute(&mut self, claimed: ClaimedAttempt) {
        if self.attempt_count > 0 {
            self.context.metrics.count_retry(&self.content.service);
        }
        self.attempt_count += 1;
        let connections = self.context.connections.clone();
        let content = self.content.clone();
        let remaining = self.remaining();
        let limit = self.context.body_limit_bytes;
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = match connections.get(claimed.address).await {
                Err(error) => not_connected(claimed.attempt, &error),
                Ok(channel) => {
                    let result =
                        agent_client::execute(channel, &claimed, &content, remaining, limit).await;
                    execute_event(&connections, &claimed, result).await
                }
            };
            let _ = events.send(event).await;
        });
    }

    fn resolve(&self, claimed: ClaimedAttempt) {
        let connections = self.context.connections.clone();
        let organisation = self.content.organisation.clone();
        let wait = Duration::from(self.context.settings.resolve_wait).min(self.remaining());
        let limit = self.context.body_limit_bytes;
        let events = self.events.clone();
        tokio::spawn(async move {
            let query = async {
                let channel = connections.open(claimed.address).await?;
                agent_client::resolve(channel, &claimed, &organisation, wait, limit).await
            };
            let event = match tokio::time::timeout(wait + RESOLVE_MARGIN, query).await {
                Ok(Ok(resolution)) => DispatchEvent::Resolved(claimed.attempt, resolution),
                Ok(Err(error)) => {
                    log::debug!(
                        event = "resolve_failed", attempt:% = claimed.attempt;
                        "cannot resolve the attempt: {error}"
                    );
                    DispatchEvent::Broken(claimed.attempt)
                }
                Err(_) => DispatchEvent::Broken(claimed.attempt),
            };
            let _ = events.send(event).await;
        });
    }
}

fn not_connected(attempt: AttemptId, error: &AgentCallError) -> DispatchEvent {
    let not_run = NotRun::retryable(NotRunReason::AgentUnreachable, 1_000, &error.to_string());
    DispatchEvent::Resolved(attempt, Resolution::NotRun(not_run))
}

async fn execute_event(
    connections: &ConnectionPool,
    claimed: &ClaimedAttempt,
    result: Result<Resolution, AgentCallError>,
) -> DispatchEvent {
    match result {
        Ok(resolution) => DispatchEvent::Resolved(claimed.attempt, resolution),
        Err(error @ AgentCallError::Connect { .. }) => {
            connections.close(claimed.address).await;
            not_connected(claimed.attempt, &error)
        }
        Err(AgentCallError::Refused { detail }) => {
            let not_run = NotRun::permanent(NotRunReason::Invalid, &detail);
            DispatchEvent::Resolved(claimed.attempt, Resolution::NotRun(not_run))
        }
        Err(error) => {
            log::debug!(
                event = "attempt_broken", attempt:% = claimed.attempt;
                "{error}; removing the connection to the agent from the pool"
            );
            connections.close(claimed.address).await;
            DispatchEvent::Broken(claimed.attempt)
        }
    }
}

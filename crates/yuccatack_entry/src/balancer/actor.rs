//! Implementation of the balancer task.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};
use yuccatack_admission::{
    Dequeued, FairQueue, OrganisationLimits, QueueLimits, QueuedRequest, QuotaRefusal, QuotaTable,
    RetryBudget, RetryBudgetSettings,
};
use yuccatack_core::prelude::*;
use yuccatack_requests::dispatch::{ChoiceKind, Target};
use yuccatack_requests::prelude::*;
use yuccatack_requests::routing::{Feedback, Router};
use yuccatack_view::ViewHandle;

use super::message::{BalancerMessage, ChooseRequest};
use super::records::{DEFAULT_LIMITS, minion_loads, organisation_record, service_record};

/// Interval at which the queues are checked without a message or a change of the view. Minions that
/// the router avoided become eligible again with time, and deadlines expire.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Settings of admission.
#[derive(Clone, Copy, Debug, Default)]
pub struct BalancerSettings {
    /// Limits of the queue of each service; the record of a service overrides the length.
    pub queue: QueueLimits,
    /// Budget that retries and hedges share.
    pub retries: RetryBudgetSettings,
}

/// State of the balancer task: quotas, queues, the retry budget and the router.
pub struct Balancer {
    settings: BalancerSettings,
    router: Router,
    quotas: QuotaTable,
    retries: RetryBudget,
    queues: BTreeMap<ServiceName, FairQueue<ChooseRequest>>,
    view: ViewHandle,
    messages: mpsc::Receiver<BalancerMessage>,
    started: Instant,
}

fn queue_full() -> NotRun {
    NotRun::retryable(NotRunReason::QueueFull, 200, "as many requests wait as may")
}

fn deadline_too_short() -> NotRun {
    NotRun::retryable(
        NotRunReason::Deadline,
        200,
        "the deadline would pass before a minion could answer",
    )
}

fn stale_view() -> NotRun {
    NotRun::retryable(
        NotRunReason::StaleView,
        1_000,
        "the entry has had no confirmed configuration for too long",
    )
}

impl Balancer {
    /// Creates the balancer and the sender of messages to it.
    pub fn new(
        settings: BalancerSettings,
        router: Router,
        view: ViewHandle,
    ) -> (Self, mpsc::Sender<BalancerMessage>) {
        let (sender, messages) = mpsc::channel(4096);
        let balancer = Self {
            settings,
            router,
            quotas: QuotaTable::new(),
            retries: RetryBudget::new(settings.retries),
            queues: BTreeMap::new(),
            view,
            messages,
            started: Instant::now(),
        };
        (balancer, sender)
    }

    /// Processes messages until every sender is dropped.
    pub async fn run(mut self) {
        self.router.update(minion_loads(&self.view.view()));
        let mut view_open = true;
        let mut queue_checks = tokio::time::interval(QUEUE_CHECK_INTERVAL);
        queue_checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let waiting = !self.queues.is_empty();
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                changed = self.view.changed(), if view_open => {
                    view_open = changed.is_ok();
                    self.router.update(minion_loads(&self.view.view()));
                    self.serve_queues();
                }
                _ = queue_checks.tick(), if waiting => self.serve_queues(),
            }
        }
    }

    fn timestamp(&self, instant: Instant) -> TimestampMs {
        let elapsed = instant.saturating_duration_since(self.started);
        TimestampMs::new(DurationMs::from(elapsed).get())
    }

    fn now(&self) -> TimestampMs {
        self.timestamp(Instant::now())
    }

    fn handle(&mut self, message: BalancerMessage) {
        match message {
            BalancerMessage::Admit(organisation, reply) => {
                let admitted = self.admit(&organisation);
                if let Err(Ok(())) = reply.send(admitted) {
                    self.quotas.release(&organisation);
                }
            }
            BalancerMessage::Release(organisation) => self.quotas.release(&organisation),
            BalancerMessage::ListInFlight(reply) => {
                let counts = self.quotas.in_flight();
                let _ = reply.send(counts.map(|(name, count)| (name.clone(), count)).collect());
            }
            BalancerMessage::Choose(request) => self.choose(request),
            BalancerMessage::RecordFeedback(target, feedback) => {
                let now = self.now();
                self.router.record_feedback(&target, feedback, now);
                self.serve_queues();
            }
        }
    }

    fn admit(&mut self, organisation: &OrganisationName) -> Result<(), NotRun> {
        if !self.view.is_fresh(Instant::now()) {
            return Err(stale_view());
        }
        let view = self.view.view();
        let record = organisation_record(&view, organisation);
        let limits = record.map_or(DEFAULT_LIMITS, |record| OrganisationLimits {
            rate_per_s: record.request_rate_per_s,
            concurrency_count: record.request_concurrency_count,
        });
        let now = self.now();
        self.quotas.acquire(organisation, limits, now).map_err(|refusal| match refusal {
            QuotaRefusal::Rate { retry_after_ms } => NotRun::retryable(
                NotRunReason::RateLimited,
                retry_after_ms,
                "the organisation sends more requests a second than its record allows",
            ),
            QuotaRefusal::Concurrency => NotRun::retryable(
                NotRunReason::ConcurrencyLimited,
                100,
                "the organisation has as many requests in flight as its record allows",
            ),
        })
    }

    fn choose(&mut self, request: ChooseRequest) {
        match request.kind {
            ChoiceKind::First => self.retries.deposit(),
            ChoiceKind::Retry | ChoiceKind::Hedge => {
                if !self.retries.try_withdraw() {
                    let refusal = NotRun::retryable(
                        NotRunReason::QueueFull,
                        1_000,
                        "too many requests are being retried",
                    );
                    let _ = request.reply.send(Err(refusal));
                    return;
                }
            }
        }
        let waiting = self.queues.contains_key(&request.service);
        if waiting {
            self.enqueue(request);
            return self.serve_queues();
        }
        if let Some(request) = self.try_choose(request) {
            self.enqueue(request);
        }
    }

    /// Replies with a minion or a refusal. Returns the request if it has to wait, because every minion
    /// is full, skipped or ejected.
    fn try_choose(&mut self, request: ChooseRequest) -> Option<ChooseRequest> {
        if request.reply.is_closed() {
            return None;
        }
        if !self.view.is_fresh(Instant::now()) {
            let _ = request.reply.send(Err(stale_view()));
            return None;
        }
        let now = self.now();
        match self.router.choose(&request.service, &request.excluded, now) {
            Ok(target) => self.grant(request.reply, target, now),
            Err(refusal) if refusal.reason == NotRunReason::NoSlot => return Some(request),
            Err(refusal) => {
                let _ = request.reply.send(Err(refusal));
            }
        }
        None
    }

    fn grant(
        &mut self,
        reply: oneshot::Sender<Result<Target, NotRun>>,
        target: Target,
        now: TimestampMs,
    ) {
        if let Err(Ok(target)) = reply.send(Ok(target)) {
            // The request ended while it waited; this releases its slot.
            self.router.record_feedback(&target, Feedback::Neutral, now);
        }
    }

    fn queue_limits(&self, service: &ServiceName) -> QueueLimits {
        let view = self.view.view();
        let record = service_record(&view, service);
        match record {
            Some(record) => QueueLimits {
                length_count: record.queue_length_count as usize,
                ..self.settings.queue
            },
            None => self.settings.queue,
        }
    }

    fn enqueue(&mut self, request: ChooseRequest) {
        let limits = self.queue_limits(&request.service);
        let view = self.view.view();
        let weight = organisation_record(&view, &request.organisation)
            .map_or(1, |record| record.fair_share_weight);
        let queued = QueuedRequest {
            organisation: request.organisation.clone(),
            weight,
            class: request.class,
            deadline: self.timestamp(request.deadline),
            item: request,
        };
        let service = queued.item.service.clone();
        let queue = self.queues.entry(service).or_insert_with(|| FairQueue::new(limits));
        if let Err(refused) = queue.push(queued) {
            let _ = refused.item.reply.send(Err(queue_full()));
        }
    }

    /// Assigns minions with free slots to waiting requests.
    fn serve_queues(&mut self) {
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            let Some(mut queue) = self.queues.remove(&service) else {
                continue;
            };
            self.serve_queue(&service, &mut queue);
            if !queue.is_empty() {
                self.queues.insert(service, queue);
            }
        }
    }

    /// Assigns minions of one service to its waiting requests.
    ///
    /// Refuses a request with at most twice the mean latency left before its deadline: if it were
    /// started and not answered in time, it would occupy a slot and end with an unknown outcome.
    fn serve_queue(&mut self, service: &ServiceName, queue: &mut FairQueue<ChooseRequest>) {
        let mean_latency = self.router.mean_latency(service);
        let required_time = mean_latency + mean_latency;
        while self.router.may_choose(service, self.now()) {
            match queue.pop(self.now(), required_time) {
                Some(Dequeued::Next(queued)) => {
                    if let Some(request) = self.try_choose(queued.item) {
                        // The router found no free slot after all; the caller may try again.
                        let _ = request.reply.send(Err(queue_full()));
                    }
                }
                Some(Dequeued::Late(queued)) => {
                    let _ = queued.item.reply.send(Err(deadline_too_short()));
                }
                None => return,
            }
        }
    }
}

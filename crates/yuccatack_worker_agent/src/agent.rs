//! Agent task, which attaches to the leader and carries out its orders on the worker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};
use yuccatack_core::{DurationMs, NodeName};
use yuccatack_dispatch::{AgentMessage, Observation, Orders, StartOrder, StartResult, WorkerState};
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};
use yuccatack_queue_client::protocol::{AgentFrame, LeaderFrame};
use yuccatack_queue_client::{AgentStream, Backoff, QueueClient};
use yuccatack_runs::{RunId, WorkerIncarnation};

use crate::clock::ClockCheck;
use crate::orders::{OrderTracker, StartAction};
use crate::port::{
    Announcement, PollCall, PollResponse, PollResult, StartCall, StopCall, StopResult, WorkerPort,
};

/// Interval at which the agent checks for an unresponsive leader and for a due attachment or poll.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a frame after which the connection to the leader counts as dead. A leader sends a
/// heartbeat every 250 ms, so three are missing by then; electing the next leader takes about as
/// long.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time that the worker may wait for a run to end before it responds to a poll. New leases and
/// confirmed stops wait for the next poll, so it must stay well below the time limit of a stop.
const POLL_WAIT: DurationMs = DurationMs::new(250);

/// Delay after a poll that listed run ends which the leader has not stored yet. While the worker
/// lists any, it responds to the next poll at once, so polls without a delay would form a busy
/// loop.
const UNACKNOWLEDGED_ENDS_DELAY: Duration = Duration::from_millis(150);

/// Number of times in a row that a response is read again because some of its rows cannot be read.
/// A row that was damaged on its way is complete in the next response. Readings of the worker's
/// clock count for 1.2 s, so this must take much less.
const MAX_REREAD_COUNT: u32 = 3;

/// Delay after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Initial delay after all replicas were tried.
const INITIAL_ATTACH_DELAY: Duration = Duration::from_millis(60);

/// Longest delay after all replicas were tried. It bounds the time in which an agent finds a new
/// leader; leases last several times as long.
const MAX_ATTACH_DELAY: Duration = Duration::from_millis(500);

/// Number of times that a start is sent to the worker until it is answered. One member whose start
/// is not carried out keeps its whole gang waiting, so unanswered starts must be rare even if a
/// worker leaves several percent of its calls unanswered.
const MAX_START_CALL_COUNT: u32 = 3;

/// Number of results of calls that may be queued for the agent.
const EVENT_QUEUE_LENGTH: usize = 256;

/// Configuration of an [`Agent`].
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Name of the node, which is the same for all incarnations of its worker.
    pub node: NodeName,
}

/// Result of a call to the worker or the leader.
enum Event {
    Attached(Result<AgentStream, Option<SocketAddr>>),
    Started(WorkerIncarnation, RunId, StartResult),
    Stopped(WorkerIncarnation, RunId, StopResult),
    /// `stopped` lists the runs whose stop was confirmed before the poll began.
    Polled {
        incarnation: WorkerIncarnation,
        stopped: Vec<RunId>,
        result: PollResult,
    },
}

/// Announced incarnation that no poll has confirmed yet.
struct Candidate {
    state: WorkerState,
    sequence: u64,
}

/// Agent of one worker.
pub struct Agent<Port> {
    config: AgentConfig,
    port: Arc<Port>,
    client: QueueClient,
    events: mpsc::Sender<Event>,
    stream: Option<AgentStream>,
    last_frame_at: Instant,
    attach_in_flight: bool,
    next_attach_at: Instant,
    backoff: Backoff,
    /// Replicas tried since the last contact with a leader or since the last backoff delay.
    tried: Vec<SocketAddr>,
    /// Highest fencing token of a leader received so far.
    token: Option<u64>,
    worker: Option<WorkerState>,
    /// Number of the newest announcement of the current incarnation.
    sequence: u64,
    /// Last announcement of the current incarnation if it contradicts those before.
    contradiction: Option<WorkerState>,
    /// `true` if a worker of the current one's name has announced that it leaves, without its start.
    departure_announced: bool,
    /// Other incarnation, which replaces the current one once it has answered a poll.
    candidate: Option<Candidate>,
    /// `true` if the last poll was one of the candidate.
    candidate_polled_last: bool,
    /// `true` if the last poll of the current incarnation failed.
    last_poll_failed: bool,
    poll_in_flight: bool,
    next_poll_at: Instant,
    /// End of the lease granted by the leader, by the worker's clock.
    lease_until_clock_ms: Option<u64>,
    /// Number of the last run end that the leader has stored.
    acknowledged_end: u64,
    /// Number of the last run end in the worker's latest response.
    listed_end: u64,
    /// Number of responses in a row that were read again because of unreadable rows.
    reread_count: u32,
    clock: ClockCheck,
    orders: OrderTracker,
}

impl<Port> Agent<Port>
where
    Port: WorkerPort,
{
    /// Runs the agent until shutdown. Runs on the worker continue until its lease expires.
    pub async fn run(
        config: AgentConfig,
        port: Port,
        client: QueueClient,
        mut announcements: mpsc::Receiver<Announcement>,
        mut shutdown: Shutdown,
    ) {
        let (events, mut results) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let now = Instant::now();
        let mut agent = Self {
            config,
            port: Arc::new(port),
            client,
            events,
            stream: None,
            last_frame_at: now,
            attach_in_flight: false,
            next_attach_at: now,
            backoff: Backoff::new(INITIAL_ATTACH_DELAY, MAX_ATTACH_DELAY),
            tried: Vec::new(),
            token: None,
            worker: None,
            sequence: 0,
            contradiction: None,
            departure_announced: false,
            candidate: None,
            candidate_polled_last: false,
            last_poll_failed: false,
            poll_in_flight: false,
            next_poll_at: now,
            lease_until_clock_ms: None,
            acknowledged_end: 0,
            listed_end: 0,
            reread_count: 0,
            clock: ClockCheck::default(),
            orders: OrderTracker::default(),
        };
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = shutdown.wait_for(ShutdownPhase::Draining) => return,
                Some(event) = results.recv() => agent.on_event(event),
                Some(announcement) = announcements.recv() => agent.on_announcement(announcement),
                frame = receive_frame(&mut agent.stream) => agent.on_frame(frame),
                _ = checks.tick() => agent.check().await,
            }
            agent.poll_if_due();
        }
    }

    async fn check(&mut self) {
        if self.stream.is_some() && self.last_frame_at.elapsed() > LEADER_TIMEOUT {
            log::warn!(
                event = "leader_lost", reason = "silent";
                "the leader stopped sending frames; attaching again"
            );
            if let Some(stream) = self.stream.take() {
                stream.mark_unresponsive().await;
            }
        }
        if self.stream.is_none() && !self.attach_in_flight && Instant::now() >= self.next_attach_at
        {
            self.attach_in_flight = true;
            let (client, events) = (self.client.clone(), self.events.clone());
            let (tried, hello) = (self.tried.clone(), AgentFrame::Hello(self.config.node.clone()));
            tokio::spawn(async move {
                let result = client.attach(&tried, &hello).await;
                // The agent may have shut down.
                let _ = events.send(Event::Attached(result)).await;
            });
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Attached(result) => self.on_attached(result),
            Event::Started(incarnation, run, result) => {
                if self.is_current(&incarnation) {
                    self.orders.on_start_result(&run, result);
                    self.report(AgentMessage::Start(run, result));
                }
            }
            Event::Stopped(incarnation, run, result) => {
                if self.is_current(&incarnation) {
                    self.orders.on_stop_result(&run, result == StopResult::Confirmed);
                }
            }
            Event::Polled { incarnation, stopped, result } => {
                self.on_polled(&incarnation, stopped, result)
            }
        }
    }

    fn on_attached(&mut self, result: Result<AgentStream, Option<SocketAddr>>) {
        self.attach_in_flight = false;
        match result {
            Ok(stream) => {
                self.tried.push(stream.address());
                self.stream = Some(stream);
                self.last_frame_at = Instant::now();
                if let Some(worker) = self.worker.clone() {
                    self.report(AgentMessage::State(worker));
                }
            }
            Err(Some(address)) => self.tried.push(address),
            // All known replicas have been tried.
            Err(None) => {
                self.tried.clear();
                self.next_attach_at = Instant::now() + self.backoff.delay();
            }
        }
    }

    fn on_frame(&mut self, frame: Option<LeaderFrame>) {
        self.last_frame_at = Instant::now();
        match frame {
            None | Some(LeaderFrame::NotLeader(_)) => self.stream = None,
            Some(LeaderFrame::Leading { token }) => {
                if self.token.is_none_or(|newest| token > newest) {
                    log::info!(
                        event = "leader_attached", token = token;
                        "attached to a leader with a higher token"
                    );
                    self.token = Some(token);
                }
                self.tried.clear();
                self.backoff.reset();
            }
            Some(LeaderFrame::Orders(orders)) => self.on_orders(orders),
        }
    }

    fn on_orders(&mut self, orders: Orders) {
        let is_outdated = self.token.is_some_and(|newest| orders.token < newest);
        if is_outdated || !self.is_current(&orders.incarnation) {
            log::warn!(
                event = "orders_dropped", token = orders.token, life:% = orders.incarnation;
                "dropped orders of an earlier leader or for another incarnation of the worker"
            );
            return;
        }
        self.token = Some(orders.token);
        self.acknowledge_ends(orders.acknowledged_end);
        if orders.lease_until_clock_ms.is_some() {
            self.lease_until_clock_ms = orders.lease_until_clock_ms;
        }
        for start in orders.starts {
            self.start(&orders.incarnation, orders.token, start);
        }
        for run in orders.stops {
            self.stop(&orders.incarnation, orders.token, run);
        }
    }

    /// Records that the leader has stored run ends, which the worker can discard at the next poll.
    fn acknowledge_ends(&mut self, acknowledged_end: u64) {
        if acknowledged_end <= self.acknowledged_end {
            return;
        }
        self.acknowledged_end = acknowledged_end;
        if acknowledged_end >= self.listed_end && !self.last_poll_failed {
            self.next_poll_at = Instant::now();
        }
    }

    fn start(&mut self, incarnation: &WorkerIncarnation, token: u64, order: StartOrder) {
        let StartOrder { run, payload, until_clock_ms, checkpoint, begin_until_clock_ms } = order;
        // Without a reading of the clock, the agent cannot tell whether the order is late.
        let begin_until = begin_until_clock_ms
            .map(|clock_ms| self.clock.time_of(clock_ms).unwrap_or_else(Instant::now));
        match self.orders.on_start_order(&run) {
            StartAction::AwaitResult => {}
            StartAction::Report(result) => {
                self.report(AgentMessage::Start(run, result));
            }
            StartAction::Send if self.worker.as_ref().is_none_or(|worker| worker.draining) => {
                self.orders.on_start_result(&run, StartResult::Refused);
                self.report(AgentMessage::Start(run, StartResult::Refused));
            }
            StartAction::Send => {
                let (port, events, incarnation) =
                    (self.port.clone(), self.events.clone(), incarnation.clone());
                let call = StartCall {
                    incarnation: incarnation.clone(),
                    token,
                    run: run.clone(),
                    payload,
                    until_clock_ms,
                    checkpoint,
                };
                tokio::spawn(async move {
                    let (result, call_count) =
                        start_until_answered(&*port, call, begin_until).await;
                    log::info!(
                        event = "start_carried_out", run:% = run, result:? = result,
                        calls = call_count;
                        "the call that starts a run has completed"
                    );
                    let _ = events.send(Event::Started(incarnation, run, result)).await;
                });
            }
        }
    }

    fn stop(&mut self, incarnation: &WorkerIncarnation, token: u64, run: RunId) {
        if !self.orders.on_stop_order(&run) {
            return;
        }
        let (port, events, incarnation) =
            (self.port.clone(), self.events.clone(), incarnation.clone());
        let call = StopCall { incarnation: incarnation.clone(), token, run: run.clone() };
        tokio::spawn(async move {
            let result = port.stop(call).await;
            log::info!(
                event = "stop_carried_out", run:% = run, result:? = result;
                "the call that stops a run has completed"
            );
            let _ = events.send(Event::Stopped(incarnation, run, result)).await;
        });
    }

    fn on_announcement(&mut self, announcement: Announcement) {
        match announcement {
            Announcement::Present { state, sequence } => self.on_present(state, sequence),
            Announcement::Left { worker, started_at_unix_ms: Some(start) } => {
                let leaves = |state: &WorkerState| {
                    let incarnation = &state.incarnation;
                    incarnation.worker == worker && incarnation.started_at_unix_ms == start
                };
                self.candidate.take_if(|candidate| leaves(&candidate.state));
                if self.worker.as_ref().is_some_and(leaves) {
                    self.end_incarnation();
                }
            }
            Announcement::Left { worker, started_at_unix_ms: None } => {
                let current = self.worker.as_ref().map(|state| &state.incarnation);
                if let Some(incarnation) = current.filter(|current| current.worker == worker) {
                    // The leader takes the runs of a worker that left for lost at once, so a poll
                    // must show first that it is not a later incarnation of the name that runs.
                    log::info!(
                        event = "worker_departure_announced", life:% = incarnation;
                        "a worker of this name leaves; polling whether it is this incarnation"
                    );
                    self.departure_announced = true;
                    self.next_poll_at = Instant::now();
                }
            }
        }
    }

    /// Reports that the current incarnation has ended.
    fn end_incarnation(&mut self) {
        let Some(worker) = self.worker.take() else { return };
        log::info!(
            event = "worker_departed", life:% = worker.incarnation;
            "the worker shuts down and gets no more orders"
        );
        self.reset_incarnation();
        self.report(AgentMessage::Left(worker.incarnation));
    }

    fn on_present(&mut self, state: WorkerState, sequence: u64) {
        if self.is_current(&state.incarnation) {
            self.on_current_present(state, sequence);
        } else {
            // The announcement may be a late one of an incarnation that has ended. The leader takes
            // the runs of the current one for lost once it is replaced, so a poll must show first
            // that the announced one runs. Start times do not tell, since wall clocks can go back.
            self.candidate = Some(Candidate { state, sequence });
            self.next_poll_at = Instant::now();
        }
    }

    /// Handles an announcement of the current incarnation.
    fn on_current_present(&mut self, state: WorkerState, sequence: u64) {
        let Some(worker) = &self.worker else { return };
        // Pool, place and capacity of an incarnation stay the same. An announcement that differs is
        // from another writer, unless the next one says the same.
        if !is_same_worker(worker, &state) {
            let confirmed =
                self.contradiction.as_ref().is_some_and(|other| is_same_worker(other, &state));
            if !confirmed {
                log::warn!(
                    event = "announcement_refused", life:% = state.incarnation;
                    "ignoring an announcement that contradicts the earlier ones of the worker"
                );
                self.contradiction = Some(state);
                return;
            }
        }
        self.contradiction = None;
        if sequence > self.sequence && !state.draining {
            self.departure_announced = false;
        }
        // A worker does not take back that it drains, so a late announcement of that counts. It
        // would be missed for good if an odd sequence number had been taken over.
        let begins_to_drain = state.draining && !worker.draining;
        if (sequence > self.sequence || begins_to_drain) && *worker != state {
            self.worker = Some(state.clone());
            self.report(AgentMessage::State(state));
        }
        self.sequence = self.sequence.max(sequence);
    }

    fn begin_incarnation(&mut self, state: WorkerState, sequence: u64) {
        log::info!(
            event = "worker_found", life:% = state.incarnation;
            "the announced worker answered a poll; reporting it to the leader"
        );
        self.reset_incarnation();
        self.sequence = sequence;
        self.worker = Some(state.clone());
        self.report(AgentMessage::State(state));
    }

    /// Handles the result of a poll of the candidate: one that answers replaces the current
    /// incarnation.
    fn on_candidate_polled(&mut self, result: &PollResult) {
        let Some(Candidate { state, sequence }) = self.candidate.take() else { return };
        match result {
            PollResult::Answered(response) | PollResult::AnsweredInPart(response)
                if is_from_incarnation(response, &state.incarnation) =>
            {
                self.begin_incarnation(state, sequence);
            }
            PollResult::Failed | PollResult::NotListening => {
                self.candidate = Some(Candidate { state, sequence });
                self.next_poll_at = Instant::now() + POLL_RETRY_DELAY;
            }
            PollResult::Answered(_)
            | PollResult::AnsweredInPart(_)
            | PollResult::OtherIncarnation => {
                log::warn!(
                    event = "announcement_refused", life:% = state.incarnation;
                    "ignoring the announcement; a poll showed that another incarnation runs"
                );
            }
        }
    }

    fn reset_incarnation(&mut self) {
        self.lease_until_clock_ms = None;
        self.acknowledged_end = 0;
        self.listed_end = 0;
        self.reread_count = 0;
        self.clock = ClockCheck::default();
        self.orders = OrderTracker::default();
        self.contradiction = None;
        self.departure_announced = false;
        self.last_poll_failed = false;
    }

    fn poll_if_due(&mut self) {
        let Some(token) = self.token else { return };
        if self.poll_in_flight || Instant::now() < self.next_poll_at {
            return;
        }
        let candidate = self.candidate.as_ref().map(|candidate| &candidate.state.incarnation);
        let current = self.worker.as_ref().map(|worker| &worker.incarnation);
        // While neither answers, they are polled in turn.
        let polls_candidate =
            candidate.is_some() && (current.is_none() || !self.candidate_polled_last);
        let polled = if polls_candidate { candidate } else { current };
        let Some(incarnation) = polled.cloned() else { return };
        self.poll_in_flight = true;
        self.candidate_polled_last = polls_candidate;
        let mut call = PollCall {
            incarnation: incarnation.clone(),
            token,
            until_clock_ms: None,
            acknowledged_end: 0,
            wait_ms: DurationMs::ZERO,
        };
        let mut stopped = Vec::new();
        if !polls_candidate {
            call.until_clock_ms = self.lease_until_clock_ms;
            call.acknowledged_end = self.acknowledged_end;
            // A worker gets no work before its clock is known.
            if self.clock.has_accepted() {
                call.wait_ms = POLL_WAIT;
            }
            stopped = self.orders.confirmed_stops();
        }
        let (port, events) = (self.port.clone(), self.events.clone());
        tokio::spawn(async move {
            let result = port.poll(call).await;
            let _ = events.send(Event::Polled { incarnation, stopped, result }).await;
        });
    }

    fn on_polled(
        &mut self,
        incarnation: &WorkerIncarnation,
        stopped: Vec<RunId>,
        result: PollResult,
    ) {
        self.poll_in_flight = false;
        let is_candidate = |candidate: &Candidate| candidate.state.incarnation == *incarnation;
        if self.candidate.as_ref().is_some_and(is_candidate) {
            self.on_candidate_polled(&result);
            return;
        }
        if !self.is_current(incarnation) {
            return;
        }
        match result {
            PollResult::Answered(response) if is_from_incarnation(&response, incarnation) => {
                self.last_poll_failed = false;
                if self.accept_clock(&response) {
                    self.reread_count = 0;
                    self.on_response(incarnation, response, stopped);
                }
            }
            PollResult::AnsweredInPart(response) if is_from_incarnation(&response, incarnation) => {
                self.last_poll_failed = false;
                if self.accept_clock(&response) {
                    // The row stays listed, so the worker responds to the next poll at once.
                    self.next_poll_at = Instant::now() + UNACKNOWLEDGED_ENDS_DELAY;
                    if self.reread_count < MAX_REREAD_COUNT {
                        self.reread_count += 1;
                    } else {
                        self.on_response(incarnation, response, stopped);
                    }
                }
            }
            // The process has ended, as announced. A lack of a response would not show that.
            PollResult::OtherIncarnation | PollResult::NotListening if self.departure_announced => {
                self.end_incarnation();
            }
            PollResult::Answered(_)
            | PollResult::AnsweredInPart(_)
            | PollResult::OtherIncarnation
            | PollResult::NotListening
            | PollResult::Failed => {
                if !self.last_poll_failed {
                    log::warn!(
                        event = "worker_silent", life:% = incarnation;
                        "polling the worker failed; its runs are not reported until a poll succeeds"
                    );
                }
                self.last_poll_failed = true;
                self.next_poll_at = Instant::now() + POLL_RETRY_DELAY;
            }
        }
    }

    /// Returns `true` if the response's reading of the worker's clock counts. Leases are computed
    /// from it, and the leader discards later responses with a lower one.
    fn accept_clock(&mut self, response: &PollResponse) -> bool {
        let now = Instant::now();
        let is_first = self.clock.is_empty();
        let accepted = self.clock.accept(response.clock_ms, now);
        if !accepted && !is_first {
            log::warn!(
                event = "worker_clock_refused", clock_ms = response.clock_ms;
                "ignoring a response of the worker, whose clock does not fit the previous reading"
            );
            self.next_poll_at = now + POLL_RETRY_DELAY;
        }
        accepted
    }

    /// Reports the worker's response to the leader.
    fn on_response(
        &mut self,
        incarnation: &WorkerIncarnation,
        response: PollResponse,
        stopped: Vec<RunId>,
    ) {
        self.listed_end = response.ended.iter().map(|end| end.number).max().unwrap_or(0);
        if self.listed_end > self.acknowledged_end {
            self.next_poll_at = Instant::now() + UNACKNOWLEDGED_ENDS_DELAY;
        }
        // A stop that the leader cannot judge yet is reported with the next complete response.
        let stopped = if response.lists_all_ends { stopped } else { Vec::new() };
        let ended: Vec<RunId> = response.ended.iter().map(|end| end.run.clone()).collect();
        let observation = Observation {
            incarnation: incarnation.clone(),
            clock_ms: response.clock_ms,
            running: response.running,
            ended: response.ended,
            stopped: stopped.clone(),
            lists_all_ends: Some(response.lists_all_ends),
        };
        if self.report(AgentMessage::Observed(observation)) {
            self.orders.on_reported(&stopped, &ended);
        }
    }

    fn is_current(&self, incarnation: &WorkerIncarnation) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.incarnation == *incarnation)
    }

    /// Sends a report and returns `true` if it was queued. A lost report is made up for by those
    /// after the next attachment.
    fn report(&mut self, message: AgentMessage) -> bool {
        let Some(stream) = &self.stream else { return false };
        let sent = stream.send(&AgentFrame::Report(message));
        if !sent {
            log::warn!(
                event = "leader_lost", reason = "stream full or gone";
                "a report to the leader was lost; attaching again"
            );
            self.stream = None;
        }
        sent
    }
}

/// Sends a start until the worker answers it, up to [`MAX_START_CALL_COUNT`] times. Returns the
/// result and the number of calls.
///
/// No call begins from `begin_until` on: the leader may have promised since that nothing starts here.
/// The worker confirms a start whose run is there already, and refuses one whose run has ended or
/// was stopped, so that a call that is carried out late begins no second run.
async fn start_until_answered<Port>(
    port: &Port,
    call: StartCall,
    begin_until: Option<Instant>,
) -> (StartResult, u32)
where
    Port: WorkerPort,
{
    let is_late = || begin_until.is_some_and(|until| Instant::now() >= until);
    if is_late() {
        log::warn!(
            event = "start_expired", run:% = call.run;
            "the order to start a run arrived late and is not carried out"
        );
        return (StartResult::Refused, 0);
    }
    let mut call_count = 1;
    let mut result = port.start(call.clone()).await;
    while result == StartResult::Unknown && call_count < MAX_START_CALL_COUNT && !is_late() {
        call_count += 1;
        result = port.start(call.clone()).await;
    }
    (result, call_count)
}

/// Returns `true` unless the response names a start other than that of `incarnation`.
fn is_from_incarnation(response: &PollResponse, incarnation: &WorkerIncarnation) -> bool {
    response.started_at_unix_ms.is_none_or(|started| started == incarnation.started_at_unix_ms)
}

/// Returns `true` if both announcements describe the same worker; its drain state may differ.
fn is_same_worker(one: &WorkerState, other: &WorkerState) -> bool {
    one.service == other.service
        && one.data_centre == other.data_centre
        && one.capacity == other.capacity
        && one.labels == other.labels
}

async fn receive_frame(stream: &mut Option<AgentStream>) -> Option<LeaderFrame> {
    match stream {
        Some(stream) => stream.receive().await,
        None => std::future::pending().await,
    }
}

//! Task that subscribes to the leader and updates the view of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use yuccatack_core::prelude::*;

use super::connection::{Connection, ConnectionError};
use super::state::{NodeIdentity, SubscriberState};
use crate::clock::MonotonicClock;
use crate::limits::{REPORT_INTERVAL, STREAM_IDLE_TIMEOUT};
use crate::message::{NodeRole, Report};
use crate::state::{MinionStatus, View, ViewHandle};

/// Shortest pause between connection attempts.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Longest pause between connection attempts; a node must find a new leader well within its 3 s of
/// freshness.
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum number of leader hints followed without a pause. More in a row mean that replicas name
/// each other as the leader.
const MAX_CONSECUTIVE_HINTS: u32 = 3;

/// Identity of a node and the control replicas that it subscribes to.
#[derive(Clone, Debug)]
pub struct SubscriberConfig {
    /// Name of the node, which stays the same across restarts.
    pub node: NodeName,
    /// Distinguishes the process from earlier and later processes of the same node.
    pub incarnation: Incarnation,
    /// Role of the process, which decides whether it receives minions.
    pub role: NodeRole,
    /// Data centre that the node runs in.
    pub data_centre: DataCentreName,
    /// Addresses of all control replicas; without any, the node never gets a view.
    pub control_addresses: Vec<SocketAddr>,
}

/// Task that keeps the view of a node up to date.
#[derive(Debug)]
pub struct ViewSubscriber {
    control_addresses: Vec<SocketAddr>,
    state: SubscriberState,
    minion_status: watch::Receiver<Option<MinionStatus>>,
    minion_status_open: bool,
    last_reported_status: Option<MinionStatus>,
    view: watch::Sender<Arc<View>>,
    fresh_until: watch::Sender<Option<Instant>>,
    clock: MonotonicClock,
}

impl ViewSubscriber {
    /// Starts the task, which ends when all handles are dropped.
    ///
    /// `minion_status` is reported to the leader: a change in load with the next regular report,
    /// any other change immediately.
    pub fn spawn(
        config: SubscriberConfig,
        minion_status: watch::Receiver<Option<MinionStatus>>,
    ) -> ViewHandle {
        let (view, view_receiver) = watch::channel(Arc::default());
        let (fresh_until, fresh_receiver) = watch::channel(None);
        let identity = NodeIdentity {
            node: config.node,
            incarnation: config.incarnation,
            role: config.role,
            data_centre: config.data_centre,
        };
        let subscriber = Self {
            control_addresses: config.control_addresses,
            state: SubscriberState::new(identity),
            minion_status,
            minion_status_open: true,
            last_reported_status: None,
            view,
            fresh_until,
            clock: MonotonicClock::start(),
        };
        tokio::spawn(subscriber.run());
        ViewHandle::new(view_receiver, fresh_receiver)
    }

    async fn run(mut self) {
        if self.control_addresses.is_empty() {
            log::error!(
                event = "view_without_control";
                "node has no control address and gets no view; set control_addresses in its settings"
            );
            return;
        }
        // Each node starts at a random replica, so that not all nodes connect to the first one.
        let mut next_index = rand::random_range(0..self.control_addresses.len());
        let mut hint = None;
        let mut consecutive_hints = 0;
        let mut backoff = MIN_BACKOFF;
        while !self.view.is_closed() {
            let address = hint.take().unwrap_or(self.control_addresses[next_index]);
            let started = Instant::now();
            let error = self.run_stream(address).await;
            log::info!(event = "view_stream_ended"; "view stream from {address} ended: {error}");
            self.expire();
            if started.elapsed() > MAX_BACKOFF * 4 {
                backoff = MIN_BACKOFF;
                consecutive_hints = 0;
            }
            if let ConnectionError::NotLeader { leader: Some(leader) } = error
                && leader != address
                && consecutive_hints < MAX_CONSECUTIVE_HINTS
            {
                hint = Some(leader);
                consecutive_hints += 1;
                continue;
            }
            consecutive_hints = 0;
            next_index = (next_index + 1) % self.control_addresses.len();
            let pause = tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.5)));
            self.expire_during(pause).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Subscribes at `address` and applies the updates of the stream until it ends.
    async fn run_stream(&mut self, address: SocketAddr) -> ConnectionError {
        self.state.start_stream();
        let report = self.next_report();
        let opening = Connection::open(address, report);
        let mut connection = match self.expire_during(opening).await {
            Ok(connection) => connection,
            Err(error) => return error,
        };
        let interval = Duration::from(REPORT_INTERVAL);
        let mut next_report_at = tokio::time::Instant::now() + interval;
        let mut idle_deadline = tokio::time::Instant::now() + Duration::from(STREAM_IDLE_TIMEOUT);
        loop {
            let mut send_report = false;
            let expiry = self.expiry();
            tokio::select! {
                update = connection.next_update() => {
                    let update = match update {
                        Ok(update) => update,
                        Err(error) => return error,
                    };
                    idle_deadline =
                        tokio::time::Instant::now() + Duration::from(STREAM_IDLE_TIMEOUT);
                    match self.state.apply(update, self.clock.now()) {
                        Ok(report_due) => send_report = report_due,
                        Err(error) => return ConnectionError::Update { error },
                    }
                    self.publish();
                }
                changed = self.minion_status.changed(), if self.minion_status_open => match changed
                {
                    Ok(()) => send_report = self.routing_changed(),
                    // An entry has no minion, so its sender may have been dropped before the start.
                    Err(_) => self.minion_status_open = false,
                },
                () = tokio::time::sleep_until(next_report_at) => send_report = true,
                () = tokio::time::sleep_until(idle_deadline) => return ConnectionError::IdleTimeout,
                () = sleep_until_expiry(expiry) => {}
                () = self.view.closed() => return ConnectionError::Unused,
            }
            self.expire();
            if send_report {
                let report = self.next_report();
                connection.send(report);
                next_report_at = tokio::time::Instant::now() + interval;
            }
        }
    }

    fn next_report(&mut self) -> Report {
        let minion = self.minion_status.borrow_and_update().clone();
        self.last_reported_status.clone_from(&minion);
        self.state.next_report(minion, self.clock.now())
    }

    /// Returns `true` if anything but the load of the minion differs from the last report.
    fn routing_changed(&mut self) -> bool {
        let current = self.minion_status.borrow_and_update();
        match (&self.last_reported_status, &*current) {
            (Some(previous), Some(current)) => previous.routing_differs_from(current),
            (None, None) => false,
            _ => true,
        }
    }

    fn expire(&mut self) {
        if self.state.expire(self.clock.now()) {
            self.publish();
        }
    }

    fn publish(&self) {
        let view = self.state.view();
        self.view.send_if_modified(|published| {
            let modified = !Arc::ptr_eq(published, view);
            if modified {
                *published = Arc::clone(view);
            }
            modified
        });
        let fresh_until = self.state.fresh_until().map(|expiry| self.clock.instant(expiry));
        self.fresh_until.send_if_modified(|published| {
            let modified = *published != fresh_until;
            *published = fresh_until;
            modified
        });
    }

    fn expiry(&self) -> Option<Instant> {
        self.state.next_expiry().map(|expiry| self.clock.instant(expiry))
    }

    /// Waits for `future` and removes minions as soon as they expire meanwhile, because the view is
    /// not fresh while it contains an expired minion.
    async fn expire_during<Fut>(&mut self, future: Fut) -> Fut::Output
    where
        Fut: Future,
    {
        let mut future = std::pin::pin!(future);
        loop {
            tokio::select! {
                output = &mut future => return output,
                () = sleep_until_expiry(self.expiry()) => self.expire(),
            }
        }
    }
}

/// Waits until `expiry`, or forever if it is `None`.
async fn sleep_until_expiry(expiry: Option<Instant>) {
    match expiry {
        Some(expiry) => tokio::time::sleep_until(expiry.into()).await,
        None => std::future::pending().await,
    }
}

//! The task that keeps a node's view.

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

/// The shortest pause before a new attempt to connect.
const LEAST_BACKOFF: Duration = Duration::from_millis(20);
/// The longest pause; a node must find a new leader well within its 3 s of freshness.
const MOST_BACKOFF: Duration = Duration::from_millis(250);
/// Hints followed without a pause; more in a row mean that replicas point at each other.
const MAX_HINTS_IN_A_ROW: u32 = 3;

/// What a subscriber needs to know.
#[derive(Clone, Debug)]
pub struct SubscriberConfig {
    /// The node.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What it is.
    pub role: NodeRole,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// Every control replica.
    pub control_addresses: Vec<SocketAddr>,
}

/// Keeps a node's view up to date.
#[derive(Debug)]
pub struct ViewSubscriber {
    control_addresses: Vec<SocketAddr>,
    state: SubscriberState,
    reports: watch::Receiver<Option<MinionStatus>>,
    reports_open: bool,
    last_reported: Option<MinionStatus>,
    view: watch::Sender<Arc<View>>,
    fresh_until: watch::Sender<Option<Instant>>,
    clock: MonotonicClock,
}

impl ViewSubscriber {
    /// Starts the task; it ends when every handle is gone.
    ///
    /// A change of state in `reports` is sent at once, a change in load with the next report.
    pub fn spawn(
        config: SubscriberConfig,
        reports: watch::Receiver<Option<MinionStatus>>,
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
            reports,
            reports_open: true,
            last_reported: None,
            view,
            fresh_until,
            clock: MonotonicClock::start(),
        };
        tokio::spawn(subscriber.run());
        ViewHandle::new(view_receiver, fresh_receiver)
    }

    async fn run(mut self) {
        if self.control_addresses.is_empty() {
            log::error!(event = "view_without_control"; "no control address; set one in the settings");
            return;
        }
        // Nodes start at different replicas, so that not all of them try the first one.
        let mut next = rand::random_range(0..self.control_addresses.len());
        let mut hint = None;
        let mut hints_in_a_row = 0;
        let mut backoff = LEAST_BACKOFF;
        while !self.view.is_closed() {
            let address = hint.take().unwrap_or(self.control_addresses[next]);
            let started = Instant::now();
            let error = self.follow(address).await;
            log::info!(event = "view_stream_ended"; "view stream from {address} ended: {error}");
            self.expire();
            if started.elapsed() > MOST_BACKOFF * 4 {
                backoff = LEAST_BACKOFF;
                hints_in_a_row = 0;
            }
            if let ConnectionError::NotLeader { leader: Some(leader) } = error
                && leader != address
                && hints_in_a_row < MAX_HINTS_IN_A_ROW
            {
                hint = Some(leader);
                hints_in_a_row += 1;
                continue;
            }
            hints_in_a_row = 0;
            next = (next + 1) % self.control_addresses.len();
            let pause = tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.5)));
            self.expire_during(pause).await;
            backoff = (backoff * 2).min(MOST_BACKOFF);
        }
    }

    /// Follows one stream until it ends.
    async fn follow(&mut self, address: SocketAddr) -> ConnectionError {
        self.state.start_stream();
        let report = self.next_report();
        let opening = Connection::open(address, report);
        let mut connection = match self.expire_during(opening).await {
            Ok(connection) => connection,
            Err(error) => return error,
        };
        let interval = Duration::from(REPORT_INTERVAL);
        let mut report_at = tokio::time::Instant::now() + interval;
        let mut silent_at = tokio::time::Instant::now() + Duration::from(STREAM_IDLE_TIMEOUT);
        loop {
            let mut report_now = false;
            let expiry = self.expiry();
            tokio::select! {
                update = connection.next_update() => {
                    let update = match update {
                        Ok(update) => update,
                        Err(error) => return error,
                    };
                    silent_at = tokio::time::Instant::now() + Duration::from(STREAM_IDLE_TIMEOUT);
                    match self.state.apply(update, self.clock.now()) {
                        Ok(report_due) => report_now = report_due,
                        Err(error) => return ConnectionError::Update { error },
                    }
                    self.publish();
                }
                changed = self.reports.changed(), if self.reports_open => match changed {
                    Ok(()) => report_now = self.route_changed(),
                    // An entry has no minion, and its sender may be gone from the start.
                    Err(_) => self.reports_open = false,
                },
                () = tokio::time::sleep_until(report_at) => report_now = true,
                () = tokio::time::sleep_until(silent_at) => return ConnectionError::Silent,
                () = sleep_until_expiry(expiry) => {}
                () = self.view.closed() => return ConnectionError::Unused,
            }
            self.expire();
            if report_now {
                let report = self.next_report();
                connection.send(report);
                report_at = tokio::time::Instant::now() + interval;
            }
        }
    }

    fn next_report(&mut self) -> Report {
        let minion = self.reports.borrow_and_update().clone();
        self.last_reported.clone_from(&minion);
        self.state.next_report(minion, self.clock.now())
    }

    /// Whether anything but the load of the minion differs from the last report.
    fn route_changed(&mut self) -> bool {
        let current = self.reports.borrow_and_update();
        match (&self.last_reported, &*current) {
            (Some(earlier), Some(later)) => earlier.routing_differs_from(later),
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
        let fresh_until = self.state.fresh_until().map(|limit| self.clock.instant(limit));
        self.fresh_until.send_if_modified(|published| {
            let modified = *published != fresh_until;
            *published = fresh_until;
            modified
        });
    }

    fn expiry(&self) -> Option<Instant> {
        self.state.next_expiry().map(|expiry| self.clock.instant(expiry))
    }

    /// Waits for `future`. One minion whose time runs out meanwhile is dropped at once, as the view
    /// is not fresh while it holds such a minion.
    async fn expire_during<Waiting>(&mut self, future: Waiting) -> Waiting::Output
    where
        Waiting: Future,
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

/// Waits until `expiry`, or for ever when nothing expires.
async fn sleep_until_expiry(expiry: Option<Instant>) {
    match expiry {
        Some(expiry) => tokio::time::sleep_until(expiry.into()).await,
        None => std::future::pending().await,
    }
}

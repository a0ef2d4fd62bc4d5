//! Read-only view of a node and its freshness.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use yuccatack_core::prelude::*;
use yuccatack_records::{Record, RecordKey};

/// Decoded record in the view.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordEntry {
    /// Version of the record.
    pub generation: Generation,
    /// Revision of the change that created this version.
    pub revision: Revision,
    /// Decoded document of the record.
    pub record: Record,
}

/// Availability of a minion for new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MinionState {
    /// Accepts new work.
    Ready,
    /// Completes the work that it has and accepts no new work.
    Leaving,
    /// Cannot be reached by its agent.
    Unhealthy,
}

/// Status of a minion as reported by its agent.
#[derive(Clone, Debug, PartialEq)]
pub struct MinionStatus {
    /// Name of the minion.
    pub minion: MinionName,
    /// Service whose requests the minion serves.
    pub service: ServiceName,
    /// Address at which the agent accepts attempts.
    pub agent_address: SocketAddr,
    /// Availability for new work.
    pub state: MinionState,
    /// Number of requests that the minion can run at the same time.
    pub slot_count: u32,
    /// Number of requests that the minion is running.
    pub slots_in_use: u32,
    /// Number of requests that wait at the agent. Agents refuse requests without a free slot instead
    /// of queueing them, so they report 0.
    pub queued_count: u32,
    /// Moving average of the response times, in microseconds.
    pub latency_us: u64,
}

impl MinionStatus {
    /// Returns `true` if anything but the load differs.
    pub fn routing_differs_from(&self, other: &Self) -> bool {
        self.state != other.state
            || self.minion != other.minion
            || self.service != other.service
            || self.agent_address != other.agent_address
            || self.slot_count != other.slot_count
    }
}

/// Minion in the view.
#[derive(Clone, Debug, PartialEq)]
pub struct MinionEntry {
    /// Node that the agent of the minion runs on.
    pub node: NodeName,
    /// Incarnation of the agent that reported the status.
    pub incarnation: Incarnation,
    /// Data centre that the minion runs in.
    pub data_centre: DataCentreName,
    /// Newest status that the agent reported; its load is a hint and may be outdated.
    pub status: MinionStatus,
}

/// Records and minions at one revision.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Revision of the newest change in this view.
    pub revision: Revision,
    /// Published records; jobs are not published.
    pub records: BTreeMap<RecordKey, Arc<RecordEntry>>,
    /// Minions by the node of their agent; empty at agents, which route nothing.
    pub minions: BTreeMap<NodeName, Arc<MinionEntry>>,
}

/// Gives the tasks of a node access to the current view and its freshness.
#[derive(Clone, Debug)]
pub struct ViewHandle {
    view: watch::Receiver<Arc<View>>,
    fresh_until: watch::Receiver<Option<Instant>>,
}

impl ViewHandle {
    /// Creates a handle for the channels of the task that updates the view.
    pub fn new(
        view: watch::Receiver<Arc<View>>,
        fresh_until: watch::Receiver<Option<Instant>>,
    ) -> Self {
        Self { view, fresh_until }
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Returns `true` if new work may start at `now`: the leader has recently confirmed the
    /// revision of the view and has a recent proof of liveness of each minion in the view.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until.borrow().is_some_and(|expiry| now < expiry)
    }

    /// Returns the age of the confirmation of the view; `None` before the first confirmation.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed_until = (*self.fresh_until.borrow())?;
        let freshness = Duration::from(crate::limits::FRESHNESS_DURATION);
        Some(freshness.saturating_sub(confirmed_until.saturating_duration_since(now)))
    }

    /// Waits until the view has changed. An error means that the subscriber task has stopped.
    pub async fn changed(&mut self) -> Result<(), watch::error::RecvError> {
        self.view.changed().await
    }
}

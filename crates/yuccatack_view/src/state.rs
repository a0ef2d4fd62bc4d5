//! The read view of a node and its freshness.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use yuccatack_core::prelude::*;
use yuccatack_records::{Record, RecordKey};

/// A record in the view.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordEntry {
    /// The version of the record.
    pub generation: Generation,
    /// The change that brought this version.
    pub revision: Revision,
    /// The content.
    pub record: Record,
}

/// Whether a minion takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MinionState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// Its agent cannot reach it.
    Unhealthy,
}

/// What an agent says of its minion.
#[derive(Clone, Debug, PartialEq)]
pub struct MinionStatus {
    /// The minion.
    pub minion: MinionName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where the agent accepts attempts.
    pub agent_address: SocketAddr,
    /// Whether it takes new work.
    pub state: MinionState,
    /// The requests that it runs at once.
    pub slot_count: u32,
    /// The requests that it runs now.
    pub slots_in_use: u32,
    /// The requests that wait at the agent.
    pub queued_count: u32,
    /// A moving average of its answer times.
    pub latency_us: u64,
}

impl MinionStatus {
    /// Whether anything but the load differs.
    pub fn routing_differs_from(&self, other: &Self) -> bool {
        self.state != other.state
            || self.minion != other.minion
            || self.service != other.service
            || self.agent_address != other.agent_address
            || self.slot_count != other.slot_count
    }
}

/// A minion in the view.
#[derive(Clone, Debug, PartialEq)]
pub struct MinionEntry {
    /// The agent's node.
    pub node: NodeName,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Where the minion runs.
    pub data_centre: DataCentreName,
    /// What the agent said last; loads are hints and may be old.
    pub status: MinionStatus,
}

/// Records and minions at one revision.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The newest change that this view holds.
    pub revision: Revision,
    /// The records in force.
    pub records: BTreeMap<RecordKey, Arc<RecordEntry>>,
    /// The minions by the node of their agent; empty at agents, which route nothing.
    pub minions: BTreeMap<NodeName, Arc<MinionEntry>>,
}

/// Gives a node's tasks the current view and tells whether it is fresh.
#[derive(Clone, Debug)]
pub struct ViewHandle {
    view: watch::Receiver<Arc<View>>,
    fresh_until: watch::Receiver<Option<Instant>>,
}

impl ViewHandle {
    /// Connects a handle to the task that keeps the view.
    pub fn new(
        view: watch::Receiver<Arc<View>>,
        fresh_until: watch::Receiver<Option<Instant>>,
    ) -> Self {
        Self { view, fresh_until }
    }

    /// The current view.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Whether new work may start at `now`: the leader confirmed the view's revision recently, and
    /// it heard recently of every minion in the view.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until.borrow().is_some_and(|limit| now < limit)
    }

    /// How old the confirmation of the view is; `None` before the first one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed_until = (*self.fresh_until.borrow())?;
        let freshness = Duration::from(crate::limits::FRESHNESS_DURATION);
        Some(freshness.saturating_sub(confirmed_until.saturating_duration_since(now)))
    }

    /// Waits until the view has changed; an error means that its keeper has stopped.
    pub async fn changed(&mut self) -> Result<(), watch::error::RecvError> {
        self.view.changed().await
    }
}

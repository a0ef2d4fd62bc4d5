//! Limits that all servers of a process share.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, timeout};

use crate::budget::{Budget, Reservation};
use crate::connection::Connection;
use crate::limits::ProcessLimits;
use crate::metrics::{HttpMetrics, Refusal};
use crate::registry::{Registry, RegistryMessage};
use crate::victims::{Phase, Room};

/// Number of messages that wait for the registry.
const MESSAGE_QUEUE_LENGTH: usize = 256;

/// Time for which a request waits for room before it is refused.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a waiting request asks again, since connections become stalled meanwhile.
const ROOM_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Bounds the memory and the connections of all HTTP servers of a process. Clones share the bounds.
#[derive(Clone, Debug)]
pub struct Guard {
    budget: Budget,
    connections: Arc<Semaphore>,
    registry: mpsc::Sender<RegistryMessage>,
    metrics: HttpMetrics,
}

impl Guard {
    /// Creates a guard and starts its task, which ends with the last clone of the guard.
    pub fn spawn(limits: ProcessLimits, metrics: HttpMetrics) -> Self {
        let (registry, messages) = mpsc::channel(MESSAGE_QUEUE_LENGTH);
        let budget = Budget::new(limits.budget_bytes);
        let task = Registry::new(messages, limits, budget.clone(), metrics.clone());
        tokio::spawn(task.run());
        let connections = Arc::new(Semaphore::new(limits.connection_count));
        Self { budget, connections, registry, metrics }
    }

    pub(crate) fn count(&self, refusal: Refusal) {
        self.metrics.count(refusal);
    }

    /// Returns a permit for one more connection, or `None` if none of the open ones can be closed.
    pub(crate) async fn admit_connection(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.connections).try_acquire_owned() {
            return Some(permit);
        }
        let deadline = Instant::now() + ROOM_TIMEOUT;
        while Instant::now() < deadline {
            self.registry.send(RegistryMessage::NeedsRoom(Room::Connection)).await.ok()?;
            let freed = Arc::clone(&self.connections).acquire_owned();
            if let Ok(permit) = timeout(ROOM_RETRY_INTERVAL, freed).await {
                return permit.ok();
            }
        }
        self.count(Refusal::NoConnection);
        None
    }

    pub(crate) async fn register(&self, connection: &Arc<Connection>) {
        // Sending fails only if the runtime shuts down.
        let _ = self.registry.send(RegistryMessage::Opened(Arc::downgrade(connection))).await;
    }

    /// Reserves memory for `connection`; if there is none, stalled connections are closed first.
    pub(crate) async fn reserve(
        &self,
        length_bytes: usize,
        connection: &Arc<Connection>,
    ) -> Result<Reservation, Refusal> {
        let blocks = self.budget.blocks(length_bytes);
        if let Some(reservation) = self.budget.try_reserve(blocks, connection) {
            return Ok(reservation);
        }
        let phase = connection.phase();
        // A request that waits for room is not stalled.
        connection.enter(Phase::Handling);
        let result = self.reserve_by_closing(blocks, connection).await;
        connection.enter(phase);
        result
    }

    async fn reserve_by_closing(
        &self,
        blocks: usize,
        connection: &Arc<Connection>,
    ) -> Result<Reservation, Refusal> {
        let waiting = self.budget.reserve(blocks, connection);
        tokio::pin!(waiting);
        let deadline = Instant::now() + ROOM_TIMEOUT;
        while Instant::now() < deadline {
            let message = RegistryMessage::NeedsRoom(Room::Blocks(blocks));
            self.registry.send(message).await.map_err(|_| Refusal::NoMemory)?;
            if let Ok(reservation) = timeout(ROOM_RETRY_INTERVAL, &mut waiting).await {
                return reservation.ok_or(Refusal::NoMemory);
            }
        }
        Err(Refusal::NoMemory)
    }
}

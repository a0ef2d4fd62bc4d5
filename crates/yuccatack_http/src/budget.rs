//! Budget for the memory of requests and responses.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::connection::Connection;
use crate::limits::{BLOCK_BYTES, SMALL_BODY_BYTES};

/// Part of the budget that only small reservations may use, so that large bodies cannot shut out
/// ordinary requests.
const SMALL_SHARE: usize = 4;

/// Memory that requests may use, in blocks of [`BLOCK_BYTES`].
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
    block_count: usize,
    large_block_count: usize,
}

impl Budget {
    pub fn new(budget_bytes: usize) -> Self {
        let block_count = (budget_bytes / BLOCK_BYTES).clamp(SMALL_SHARE, u32::MAX as usize);
        let small_block_count = block_count / SMALL_SHARE;
        let large_block_count = block_count - small_block_count;
        Self {
            small: Arc::new(Semaphore::new(small_block_count)),
            large: Arc::new(Semaphore::new(large_block_count)),
            block_count,
            large_block_count,
        }
    }

    /// Returns the number of blocks for `length_bytes`. A single request may need more than there
    /// is; it then takes the whole budget for large bodies and is handled alone.
    pub fn blocks(&self, length_bytes: usize) -> usize {
        length_bytes.div_ceil(BLOCK_BYTES).min(self.large_block_count)
    }

    pub fn try_reserve(&self, blocks: usize, connection: &Arc<Connection>) -> Option<Reservation> {
        let count = u32::try_from(blocks).ok()?;
        let is_small = blocks * BLOCK_BYTES <= SMALL_BODY_BYTES;
        let from_small = if is_small {
            Arc::clone(&self.small).try_acquire_many_owned(count).ok()
        } else {
            None
        };
        let permit =
            from_small.or_else(|| Arc::clone(&self.large).try_acquire_many_owned(count).ok())?;
        Some(Reservation::new(permit, connection))
    }

    /// Waits for `blocks` in the order of the requests.
    pub async fn reserve(
        &self,
        blocks: usize,
        connection: &Arc<Connection>,
    ) -> Option<Reservation> {
        let count = u32::try_from(blocks).ok()?;
        let is_small = blocks * BLOCK_BYTES <= SMALL_BODY_BYTES;
        let pool = if is_small { &self.small } else { &self.large };
        let permit = Arc::clone(pool).acquire_many_owned(count).await.ok()?;
        Some(Reservation::new(permit, connection))
    }

    pub fn reserved_bytes(&self) -> usize {
        let free = self.small.available_permits() + self.large.available_permits();
        self.block_count.saturating_sub(free) * BLOCK_BYTES
    }
}

/// Part of the budget; released when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    permit: OwnedSemaphorePermit,
    connection: Arc<Connection>,
}

impl Reservation {
    fn new(permit: OwnedSemaphorePermit, connection: &Arc<Connection>) -> Self {
        connection.add_reserved(permit.num_permits());
        Self { permit, connection: Arc::clone(connection) }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.connection.remove_reserved(self.permit.num_permits());
    }
}

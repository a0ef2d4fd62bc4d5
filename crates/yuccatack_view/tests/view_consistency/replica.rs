//! Simulated control replica with its publisher and read indexes.

use std::net::{Ipv4Addr, SocketAddr};

use yuccatack_core::prelude::*;
use yuccatack_view::PublisherState;

/// Read index that waits for the quorum.
pub struct ReadIndex {
    pub started_at: u64,
    /// Time at which the quorum checks the leadership.
    pub decided_at: u64,
    pub completed_at: u64,
    /// Number of committed changes at the decision: the outer `None` before the decision, the inner
    /// `None` if this replica was not the leader.
    pub committed: Option<Option<usize>>,
}

pub struct Replica {
    pub state: PublisherState,
    pub is_leader: bool,
    /// Number of committed changes that this replica has published.
    pub published: usize,
    pub suspended_until: u64,
    pub partitioned_until: u64,
    pub leadership_known_at: u64,
    pub read_indexes: Vec<ReadIndex>,
    pub next_read_index_at: u64,
}

impl Replica {
    pub fn new() -> Self {
        Self {
            state: PublisherState::default(),
            is_leader: false,
            published: 0,
            suspended_until: 0,
            partitioned_until: 0,
            leadership_known_at: 0,
            read_indexes: Vec::new(),
            next_read_index_at: 0,
        }
    }

    pub fn is_running(&self, now: u64) -> bool {
        now >= self.suspended_until
    }

    pub fn is_reachable(&self, now: u64) -> bool {
        self.is_running(now) && now >= self.partitioned_until
    }

    /// Confirms the leadership through the newest completed read index.
    pub fn confirm(&mut self, now: u64) {
        let published = self.published;
        let mut confirmed_at = None;
        self.read_indexes.retain(|read| {
            if now < read.completed_at {
                return true;
            }
            match read.committed {
                Some(Some(committed)) if committed <= published => {
                    confirmed_at = confirmed_at.max(Some(read.started_at));
                    false
                }
                // A change up to the read index is not yet published here.
                Some(Some(_)) => true,
                Some(None) | None => false,
            }
        });
        if let Some(confirmed_at) = confirmed_at
            && self.is_leader
        {
            self.state.confirm_leadership(TimestampMs::new(confirmed_at));
        }
    }
}

pub fn address(replica: usize) -> SocketAddr {
    let port = u16::try_from(7_000 + replica).unwrap();
    (Ipv4Addr::LOCALHOST, port).into()
}

pub fn replica_index(address: SocketAddr) -> usize {
    usize::from(address.port()) - 7_000
}

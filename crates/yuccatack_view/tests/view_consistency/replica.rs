//! A control replica with its publisher and its read indexes.

use std::net::{Ipv4Addr, SocketAddr};

use yuccatack_core::prelude::*;
use yuccatack_view::PublisherState;

/// A read index on its way.
pub struct ReadIndex {
    pub started_at: u64,
    /// When the quorum looks at who leads.
    pub decided_at: u64,
    pub completed_at: u64,
    /// The committed changes at the decision, if this replica led then.
    pub committed: Option<Option<usize>>,
}

pub struct Replica {
    pub state: PublisherState,
    pub leads: bool,
    /// The committed changes that were published here.
    pub published: usize,
    pub suspended_until: u64,
    pub partitioned_until: u64,
    pub learns_at: u64,
    pub read_indexes: Vec<ReadIndex>,
    pub next_read_index_at: u64,
}

impl Replica {
    pub fn new() -> Self {
        Self {
            state: PublisherState::default(),
            leads: false,
            published: 0,
            suspended_until: 0,
            partitioned_until: 0,
            learns_at: 0,
            read_indexes: Vec::new(),
            next_read_index_at: 0,
        }
    }

    pub fn runs(&self, now: u64) -> bool {
        now >= self.suspended_until
    }

    pub fn reachable(&self, now: u64) -> bool {
        self.runs(now) && now >= self.partitioned_until
    }

    /// Applies the read indexes that are complete.
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
                // The change that the read index names is not published here yet.
                Some(Some(_)) => true,
                Some(None) | None => false,
            }
        });
        if let Some(confirmed_at) = confirmed_at
            && self.leads
        {
            self.state.confirm_leadership(TimestampMs::new(confirmed_at));
        }
    }
}

pub fn address(replica: usize) -> SocketAddr {
    let port = u16::try_from(7_000 + replica).unwrap();
    (Ipv4Addr::LOCALHOST, port).into()
}

pub fn replica_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 7_000
}

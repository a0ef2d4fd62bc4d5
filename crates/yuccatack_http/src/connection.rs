//! Shared state of one connection.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::limits::ServerLimits;
use crate::victims::{Candidate, Phase};

/// State that the tasks of a connection write and the registry reads.
#[derive(Debug)]
pub(crate) struct Connection {
    pub address: IpAddr,
    pub limits: ServerLimits,
    started_at: Instant,
    phase: AtomicU8,
    phase_began_ms: AtomicU64,
    progress_ms: AtomicU64,
    reserved_blocks: AtomicUsize,
    is_closing: AtomicBool,
    /// `true` once a request was refused for lack of room, which a later attempt may find.
    may_retry: AtomicBool,
    close: Notify,
}

impl Connection {
    pub fn new(address: IpAddr, limits: ServerLimits) -> Arc<Self> {
        Arc::new(Self {
            address,
            limits,
            started_at: Instant::now(),
            phase: AtomicU8::new(Phase::Idle as u8),
            phase_began_ms: AtomicU64::new(0),
            progress_ms: AtomicU64::new(0),
            reserved_blocks: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
            may_retry: AtomicBool::new(false),
            close: Notify::new(),
        })
    }

    fn age_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Relaxed) {
            0 => Phase::Idle,
            1 => Phase::Head,
            2 => Phase::Body,
            3 => Phase::Handling,
            _ => Phase::Response,
        }
    }

    pub fn enter(&self, phase: Phase) {
        let now_ms = self.age_ms();
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.phase_began_ms.store(now_ms, Ordering::Relaxed);
        self.progress_ms.store(now_ms, Ordering::Relaxed);
    }

    pub fn note_progress(&self) {
        self.progress_ms.store(self.age_ms(), Ordering::Relaxed);
    }

    pub fn add_reserved(&self, blocks: usize) {
        self.reserved_blocks.fetch_add(blocks, Ordering::Relaxed);
    }

    pub fn remove_reserved(&self, blocks: usize) {
        self.reserved_blocks.fetch_sub(blocks, Ordering::Relaxed);
    }

    pub fn candidate(&self) -> Candidate {
        let now_ms = self.age_ms();
        Candidate {
            phase: self.phase(),
            phase_age_ms: now_ms.saturating_sub(self.phase_began_ms.load(Ordering::Relaxed)),
            stalled_ms: now_ms.saturating_sub(self.progress_ms.load(Ordering::Relaxed)),
            reserved_blocks: self.reserved_blocks.load(Ordering::Relaxed),
        }
    }

    /// Notes that the current request was refused for lack of room.
    pub fn set_may_retry(&self) {
        self.may_retry.store(true, Ordering::Relaxed);
    }

    /// Returns whether the current request was refused for lack of room, and resets that.
    pub fn take_may_retry(&self) -> bool {
        self.may_retry.swap(false, Ordering::Relaxed)
    }

    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Makes the task of the connection drop it.
    pub fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
        self.close.notify_one();
    }

    pub async fn closed(&self) {
        self.close.notified().await;
    }
}

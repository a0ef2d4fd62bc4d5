//! Graceful shutdown of a process.
//!
//! The first termination signal starts draining; a second one, or the drain limit, aborts what is
//! still in flight.

use std::io;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Progress of the shutdown of a process; phases only advance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// No shutdown has been requested.
    Running,
    /// The process accepts no new work and completes the work in flight.
    Draining,
    /// The process terminates immediately and reports the work that it leaves unfinished.
    Aborting,
}

/// Sending half of [`shutdown_channel`], which starts and escalates a shutdown.
#[derive(Clone, Debug)]
pub struct ShutdownTrigger {
    sender: watch::Sender<ShutdownPhase>,
}

/// Receiving half of [`shutdown_channel`], through which a task observes the shutdown phase.
#[derive(Clone, Debug)]
pub struct Shutdown {
    receiver: watch::Receiver<ShutdownPhase>,
}

/// Creates a connected trigger and observer in the phase [`ShutdownPhase::Running`].
pub fn shutdown_channel() -> (ShutdownTrigger, Shutdown) {
    let (sender, receiver) = watch::channel(ShutdownPhase::Running);
    (ShutdownTrigger { sender }, Shutdown { receiver })
}

impl ShutdownTrigger {
    /// Advances the shutdown to `phase`; has no effect if it has reached that phase or a later one.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.sender.send_if_modified(|current| {
            let advanced = phase > *current;
            if advanced {
                *current = phase;
            }
            advanced
        });
    }

    /// Starts draining on the first SIGTERM or SIGINT; aborts on the second or after `drain_limit`.
    ///
    /// Returns when the phase is [`ShutdownPhase::Aborting`], or with an error if a signal handler
    /// cannot be installed.
    pub async fn handle_signals(self, drain_limit: Duration) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!(
            event = "shutdown_started";
            "draining for at most {} ms; a second signal aborts the work in flight",
            drain_limit.as_millis()
        );
        self.advance(ShutdownPhase::Draining);
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = tokio::time::sleep(drain_limit) => {}
        }
        self.advance(ShutdownPhase::Aborting);
        Ok(())
    }
}

impl Shutdown {
    /// Returns the current phase.
    pub fn phase(&self) -> ShutdownPhase {
        *self.receiver.borrow()
    }

    /// Waits until `phase` or a later phase is reached, or until all triggers have been dropped.
    pub async fn wait_for(&mut self, phase: ShutdownPhase) {
        // An error means that all triggers were dropped, after which the phase cannot change.
        let _ = self.receiver.wait_for(|current| *current >= phase).await;
    }
}

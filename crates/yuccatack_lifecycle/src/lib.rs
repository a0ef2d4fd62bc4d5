//! Graceful shutdown of a process: one signal drains it, a second one or the drain limit ends it.

use std::io;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// How far the shutdown of a process has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// The process works normally.
    Running,
    /// The process accepts nothing new and finishes what is in flight.
    Draining,
    /// The process ends now and reports what it leaves unfinished.
    Aborting,
}

/// Starts and escalates a shutdown.
#[derive(Clone, Debug)]
pub struct ShutdownTrigger {
    sender: watch::Sender<ShutdownPhase>,
}

/// Tells a task how far the shutdown has come.
#[derive(Clone, Debug)]
pub struct Shutdown {
    receiver: watch::Receiver<ShutdownPhase>,
}

/// Makes a connected pair.
pub fn shutdown_channel() -> (ShutdownTrigger, Shutdown) {
    let (sender, receiver) = watch::channel(ShutdownPhase::Running);
    (ShutdownTrigger { sender }, Shutdown { receiver })
}

impl ShutdownTrigger {
    /// Moves the shutdown forward to `phase`; it never goes back.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.sender.send_if_modified(|current| {
            let advanced = phase > *current;
            if advanced {
                *current = phase;
            }
            advanced
        });
    }

    /// Drains on the first SIGTERM or SIGINT; aborts on the second or after `drain_limit`.
    ///
    /// Returns once the phase is [`ShutdownPhase::Aborting`].
    pub async fn handle_signals(self, drain_limit: Duration) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!(event = "shutdown_started"; "draining; a second signal ends the process at once");
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
    /// The current phase.
    pub fn phase(&self) -> ShutdownPhase {
        *self.receiver.borrow()
    }

    /// Waits until the phase is `phase` or a later one, or until the trigger is gone.
    pub async fn wait_for(&mut self, phase: ShutdownPhase) {
        // An error means that the trigger was dropped, after which no phase can follow.
        let _ = self.receiver.wait_for(|current| *current >= phase).await;
    }
}

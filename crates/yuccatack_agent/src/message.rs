//! Messages to the task that owns the attempts.

use std::time::Duration;

use tokio::sync::oneshot;
use yuccatack_core::prelude::*;
use yuccatack_requests::attempts::Resolution;
use yuccatack_requests::prelude::*;

use crate::connection::MinionConnection;

/// Messages to the agent's actor.
#[derive(Debug)]
pub enum AgentMessage {
    /// A whole attempt arrived.
    Start {
        /// Its addressing.
        head: AttemptHead,
        /// The request.
        content: RequestContent,
        /// Told once the attempt has ended or is refused.
        reply: oneshot::Sender<Resolution>,
    },
    /// An entry asks what became of an attempt.
    Resolve {
        /// The attempt.
        attempt: AttemptId,
        /// The incarnation that it was addressed to.
        incarnation: Incarnation,
        /// Who asks.
        organisation: OrganisationName,
        /// How long the reply may be held back while the attempt runs.
        wait: Duration,
        /// Told at once, or when the attempt ends.
        reply: oneshot::Sender<Resolution>,
    },
    /// An exchange with the minion has ended.
    ExchangeEnded {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        outcome: Outcome,
        /// How long it took.
        duration: Duration,
        /// The connection, if another exchange may use it.
        connection: Option<MinionConnection>,
    },
    /// A health probe has ended.
    Probed {
        /// Whether the minion accepted a connection.
        reachable: bool,
    },
    /// Tell which attempts run.
    ListRunning {
        /// Where the list goes.
        reply: oneshot::Sender<Vec<AttemptId>>,
    },
    /// Take no new attempts from now on.
    Leave {
        /// Told once no further attempt can start.
        left: oneshot::Sender<()>,
    },
}

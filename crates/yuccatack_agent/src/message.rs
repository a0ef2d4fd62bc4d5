//! Messages to the agent's actor.

use std::time::Duration;

use tokio::sync::oneshot;
use yuccatack_core::prelude::*;
use yuccatack_requests::attempts::Resolution;
use yuccatack_requests::prelude::*;

use crate::connection::MinionConnection;

/// A call of an entry, the end of a task of the agent, or a step of the shutdown.
#[derive(Debug)]
pub enum AgentMessage {
    /// Starts an attempt that was received completely.
    Start {
        /// Attempt id, target incarnation and remaining deadline.
        head: AttemptHead,
        /// Request to send to the minion.
        content: RequestContent,
        /// Receives the resolution once the attempt has ended or was refused.
        reply: oneshot::Sender<Resolution>,
    },
    /// Requests the resolution of an attempt.
    Resolve {
        /// Attempt to look up.
        attempt: AttemptId,
        /// Incarnation of the agent that the attempt was addressed to.
        incarnation: Incarnation,
        /// Organisation on whose behalf the entry calls.
        organisation: OrganisationName,
        /// Time for which the entry waits while the attempt runs; zero requests an immediate reply.
        wait: Duration,
        /// Receives the resolution immediately, or when the attempt ends.
        reply: oneshot::Sender<Resolution>,
    },
    /// Reports the end of an exchange with the minion.
    ExchangeEnded {
        /// Attempt that the exchange belonged to.
        attempt: AttemptId,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Duration of the exchange, including the time to connect.
        duration: Duration,
        /// Connection, if another exchange can use it.
        connection: Option<MinionConnection>,
    },
    /// Reports the result of a health probe.
    Probed {
        /// `true` if the minion accepted a connection.
        reachable: bool,
    },
    /// Requests the attempts that are running.
    ListRunning {
        /// Receives the ids of the running attempts.
        reply: oneshot::Sender<Vec<AttemptId>>,
    },
    /// Stops the start of new attempts.
    StartDraining {
        /// Notified once no further attempt can start.
        started: oneshot::Sender<()>,
    },
}

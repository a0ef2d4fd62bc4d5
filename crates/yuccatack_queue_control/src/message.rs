//! What the control actor is told.

use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};
use yuccatack_core::NodeName;
use yuccatack_dispatch::AgentMessage;
use yuccatack_queue_client::protocol::{LeaderFrame, Request, Response};
use yuccatack_replication::{Committed, ReplicaId};

/// Numbers the streams of agents within one process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct StreamId(pub u64);

#[derive(Debug)]
pub(crate) enum ControlMessage {
    Committed(Committed),
    Call {
        request: Request,
        reply: oneshot::Sender<Response>,
    },
    AgentConnected {
        stream: StreamId,
        node: NodeName,
        frames: mpsc::Sender<LeaderFrame>,
    },
    AgentReport {
        stream: StreamId,
        node: NodeName,
        message: AgentMessage,
    },
    AgentGone {
        stream: StreamId,
        node: NodeName,
    },
    /// Decides on everything that was in the mailbox before it.
    Schedule,
    Tick,
    /// Answers when no call waits any more, after which the process may end.
    Drain {
        reply: oneshot::Sender<()>,
    },
}

/// A replica that asks to become a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JoinRequest {
    pub replica: ReplicaId,
    pub address: SocketAddr,
}

impl From<Committed> for ControlMessage {
    fn from(item: Committed) -> Self {
        Self::Committed(item)
    }
}

//! Messages of the control actor.

use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};
use yuccatack_core::NodeName;
use yuccatack_dispatch::AgentMessage;
use yuccatack_queue_client::protocol::{LeaderFrame, Request, Response};
use yuccatack_replication::{Committed, ReplicaId};

/// Identifies an agent's stream within this process, so that messages of a replaced stream are
/// ignored.
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
    AgentDisconnected {
        stream: StreamId,
        node: NodeName,
    },
    /// Runs one scheduling pass that covers every message queued before this one.
    Schedule,
    Tick,
    /// Replies once no call is pending, so that the process can exit.
    Drain {
        reply: oneshot::Sender<()>,
    },
}

/// Request of a replica that concerns its own membership of the group.
#[derive(Clone, Copy, Debug)]
pub(crate) enum MemberRequest {
    Join { replica: ReplicaId, address: SocketAddr },
    Leave { replica: ReplicaId },
}

impl From<Committed> for ControlMessage {
    fn from(item: Committed) -> Self {
        Self::Committed(item)
    }
}

//! Streams between the leader and the agents.

use tokio::sync::mpsc;
use yuccatack_core::{FastHashMap, NodeName};
use yuccatack_dispatch::Orders;
use yuccatack_queue_client::protocol::{LeaderFrame, LeaderHint};

use crate::message::StreamId;

struct AgentStream {
    stream: StreamId,
    frames: mpsc::Sender<LeaderFrame>,
}

/// Newest stream of each node's agent.
#[derive(Default)]
pub(crate) struct Agents {
    streams: FastHashMap<NodeName, AgentStream>,
}

impl Agents {
    pub fn connect(
        &mut self,
        node: NodeName,
        stream: StreamId,
        frames: mpsc::Sender<LeaderFrame>,
        token: u64,
    ) {
        // This fails only if the agent has closed the stream; it then opens another one.
        let _ = frames.try_send(LeaderFrame::Leading { token });
        self.streams.insert(node, AgentStream { stream, frames });
    }

    /// Returns `true` if `stream` is the node's newest one.
    pub fn is_current(&self, node: &NodeName, stream: StreamId) -> bool {
        self.streams.get(node).is_some_and(|agent| agent.stream == stream)
    }

    pub fn disconnect(&mut self, node: &NodeName) {
        self.streams.remove(node);
    }

    /// Sends orders and returns `true` if they were queued.
    ///
    /// Drops the stream of an agent that does not read, so that the agent attaches again.
    pub fn send(&mut self, node: &NodeName, orders: Orders) -> bool {
        let Some(agent) = self.streams.get(node) else { return false };
        let sent = agent.frames.try_send(LeaderFrame::Orders(orders)).is_ok();
        if !sent {
            self.streams.remove(node);
        }
        sent
    }

    /// Sends a heartbeat to every agent, which shows that its stream and the leader are alive.
    pub fn send_heartbeats(&self, token: u64) {
        for agent in self.streams.values() {
            // A full queue holds frames that serve as heartbeats; if the agent does not read them,
            // the next orders drop its stream.
            let _ = agent.frames.try_send(LeaderFrame::Leading { token });
        }
    }

    /// Closes all streams after a last frame that names the new leader, if it is known.
    pub fn close_all(&mut self, hint: &LeaderHint) {
        for (_, agent) in self.streams.drain() {
            let _ = agent.frames.try_send(LeaderFrame::NotLeader(hint.clone()));
        }
    }
}

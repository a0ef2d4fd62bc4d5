//! The streams of agents to the leader.

use tokio::sync::mpsc;
use yuccatack_core::{FastHashMap, NodeName};
use yuccatack_dispatch::Orders;
use yuccatack_queue_client::protocol::{LeaderFrame, LeaderHint};

use crate::message::StreamId;

struct AgentStream {
    stream: StreamId,
    frames: mpsc::Sender<LeaderFrame>,
}

/// The newest stream of each node's agent.
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
        // A stream that is full or gone ends, and the agent opens another one.
        let _ = frames.try_send(LeaderFrame::Leading { token });
        self.streams.insert(node, AgentStream { stream, frames });
    }

    /// Whether `stream` is the node's newest one.
    pub fn is_current(&self, node: &NodeName, stream: StreamId) -> bool {
        self.streams.get(node).is_some_and(|held| held.stream == stream)
    }

    pub fn disconnect(&mut self, node: &NodeName) {
        self.streams.remove(node);
    }

    /// Sends orders; drops the stream of an agent that does not read, so that it attaches anew.
    pub fn send(&mut self, node: &NodeName, orders: Orders) -> bool {
        let Some(held) = self.streams.get(node) else { return false };
        let sent = held.frames.try_send(LeaderFrame::Orders(orders)).is_ok();
        if !sent {
            self.streams.remove(node);
        }
        sent
    }

    /// Shows every agent that its stream and the leader are alive.
    pub fn beat(&self, token: u64) {
        for held in self.streams.values() {
            // A full stream shows by itself that it is alive, or ends with the next orders.
            let _ = held.frames.try_send(LeaderFrame::Leading { token });
        }
    }

    /// Ends all streams.
    pub fn end_all(&mut self, hint: &LeaderHint) {
        for (_, held) in self.streams.drain() {
            let _ = held.frames.try_send(LeaderFrame::NotLeader(hint.clone()));
        }
    }
}

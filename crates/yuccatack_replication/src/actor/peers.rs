//! Connections to the other replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::sync::mpsc;

use crate::identifiers::ReplicaId;
use crate::membership::Membership;
use crate::message::Message;
use crate::transport::run_connection;

/// Maximum number of messages that wait for one replica. The state machine resends dropped
/// messages.
const QUEUE_LENGTH: usize = 256;

struct Peer {
    address: SocketAddr,
    queue: mpsc::Sender<Message>,
}

/// One connection task per replica that messages are sent to.
pub(crate) struct Peers {
    initial_addresses: BTreeMap<ReplicaId, SocketAddr>,
    reported_addresses: BTreeMap<ReplicaId, SocketAddr>,
    peers: BTreeMap<ReplicaId, Peer>,
}

impl Peers {
    pub fn new(initial_addresses: BTreeMap<ReplicaId, SocketAddr>) -> Self {
        Self { initial_addresses, reported_addresses: BTreeMap::new(), peers: BTreeMap::new() }
    }

    /// Stores the address that a replica reported as its own.
    pub fn set_reported_address(&mut self, replica: ReplicaId, address: SocketAddr) {
        self.reported_addresses.insert(replica, address);
    }

    /// Sends a message, or drops it when the replica's queue is full.
    pub fn send(&mut self, message: Message, membership: &Membership) {
        let replica = message.to;
        let Some(address) = self.address(replica, membership) else { return };
        if self.peers.get(&replica).is_none_or(|peer| peer.address != address) {
            let (queue, queued) = mpsc::channel(QUEUE_LENGTH);
            tokio::spawn(run_connection(address, queued));
            self.peers.insert(replica, Peer { address, queue });
        }
        if let Some(peer) = self.peers.get(&replica) {
            // Drops the message if the queue is full; the state machine tolerates message loss.
            let _ = peer.queue.try_send(message);
        }
    }

    /// Returns the address of a replica. A new replica does not know the members yet and uses the
    /// addresses that the senders of its messages reported.
    fn address(&self, replica: ReplicaId, membership: &Membership) -> Option<SocketAddr> {
        membership
            .member(replica)
            .map(|member| member.address)
            .or_else(|| self.reported_addresses.get(&replica).copied())
            .or_else(|| self.initial_addresses.get(&replica).copied())
    }

    pub fn disconnect(&mut self) {
        self.peers.clear();
    }
}

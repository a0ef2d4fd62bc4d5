//! The connections to the other replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::sync::mpsc;

use crate::identifiers::ReplicaId;
use crate::membership::Membership;
use crate::message::Message;
use crate::transport::run_connection;

/// How many messages may wait for one replica. The state machine resends what is dropped.
const QUEUE_LENGTH: usize = 256;

struct Peer {
    address: SocketAddr,
    queue: mpsc::Sender<Message>,
}

/// One connection task per replica that messages are sent to.
pub(crate) struct Peers {
    initial_addresses: BTreeMap<ReplicaId, SocketAddr>,
    noted_addresses: BTreeMap<ReplicaId, SocketAddr>,
    peers: BTreeMap<ReplicaId, Peer>,
}

impl Peers {
    pub fn new(initial_addresses: BTreeMap<ReplicaId, SocketAddr>) -> Self {
        Self { initial_addresses, noted_addresses: BTreeMap::new(), peers: BTreeMap::new() }
    }

    /// Remembers where a replica says that it answers.
    pub fn note_address(&mut self, replica: ReplicaId, address: SocketAddr) {
        self.noted_addresses.insert(replica, address);
    }

    /// Sends a message, or drops it when the replica's queue is full.
    pub fn send(&mut self, message: Message, membership: &Membership) {
        let replica = message.to;
        let Some(address) = self.address(replica, membership) else { return };
        if self.peers.get(&replica).is_none_or(|peer| peer.address != address) {
            let (queue, waiting) = mpsc::channel(QUEUE_LENGTH);
            tokio::spawn(run_connection(address, waiting));
            self.peers.insert(replica, Peer { address, queue });
        }
        if let Some(peer) = self.peers.get(&replica) {
            // A full queue is the same as a lossy network.
            let _ = peer.queue.try_send(message);
        }
    }

    /// A new replica that does not know the members yet answers to the sender's own address.
    fn address(&self, replica: ReplicaId, membership: &Membership) -> Option<SocketAddr> {
        membership
            .member(replica)
            .map(|member| member.address)
            .or_else(|| self.noted_addresses.get(&replica).copied())
            .or_else(|| self.initial_addresses.get(&replica).copied())
    }

    pub fn disconnect(&mut self) {
        self.peers.clear();
    }
}

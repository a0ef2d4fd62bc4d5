//! Actor that owns the channels to the replicas and tracks the leader.

use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};
use tonic::transport::Channel;
use yuccatack_core::prelude::*;

/// Number of messages that may wait for the actor.
const MAILBOX_CAPACITY_COUNT: usize = 256;

/// Replica to send a call to.
#[derive(Debug)]
pub struct Target {
    /// Address of the replica.
    pub address: SocketAddr,
    /// Open channel, or `None` if the caller must connect first.
    pub channel: Option<Channel>,
}

enum DirectoryMessage {
    Choose { avoid: Option<SocketAddr>, reply: oneshot::Sender<Target> },
    Connected { address: SocketAddr, channel: Channel },
    Answered { address: SocketAddr },
    Failed { address: SocketAddr },
    Redirected { from: SocketAddr, leader: Option<SocketAddr> },
}

/// Handle of the actor that chooses the replica for each call.
#[derive(Clone, Debug)]
pub struct Directory {
    messages: mpsc::Sender<DirectoryMessage>,
}

impl std::fmt::Debug for DirectoryMessage {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("DirectoryMessage")
    }
}

impl Directory {
    /// Starts the actor, which ends when every clone of the handle is dropped.
    pub fn spawn(addresses: Vec<SocketAddr>) -> Self {
        let (messages, mailbox) = mpsc::channel(MAILBOX_CAPACITY_COUNT);
        let task =
            DirectoryTask { addresses, next: 0, leader: None, channels: FastHashMap::default() };
        tokio::spawn(task.run(mailbox));
        Self { messages }
    }

    /// Returns the replica to try next: the leader if known, otherwise the replicas in turn.
    /// `avoid` is returned only if it is the only replica. `None` means that no replica is
    /// configured.
    pub async fn choose(&self, avoid: Option<SocketAddr>) -> Option<Target> {
        let (reply, target) = oneshot::channel();
        self.send(DirectoryMessage::Choose { avoid, reply }).await;
        target.await.ok()
    }

    /// Stores an open channel for later calls.
    pub async fn report_connected(&self, address: SocketAddr, channel: Channel) {
        self.send(DirectoryMessage::Connected { address, channel }).await;
    }

    /// Reports that a replica responded as the leader.
    pub async fn report_answered(&self, address: SocketAddr) {
        self.send(DirectoryMessage::Answered { address }).await;
    }

    /// Reports that a replica gave no usable response. Its channel is dropped, as the connection
    /// may hang for good.
    pub async fn report_failed(&self, address: SocketAddr) {
        self.send(DirectoryMessage::Failed { address }).await;
    }

    /// Reports that a replica does not lead, with the leader if the replica named one.
    pub async fn report_redirected(&self, from: SocketAddr, leader: Option<SocketAddr>) {
        self.send(DirectoryMessage::Redirected { from, leader }).await;
    }

    async fn send(&self, message: DirectoryMessage) {
        // The actor outlives every handle.
        let _ = self.messages.send(message).await;
    }
}

struct DirectoryTask {
    addresses: Vec<SocketAddr>,
    next: usize,
    leader: Option<SocketAddr>,
    channels: FastHashMap<SocketAddr, Channel>,
}

impl DirectoryTask {
    async fn run(mut self, mut mailbox: mpsc::Receiver<DirectoryMessage>) {
        while let Some(message) = mailbox.recv().await {
            match message {
                DirectoryMessage::Choose { avoid, reply } => {
                    if let Some(target) = self.choose(avoid) {
                        // An error means that the caller has stopped waiting.
                        let _ = reply.send(target);
                    }
                }
                DirectoryMessage::Connected { address, channel } => {
                    self.channels.insert(address, channel);
                }
                DirectoryMessage::Answered { address } => self.leader = Some(address),
                DirectoryMessage::Failed { address } => {
                    self.channels.remove(&address);
                    self.clear_leader(address);
                }
                DirectoryMessage::Redirected { from, leader } => {
                    self.clear_leader(from);
                    // A replica that names itself or no leader gives no usable hint.
                    if let Some(leader) = leader.filter(|leader| *leader != from) {
                        self.leader = Some(leader);
                    }
                }
            }
        }
    }

    fn clear_leader(&mut self, address: SocketAddr) {
        if self.leader == Some(address) {
            self.leader = None;
        }
    }

    fn choose(&mut self, avoid: Option<SocketAddr>) -> Option<Target> {
        let leader = self.leader.filter(|leader| Some(*leader) != avoid);
        let address = match leader {
            Some(leader) => leader,
            None => self.next_address(avoid)?,
        };
        Some(Target { address, channel: self.channels.get(&address).cloned() })
    }

    fn next_address(&mut self, avoid: Option<SocketAddr>) -> Option<SocketAddr> {
        for _ in 0..self.addresses.len() {
            let address = self.addresses.get(self.next).copied();
            self.next = (self.next + 1) % self.addresses.len();
            if address != avoid {
                return address;
            }
        }
        self.addresses.first().copied()
    }
}

//! The task that owns the channels to the replicas and knows the leader.

use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};
use tonic::transport::Channel;
use yuccatack_core::prelude::*;

/// Messages that may wait for the task.
const MAILBOX_LENGTH: usize = 256;

/// Where to send a call.
#[derive(Debug)]
pub struct Target {
    /// The replica.
    pub address: SocketAddr,
    /// An open channel, if there is one.
    pub channel: Option<Channel>,
}

enum DirectoryMessage {
    Choose { avoid: Option<SocketAddr>, reply: oneshot::Sender<Target> },
    Opened { address: SocketAddr, channel: Channel },
    Answered { address: SocketAddr },
    Failed { address: SocketAddr },
    Redirected { from: SocketAddr, leader: Option<SocketAddr> },
}

/// Talks to the task.
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
    /// Starts the task; it ends when every clone is gone.
    pub fn spawn(addresses: Vec<SocketAddr>) -> Self {
        let (messages, mailbox) = mpsc::channel(MAILBOX_LENGTH);
        let task =
            DirectoryTask { addresses, next: 0, leader: None, channels: FastHashMap::default() };
        tokio::spawn(task.run(mailbox));
        Self { messages }
    }

    /// The replica to try next: the leader if known, otherwise one after the other.
    pub async fn choose(&self, avoid: Option<SocketAddr>) -> Option<Target> {
        let (reply, answer) = oneshot::channel();
        self.send(DirectoryMessage::Choose { avoid, reply }).await;
        answer.await.ok()
    }

    /// Keeps a channel that was opened.
    pub async fn opened(&self, address: SocketAddr, channel: Channel) {
        self.send(DirectoryMessage::Opened { address, channel }).await;
    }

    /// A replica answered as the leader.
    pub async fn answered(&self, address: SocketAddr) {
        self.send(DirectoryMessage::Answered { address }).await;
    }

    /// A replica did not answer; its channel is given up, as it may never respond again.
    pub async fn failed(&self, address: SocketAddr) {
        self.send(DirectoryMessage::Failed { address }).await;
    }

    /// A replica does not lead and may have named the leader.
    pub async fn redirected(&self, from: SocketAddr, leader: Option<SocketAddr>) {
        self.send(DirectoryMessage::Redirected { from, leader }).await;
    }

    async fn send(&self, message: DirectoryMessage) {
        // The task outlives every handle.
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
                        // A caller that gave up needs no target.
                        let _ = reply.send(target);
                    }
                }
                DirectoryMessage::Opened { address, channel } => {
                    self.channels.insert(address, channel);
                }
                DirectoryMessage::Answered { address } => self.leader = Some(address),
                DirectoryMessage::Failed { address } => {
                    self.channels.remove(&address);
                    self.forget_leader(address);
                }
                DirectoryMessage::Redirected { from, leader } => {
                    self.forget_leader(from);
                    // A replica that names itself or an unknown one gives no usable hint.
                    if let Some(leader) = leader.filter(|leader| *leader != from) {
                        self.leader = Some(leader);
                    }
                }
            }
        }
    }

    fn forget_leader(&mut self, address: SocketAddr) {
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

//! The task that owns the connections to agents.

use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};
use tonic::transport::Channel;
use yuccatack_core::prelude::*;

use crate::link::{LinkError, connect};

/// The connections that are kept; the oldest unused ones go first.
const LINK_COUNT_LIMIT: usize = 256;

enum LinkMessage {
    Get { address: SocketAddr, reply: oneshot::Sender<Option<Channel>> },
    Opened { address: SocketAddr, channel: Channel },
    Close { address: SocketAddr },
}

/// Gives out connections to agents.
#[derive(Clone, Debug)]
pub struct Links {
    sender: mpsc::Sender<LinkMessage>,
}

struct LinkOwner {
    channels: FastHashMap<SocketAddr, Channel>,
    messages: mpsc::Receiver<LinkMessage>,
}

impl LinkOwner {
    async fn run(mut self) {
        while let Some(message) = self.messages.recv().await {
            match message {
                LinkMessage::Get { address, reply } => {
                    let _ = reply.send(self.channels.get(&address).cloned());
                }
                LinkMessage::Opened { address, channel } => {
                    if self.channels.len() >= LINK_COUNT_LIMIT {
                        // Agents that are still in use are connected again on the next call.
                        self.channels.clear();
                    }
                    self.channels.insert(address, channel);
                }
                LinkMessage::Close { address } => {
                    self.channels.remove(&address);
                }
            }
        }
    }
}

impl Links {
    /// Starts the owner; it ends with the last clone of this handle.
    pub fn spawn() -> Self {
        let (sender, messages) = mpsc::channel(1024);
        let owner = LinkOwner { channels: FastHashMap::default(), messages };
        tokio::spawn(owner.run());
        Self { sender }
    }

    /// An open connection, or a new one.
    pub async fn get(&self, address: SocketAddr) -> Result<Channel, LinkError> {
        let (reply, channel) = oneshot::channel();
        // The owner lives as long as this handle.
        let _ = self.sender.send(LinkMessage::Get { address, reply }).await;
        if let Ok(Some(channel)) = channel.await {
            return Ok(channel);
        }
        self.open(address).await
    }

    /// A new connection, which later calls use as well.
    pub async fn open(&self, address: SocketAddr) -> Result<Channel, LinkError> {
        let channel = connect(address).await?;
        let opened = LinkMessage::Opened { address, channel: channel.clone() };
        let _ = self.sender.send(opened).await;
        Ok(channel)
    }

    /// Keeps later calls off a connection that broke or went silent.
    pub async fn close(&self, address: SocketAddr) {
        let _ = self.sender.send(LinkMessage::Close { address }).await;
    }
}

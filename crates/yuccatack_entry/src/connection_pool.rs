//! A pool of connections to agents, owned by one task.

use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};
use tonic::transport::Channel;
use yuccatack_core::prelude::*;

use crate::agent_client::{AgentCallError, connect};

/// Maximum number of pooled connections. Adding one to a full pool removes all others from it.
const POOLED_CONNECTION_COUNT_LIMIT: usize = 256;

enum PoolMessage {
    Get { address: SocketAddr, reply: oneshot::Sender<Option<Channel>> },
    Opened { address: SocketAddr, channel: Channel },
    Close { address: SocketAddr },
}

/// Handle to the pool of connections to agents.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    sender: mpsc::Sender<PoolMessage>,
}

struct PoolTask {
    channels: FastHashMap<SocketAddr, Channel>,
    messages: mpsc::Receiver<PoolMessage>,
}

impl PoolTask {
    async fn run(mut self) {
        while let Some(message) = self.messages.recv().await {
            match message {
                PoolMessage::Get { address, reply } => {
                    let _ = reply.send(self.channels.get(&address).cloned());
                }
                PoolMessage::Opened { address, channel } => {
                    if self.channels.len() >= POOLED_CONNECTION_COUNT_LIMIT {
                        // The next call to an agent that is still in use connects again.
                        self.channels.clear();
                    }
                    self.channels.insert(address, channel);
                }
                PoolMessage::Close { address } => {
                    self.channels.remove(&address);
                }
            }
        }
    }
}

impl ConnectionPool {
    /// Starts the task of the pool, which ends when the last clone of this handle is dropped.
    pub fn spawn() -> Self {
        let (sender, messages) = mpsc::channel(1024);
        let task = PoolTask { channels: FastHashMap::default(), messages };
        tokio::spawn(task.run());
        Self { sender }
    }

    /// Returns the pooled connection to an agent, or opens one.
    pub async fn get(&self, address: SocketAddr) -> Result<Channel, AgentCallError> {
        let (reply, channel) = oneshot::channel();
        // The task of the pool runs as long as this handle exists.
        let _ = self.sender.send(PoolMessage::Get { address, reply }).await;
        if let Ok(Some(channel)) = channel.await {
            return Ok(channel);
        }
        self.open(address).await
    }

    /// Opens a connection and adds it to the pool.
    pub async fn open(&self, address: SocketAddr) -> Result<Channel, AgentCallError> {
        let channel = connect(address).await?;
        let opened = PoolMessage::Opened { address, channel: channel.clone() };
        let _ = self.sender.send(opened).await;
        Ok(channel)
    }

    /// Removes a connection that broke or stopped responding from the pool.
    pub async fn close(&self, address: SocketAddr) {
        let _ = self.sender.send(PoolMessage::Close { address }).await;
    }
}

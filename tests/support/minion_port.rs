//! A port in front of a minion stand-in that closes and opens again, as a minion does that is
//! killed and restarted, while the stand-in keeps its list of runs.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use yuccatack_stand_ins::MinionStandIn;

/// Passes bytes between an agent and a minion stand-in.
pub struct MinionPort {
    address: SocketAddr,
    minion: SocketAddr,
    server: JoinHandle<()>,
}

impl MinionPort {
    pub async fn start(minion: &MinionStandIn) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let minion = minion.address();
        Self { address, minion, server: tokio::spawn(pass(listener, minion)) }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections and breaks the open ones.
    pub async fn close(&mut self) {
        self.server.abort();
        let _ = (&mut self.server).await;
    }

    /// Accepts connections at the same address again.
    pub async fn open(&mut self) {
        let listener = TcpListener::bind(self.address).await.unwrap();
        self.server = tokio::spawn(pass(listener, self.minion));
    }
}

impl Drop for MinionPort {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn pass(listener: TcpListener, minion: SocketAddr) {
    // Dropping the set with this task breaks every connection.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((mut outer, _)) = accepted {
                    connections.spawn(async move {
                        let Ok(mut inner) = TcpStream::connect(minion).await else { return };
                        let _ = outer.set_nodelay(true);
                        let _ = inner.set_nodelay(true);
                        let _ = tokio::io::copy_bidirectional(&mut outer, &mut inner).await;
                    });
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

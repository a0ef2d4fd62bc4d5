//! A TCP proxy in front of a minion test double. Closing and opening it looks like a kill and a
//! restart of the minion, while the test double keeps its list of runs.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use yuccatack_stand_ins::MinionStandIn;

/// Forwards connections of an agent to a minion test double.
pub struct MinionProxy {
    address: SocketAddr,
    minion: SocketAddr,
    server: JoinHandle<()>,
}

impl MinionProxy {
    pub async fn start(minion: &MinionStandIn) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let minion = minion.address();
        Self { address, minion, server: tokio::spawn(forward(listener, minion)) }
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
        self.server = tokio::spawn(forward(listener, self.minion));
    }
}

impl Drop for MinionProxy {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn forward(listener: TcpListener, minion: SocketAddr) {
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

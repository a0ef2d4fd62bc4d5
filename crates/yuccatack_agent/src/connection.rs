//! An HTTP/1 connection to the minion, which carries one exchange at a time.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Maximum size of the status line and headers of a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A connection whose socket is owned by a task; dropping this value closes the socket.
#[derive(Debug)]
pub struct MinionConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    socket_task: AbortHandle,
}

impl Drop for MinionConnection {
    fn drop(&mut self) {
        // Closes the socket, so that the response of an abandoned exchange cannot arrive later.
        self.socket_task.abort();
    }
}

impl MinionConnection {
    /// Connects to `address` and starts the task that owns the socket.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let socket_task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(
                    event = "minion_connection_ended";
                    "connection to the minion at {address} failed and was closed: {error}"
                );
            }
        });
        Ok(Self { sender, socket_task: socket_task.abort_handle() })
    }

    /// Returns `true` unless the minion has closed the connection.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns `true` if no exchange is running and another one can start.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

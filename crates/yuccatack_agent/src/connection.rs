//! One connection to the minion; it carries one exchange at a time.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// The largest head of an answer.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// A connection whose socket belongs to a task; dropping this value closes the socket.
#[derive(Debug)]
pub struct MinionConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    socket_task: AbortHandle,
}

impl Drop for MinionConnection {
    fn drop(&mut self) {
        // An abandoned exchange must not leave a socket on which its answer could still arrive.
        self.socket_task.abort();
    }
}

impl MinionConnection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let socket_task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "minion_connection_ended"; "{error}");
            }
        });
        Ok(Self { sender, socket_task: socket_task.abort_handle() })
    }

    /// Whether the minion has not closed the connection.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Whether the last exchange is over and another one can start.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

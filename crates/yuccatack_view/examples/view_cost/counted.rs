//! TCP connections that count the bytes read and written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Number of payload bytes of all TCP connections.
#[derive(Debug, Default)]
pub struct Traffic {
    pub from_nodes: AtomicU64,
    pub to_nodes: AtomicU64,
}

pub struct CountedStream {
    pub stream: TcpStream,
    pub traffic: Arc<Traffic>,
}

impl Connected for CountedStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read_count = buffer.filled().len() - length_before;
        self.traffic.from_nodes.fetch_add(read_count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written_count = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.traffic.to_nodes.fetch_add(written_count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written_count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

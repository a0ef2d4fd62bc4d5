//! Stream of a connection that records progress and bounds unread responses.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection::Connection;
use crate::victims::Phase;

/// Socket of a client.
///
/// While the client does not take a response, no further requests are read from it: the server
/// would otherwise buffer a response to each pipelined request.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    is_write_blocked: bool,
    /// Task that was refused a read while the write was blocked.
    blocked_reader: Option<Waker>,
}

impl ClientStream {
    pub fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self { stream, connection, is_write_blocked: false, blocked_reader: None }
    }

    fn note_write(&mut self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Pending => self.is_write_blocked = true,
            Poll::Ready(_) => {
                self.is_write_blocked = false;
                self.connection.note_progress();
                if let Some(reader) = self.blocked_reader.take() {
                    reader.wake();
                }
            }
        }
    }

    fn begin_write(&self) {
        if self.connection.phase() == Phase::Idle {
            self.connection.enter(Phase::Response);
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_write_blocked {
            self.blocked_reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let length_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > length_before {
            match self.connection.phase() {
                Phase::Idle => self.connection.enter(Phase::Head),
                // Bytes of a head do not prolong its time limit, which counts from the phase.
                Phase::Head | Phase::Body | Phase::Handling | Phase::Response => {
                    self.connection.note_progress();
                }
            }
        }
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP server flushes only after it has written all that it had buffered.
        if !self.is_write_blocked && self.connection.phase() == Phase::Response {
            self.connection.enter(Phase::Idle);
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

//! Requests in progress, until the last byte of their response is written.
//!
//! The handler of a request returns when its response is known, and the body is
//! dropped when its last bytes are in the buffer of the connection. A node that
//! stops must not exit before the caller's connection has taken them.

use crate::{
    blackboard::Blackboard,
    connections::{Entry, Reason},
    memory::Reservation,
    transport::Stream,
};
use std::{
    cell::RefCell,
    io::{ErrorKind, IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Request that counts as in progress until it is dropped.
#[derive(Debug)]
pub struct Request {
    board: Rc<Blackboard>,
    connection: Rc<Entry>,
}

impl Request {
    /// Counts a request on a connection.
    #[must_use]
    pub fn new(board: &Rc<Blackboard>, connection: &Rc<Entry>) -> Self {
        board.in_progress.set(board.in_progress.get() + 1);
        connection.begin_request();
        Self { board: Rc::clone(board), connection: Rc::clone(connection) }
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.board.in_progress.set(self.board.in_progress.get() - 1);
        self.connection.end_request(self.board.now());
    }
}

/// Requests of one connection whose responses are in its buffer.
#[derive(Debug, Clone, Default)]
pub struct Unwritten(Rc<RefCell<Vec<Request>>>);

/// Response that is being passed to its connection.
#[derive(Debug)]
pub struct Response {
    request: Option<Request>,
    unwritten: Unwritten,
}

impl Response {
    /// Response to a request on the connection of `unwritten`.
    #[must_use]
    pub fn new(request: Request, unwritten: Unwritten) -> Self {
        Self { request: Some(request), unwritten }
    }
}

impl Drop for Response {
    fn drop(&mut self) {
        self.unwritten.0.borrow_mut().extend(self.request.take());
    }
}

/// Connection of a caller that records its progress and ends its requests once their responses are
/// written.
#[derive(Debug)]
pub struct Connection {
    stream: Stream,
    unwritten: Unwritten,
    board: Rc<Blackboard>,
    entry: Rc<Entry>,
    /// Memory for the heads of requests.
    heads: Reservation,
    head_bytes: usize,
}

impl Connection {
    /// Connection over a stream.
    #[must_use]
    pub fn new(
        stream: Stream,
        unwritten: Unwritten,
        board: &Rc<Blackboard>,
        entry: &Rc<Entry>,
    ) -> Self {
        Self {
            stream,
            unwritten,
            heads: board.body_memory.reserve(),
            head_bytes: 0,
            board: Rc::clone(board),
            entry: Rc::clone(entry),
        }
    }

    /// Records bytes that were read; an error if there is no memory for the head that they are part
    /// of. Bodies have reservations of their own.
    fn record_read(&mut self, bytes: usize) -> Result<()> {
        self.entry.record_read(self.board.now());
        if bytes == 0 || self.entry.is_active() {
            return Ok(());
        }
        self.head_bytes += bytes;
        if self.heads.raise(self.head_bytes) {
            return Ok(());
        }
        self.entry.close(Reason::HeadMemory);
        Err(ErrorKind::OutOfMemory.into())
    }

    /// Records the result of a write of `bytes`.
    fn record_write(
        &mut self,
        context: &Context<'_>,
        polled: Poll<Result<usize>>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let polled = match polled {
            Poll::Pending if self.entry.take_retry() => match self.stream.socket().send(bytes) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => Poll::Pending,
                sent => {
                    self.stream.record_sent();
                    Poll::Ready(sent)
                }
            },
            polled => polled,
        };
        match &polled {
            Poll::Ready(Ok(written)) => self.entry.record_written(*written),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.entry.record_blocked(self.board.now(), context.waker()),
        }
        polled
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.record_read(buffer.filled().len() - before))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(context, polled, bytes)
    }

    /// Called by the server when its buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        if !self.unwritten.0.borrow().is_empty() {
            self.unwritten.0.borrow_mut().clear();
            if !self.entry.is_active() {
                self.head_bytes = 0;
                self.heads = self.board.body_memory.reserve();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        let first = slices.iter().find(|slice| !slice.is_empty());
        self.record_write(context, polled, first.map_or(&[], |slice| &**slice))
    }
}

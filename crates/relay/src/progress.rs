//! Requests in progress, until the last byte of their response is written.
//!
//! The handler of a request returns when its response is known, and the body is
//! dropped when its last bytes are in the buffer of the connection. A node that
//! stops must not exit before the caller's connection has taken them.

use crate::blackboard::Blackboard;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::{
    cell::RefCell,
    io::{IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::net::TcpStream;

/// Request that counts as in progress until it is dropped.
#[derive(Debug)]
pub struct Request(Rc<Blackboard>);

impl Request {
    /// Counts a request.
    #[must_use]
    pub fn new(board: &Rc<Blackboard>) -> Self {
        board.in_progress.set(board.in_progress.get() + 1);
        Self(Rc::clone(board))
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
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

/// Connection of a caller that ends its requests once their responses are written.
#[derive(Debug)]
pub struct Connection {
    stream: TokioIo<TcpStream>,
    unwritten: Unwritten,
}

impl Connection {
    /// Connection over a stream.
    #[must_use]
    pub fn new(stream: TcpStream, unwritten: Unwritten) -> Self {
        Self { stream: TokioIo::new(stream), unwritten }
    }
}

impl Read for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    /// Called by the server when its buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.unwritten.0.borrow_mut().clear();
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
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}

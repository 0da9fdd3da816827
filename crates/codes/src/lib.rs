//! Numbered result codes, numbered log events, and the documents that carry them.
//!
//! A [`Code`] tells a caller or an operator the outcome of a request or a
//! command. Its number never changes once released. [`Executed`] states
//! whether the request ran: `Never` is used only when no byte of it was sent to
//! an endpoint, `Completed` only when a complete response was received, and
//! everything else is `Unknown`.
//!
//! The pages `docs/result-codes.md` and `docs/events.md` are rendered from the
//! tables here; a test compares them.

mod code;
mod event;
mod log;
mod problem;

pub use self::{
    code::{Code, Executed, Group},
    event::Event,
    log::{Overflow, root_logger},
    problem::Problem,
};

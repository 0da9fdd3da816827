//! Messages between nodes about permits to use an endpoint.
//!
//! A *permit* allows its holder to send one request to one endpoint. The owner
//! of a cell, which is the endpoints of one service in one availability zone,
//! issues them; see [`crate::owner`] and [`crate::holder`]. Only numbers and
//! names are exchanged: the request itself stays at the node that accepted it,
//! and only that node may send it.
//!
//! Messages travel in datagrams and may be lost, repeated or late. Requests are
//! repeated until there is a response, and permits that their holder no longer
//! confirms return to the owner.

use codes::Code;
use sched::fleet::{Load, Outcome, Size};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, net::SocketAddr, time::Duration};
use tokio::sync::Notify;
use units::{EndpointId, Fingerprint, OrganisationId, Rank, RequestId, ServiceId, Tokens};

/// Maximum number of messages in a datagram; a request takes about 100 bytes.
const MAX_MESSAGES: usize = 12;

/// Request for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Request that the permit is for.
    pub request: RequestId,
    /// Address of the holder, if another node forwards the message.
    pub holder: Option<SocketAddr>,
    /// Service.
    pub service: ServiceId,
    /// Tier.
    pub rank: Rank,
    /// Organisation that the request is scheduled for.
    pub organisation: OrganisationId,
    /// Size of the prompt and of the expected output.
    pub size: Size,
    /// Maximum output.
    pub max_output: Tokens,
    /// Gap between events up to which the stream counts as on time.
    pub target_gap: Option<Duration>,
    /// Time until the latest dispatch for an on-time response.
    pub soft: Duration,
    /// Time until the latest dispatch for any response.
    pub hard: Duration,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Tokens to charge to the organisation's quota.
    pub cost: Tokens,
    /// Endpoints to avoid.
    pub avoid: Box<[EndpointId]>,
}

/// Permit for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Request.
    pub request: RequestId,
    /// Endpoint that it may be sent to.
    pub endpoint: EndpointId,
    /// Expected time to a first response.
    pub expected: Duration,
    /// Requests in flight at the endpoint.
    pub in_flight: u32,
}

/// Refusal of a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Request.
    pub request: RequestId,
    /// Result code.
    pub code: Code,
    /// Expected time until an endpoint has room.
    pub wait: Duration,
}

/// End of a permit's use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Request.
    pub request: RequestId,
    /// How it ended.
    pub outcome: Outcome,
    /// Usual gap between the events of the response, if it had several.
    pub gap: Option<Duration>,
}

/// Load of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pressure {
    /// Service of the cell.
    pub service: ServiceId,
    /// Free slots.
    pub free: u32,
    /// Waiting requests.
    pub waiting: u32,
}

/// Message about permits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Holder to owner, and owner to the owner of another cell: asks for a permit.
    Request(Box<Request>),
    /// Holder to owner: the request needs no permit any more.
    Cancel(RequestId),
    /// Owner to holder: the request waits.
    Queued(RequestId),
    /// Owner to holder: permit.
    Grant(Grant),
    /// Owner to holder: there will be no permit.
    Refuse(Refusal),
    /// Holder to owner: the first response has arrived, with the load that the endpoint reported.
    First(RequestId, Option<Load>),
    /// Holder to owner: the permit is no longer used.
    End(End),
    /// Holder to owner: permits in use.
    Held(Box<[(RequestId, EndpointId, Size)]>),
    /// Owner to the owners of the service's other cells.
    Pressure(Pressure),
    /// Node to holder: it cannot act as owner now.
    Decline(RequestId),
}

/// Messages to send, by recipient.
#[derive(Debug, Default)]
pub struct Outbox {
    queued: HashMap<SocketAddr, Vec<Message>>,
}

impl Outbox {
    /// Adds a message.
    pub fn push(&mut self, to: SocketAddr, message: Message, ready: &Notify) {
        self.queued.entry(to).or_default().push(message);
        ready.notify_one();
    }

    /// Removes all messages, in groups that fit a datagram.
    pub fn take(&mut self) -> Vec<(SocketAddr, Box<[Message]>)> {
        let mut groups = Vec::new();
        for (to, messages) in self.queued.drain() {
            let mut messages = messages.into_iter().peekable();
            while messages.peek().is_some() {
                groups.push((to, messages.by_ref().take(MAX_MESSAGES).collect()));
            }
        }
        groups
    }
}

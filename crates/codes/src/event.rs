//! Numbered log events.

use std::fmt;

macro_rules! events {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal;)*) => {
        /// Numbered log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Event {
            $($(#[doc = $doc])* $name,)*
        }

        impl Event {
            /// Every event, by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Stable number.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Meaning, as the documentation prints it.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),*),)* }
            }
        }
    };
}

events! {
    /// The process has bound its addresses.
    Started = 100;
    /// The gateway became ready or stopped being ready.
    Readiness = 101;
    /// Shutdown began; responses in progress are finished.
    Draining = 102;
    /// The process shut down gracefully.
    Stopped = 103;
    /// The process was paused for longer than the stall limit and refreshes its state.
    Stalled = 104;
    /// The logger dropped records because its channel was full.
    LogLoss = 105;
    /// A task of the process failed unexpectedly and runs again.
    TaskFailed = 106;
    /// A request was assigned to an endpoint: endpoint, reason, runners-up, queue time.
    Routed = 200;
    /// A request was refused or shed: code, tier, reason.
    Refused = 201;
    /// A response ended: outcome, time to first token, tokens.
    Answered = 202;
    /// A connection ended before the response was complete.
    Cut = 203;
    /// A cut stream was resumed at the endpoint that runs it.
    Resumed = 204;
    /// No connection to the endpoint could be made; the request returned to the queue, since no
    /// byte was sent.
    Requeued = 205;
    /// An endpoint gave no response that can be forwarded: failure, attempts so far.
    AttemptFailed = 206;
    /// The caller disconnected before the response was complete.
    CallerLeft = 207;
    /// A caller's connection was closed: it made no progress, or memory or descriptors were short.
    ConnectionClosed = 208;
    /// Memory for a response did not become free in time.
    MemoryShort = 209;
    /// An endpoint's window was reduced: it is straggling, queueing or unreachable.
    WindowCut = 300;
    /// An endpoint responds in time again.
    WindowRestored = 301;
    /// An endpoint is leaving or no longer listed, and gets no new work.
    EndpointLeaving = 302;
    /// An endpoint joined, its listing changed, or its drain was lifted.
    EndpointJoined = 303;
    /// An endpoint limits the requests that it takes from all nodes, or does so no longer.
    EndpointLimit = 304;
    /// The learned concurrency of an endpoint fell below its slots, or it uses all of them well
    /// again: limit before and after, slots, relative speed, age of the last call.
    EndpointConcurrency = 305;
    /// This gateway took over a cell of endpoints.
    CellTaken = 310;
    /// This gateway gave a cell of endpoints to another owner.
    CellReleased = 311;
    /// A cell's owner does not respond; requests were registered with the next owner.
    OwnerSilent = 312;
    /// A permit was returned, since its endpoint leaves or refuses requests; another one is asked for.
    PermitReturned = 313;
    /// A member joined.
    MemberJoined = 400;
    /// A member is suspected.
    MemberSuspected = 401;
    /// A member was declared dead.
    MemberDead = 402;
    /// A member left gracefully.
    MemberLeft = 403;
    /// A peer without a valid certificate was refused.
    StrangerRefused = 404;
    /// Certificates were reloaded from their files.
    CertificatesReloaded = 405;
    /// A datagram without a valid message authentication code was dropped.
    DatagramRefused = 406;
    /// A document was received from another node: kind, version, size, time.
    DocumentReceived = 407;
    /// A document could not be received from or sent to another node.
    TransferFailed = 408;
    /// A configuration version came into force.
    ConfigInForce = 500;
    /// An older or corrupt configuration was ignored.
    ConfigIgnored = 501;
    /// The settings file was read again.
    SettingsReloaded = 502;
    /// A directory entry or a node's row could not be decoded and was ignored.
    EntryIgnored = 503;
    /// A newer configuration is known to exist but did not arrive in time; requests are refused until
    /// it does.
    ConfigOverdue = 504;
    /// The settings do not cover what a node may hold.
    SettingsContradict = 505;
    /// The platform's store does not respond.
    StoreDown = 510;
    /// The platform's store responds again.
    StoreUp = 511;
    /// The store's change history does not reach back far enough; the whole table is read again.
    HistoryLost = 512;
    /// The node began or stopped following the store for the others: nodes that do, whether it has lost
    /// the store.
    RoleChanged = 513;
    /// The platform's store has come back from an older copy: era before and now, position.
    StoreRestored = 514;
    /// A request was marked as suspect after an endpoint failed while running it.
    Strike = 520;
    /// A request was quarantined.
    Quarantine = 521;
    /// Suspected parts or requests were cleared: a request with them was served.
    QuarantineCleared = 522;
    /// The placement lease was taken or lost.
    Lease = 600;
    /// A placement decision: order, endpoint, reason.
    Placement = 601;
    /// An endpoint refused or accepted an order.
    Order = 602;
    /// A rollout entered a stage: service, order, release, reason, age.
    RolloutStage = 700;
    /// A rollout is in progress: counts of both releases, what it waits for.
    RolloutProgress = 701;
    /// This node stopped using a release on its own counts, until it learns of the next stage.
    RolloutStopped = 702;
    /// An order of a rollout cannot be executed: cause.
    RolloutRejected = 703;
    /// The store holds a stage of a rollout.
    RolloutSaved = 704;
    /// A stage of a rollout could not be written to the store; it is tried again.
    RolloutUnsaved = 705;
}

impl Event {
    /// Content of `docs/events.md`.
    #[must_use]
    pub fn page() -> String {
        let mut page = String::from(
            "# Log events\n\n\
             Logs are JSON lines on standard output; the member `event` holds the number and `name`\n\
             the name below. This page is rendered from `crates/codes/src/event.rs`.\n\n\
             | event | name | meaning |\n|---|---|---|\n",
        );
        for event in Self::ALL {
            page += &format!("| {} | {:?} |{} |\n", event.number(), event, event.meaning());
        }
        page
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number())
    }
}

impl slog::KV for Event {
    fn serialize(&self, _: &slog::Record<'_>, out: &mut dyn slog::Serializer) -> slog::Result {
        out.emit_u16("event".into(), self.number())?;
        out.emit_arguments("name".into(), &format_args!("{self:?}"))
    }
}

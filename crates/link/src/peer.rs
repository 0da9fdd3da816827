//! Connections to peers, their send queues and counters.

use crate::identity::{Identity, PEER_NAME};
use anyhow::{Context, Result};
use codes::Event;
use parking_lot::Mutex;
use quinn::{ClientConfig, Connection, Endpoint, RecvStream, SendStream};
use slog::{Logger, info, warn};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{runtime::Handle, sync::mpsc};
use units::InstanceId;
use wire::{Frame, HEADER_BYTES, MAX_FRAME_BYTES};

/// Capacity of the send queue of each peer and of the queue of received frames.
const QUEUE_FRAMES: usize = 4096;
/// Size of a write batch; no frame is added to a batch that has reached it.
const WRITE_BATCH_BYTES: usize = 32 * 1024;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Received frame.
#[derive(Debug)]
pub struct Incoming {
    /// Sender, as it named itself in [`Frame::Hello`]. Its certificate proves that it belongs to
    /// the cluster, not which instance it is.
    pub from: InstanceId,
    /// Frame.
    pub frame: Frame,
}

/// Traffic since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes of frames sent.
    pub sent_bytes: AtomicU64,
    /// Bytes of frames received.
    pub received_bytes: AtomicU64,
    /// Frames sent.
    pub sent_frames: AtomicU64,
    /// Frames dropped because a queue was full or no connection could be opened. Frames lost with
    /// an open connection are not counted.
    pub dropped_frames: AtomicU64,
    /// Incoming connections whose handshake failed, mostly for want of a valid certificate.
    pub rejected_handshakes: AtomicU64,
    /// UDP payload bytes sent on connections that have closed.
    pub closed_udp_sent_bytes: AtomicU64,
    /// UDP payload bytes received on connections that have closed.
    pub closed_udp_received_bytes: AtomicU64,
}

/// Send queue of one peer.
#[derive(Debug)]
struct Peer {
    queue: mpsc::Sender<Frame>,
    /// Tells this entry from a later one for the same address.
    generation: u64,
}

#[derive(Debug)]
struct Shared {
    instance: InstanceId,
    endpoint: Endpoint,
    client: Mutex<ClientConfig>,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    connections: Mutex<HashMap<usize, Connection>>,
    incoming: mpsc::Sender<Incoming>,
    counters: Counters,
    next_generation: AtomicU64,
    runtime: Handle,
    log: Logger,
}

/// Handle to the connections of this gateway.
#[derive(Debug, Clone)]
pub struct Link {
    shared: Arc<Shared>,
}

impl Link {
    /// Binds `address` and starts accepting peers; must run inside a Tokio runtime.
    ///
    /// # Errors
    /// An unusable identity, or an address that cannot be bound.
    pub fn bind(
        instance: InstanceId,
        address: SocketAddr,
        identity: &Identity,
        log: Logger,
    ) -> Result<(Self, mpsc::Receiver<Incoming>)> {
        let endpoint = Endpoint::server(identity.server()?, address)
            .with_context(|| format!("binding the peer address {address}"))?;
        let client = Mutex::new(identity.client()?);
        let (incoming, receiver) = mpsc::channel(QUEUE_FRAMES);
        let shared = Arc::new(Shared {
            instance,
            endpoint,
            client,
            peers: Mutex::default(),
            connections: Mutex::default(),
            incoming,
            counters: Counters::default(),
            next_generation: AtomicU64::new(0),
            runtime: Handle::current(),
            log,
        });
        tokio::spawn(accept(Arc::clone(&shared)));
        Ok((Self { shared }, receiver))
    }

    /// Bound address.
    ///
    /// # Errors
    /// The socket's error.
    pub fn local_address(&self) -> Result<SocketAddr> {
        Ok(self.shared.endpoint.local_addr()?)
    }

    /// Replaces the identity for future connections; open ones are kept.
    ///
    /// # Errors
    /// An unusable identity; the old one stays in use.
    pub fn reload(&self, identity: &Identity) -> Result<()> {
        let server = identity.server()?;
        let client = identity.client()?;
        self.shared.endpoint.set_server_config(Some(server));
        *self.shared.client.lock() = client;
        Ok(())
    }

    /// Queues a frame for the peer at `address`, or drops it when the queue is full.
    pub fn send(&self, address: SocketAddr, frame: Frame) {
        let mut frame = frame;
        for _ in 0..2 {
            let queue = self.queue(address);
            match queue.try_send(frame) {
                Ok(()) => return,
                Err(mpsc::error::TrySendError::Closed(returned)) => {
                    self.shared.peers.lock().remove(&address);
                    frame = returned;
                }
                Err(mpsc::error::TrySendError::Full(_)) => break,
            }
        }
        self.shared.counters.dropped_frames.fetch_add(1, Ordering::Relaxed);
    }

    /// Send queue of the peer at `address`; connects to it when there is none.
    fn queue(&self, address: SocketAddr) -> mpsc::Sender<Frame> {
        let mut peers = self.shared.peers.lock();
        if let Some(peer) = peers.get(&address) {
            return peer.queue.clone();
        }
        let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
        let generation = self.shared.next_generation.fetch_add(1, Ordering::Relaxed);
        peers.insert(address, Peer { queue: queue.clone(), generation });
        self.shared.runtime.spawn(dial(Arc::clone(&self.shared), address, generation, frames));
        queue
    }

    /// Traffic since the process started.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.connections.lock().len()
    }

    /// UDP payload bytes sent and received since the process started, including QUIC overhead.
    #[must_use]
    pub fn udp_bytes(&self) -> (u64, u64) {
        let counters = &self.shared.counters;
        let mut sent = counters.closed_udp_sent_bytes.load(Ordering::Relaxed);
        let mut received = counters.closed_udp_received_bytes.load(Ordering::Relaxed);
        for connection in self.shared.connections.lock().values() {
            let stats = connection.stats();
            sent += stats.udp_tx.bytes;
            received += stats.udp_rx.bytes;
        }
        (sent, received)
    }

    /// Closes every connection after a short delay in which queued frames are sent, and waits up
    /// to `limit` for the connections to close.
    pub async fn close(&self, limit: Duration) {
        tokio::time::sleep(limit.min(Duration::from_millis(50))).await;
        self.shared.endpoint.close(0u32.into(), b"leaving");
        let _ = tokio::time::timeout(limit, self.shared.endpoint.wait_idle()).await;
    }
}

impl Shared {
    /// Lists a connection while it is open, and keeps its statistics after that.
    fn track(self: &Arc<Self>, connection: &Connection) {
        let id = connection.stable_id();
        self.connections.lock().insert(id, connection.clone());
        let shared = Arc::clone(self);
        let connection = connection.clone();
        tokio::spawn(async move {
            connection.closed().await;
            shared.connections.lock().remove(&id);
            let stats = connection.stats();
            shared.counters.closed_udp_sent_bytes.fetch_add(stats.udp_tx.bytes, Ordering::Relaxed);
            shared
                .counters
                .closed_udp_received_bytes
                .fetch_add(stats.udp_rx.bytes, Ordering::Relaxed);
        });
    }
}

async fn accept(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let address = incoming.remote_address();
            match incoming.await {
                Ok(connection) => serve(shared, connection).await,
                Err(e) => {
                    shared.counters.rejected_handshakes.fetch_add(1, Ordering::Relaxed);
                    warn!(shared.log, "peer handshake failed"; Event::StrangerRefused,
                        "address" => %address, "error" => %e);
                }
            }
        });
    }
}

/// Serves a connection that the peer opened; also sends on it unless the peer has a queue already.
async fn serve(shared: Arc<Shared>, connection: Connection) {
    shared.track(&connection);
    let address = connection.remote_address();
    let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
    let generation = shared.next_generation.fetch_add(1, Ordering::Relaxed);
    let vacant = {
        let mut peers = shared.peers.lock();
        let vacant = !peers.contains_key(&address);
        if vacant {
            peers.insert(address, Peer { queue, generation });
        }
        vacant
    };
    if vacant {
        let writer = write(Arc::clone(&shared), connection.clone(), address, generation, frames);
        tokio::spawn(writer);
    }
    read(shared, connection).await;
}

async fn dial(
    shared: Arc<Shared>,
    address: SocketAddr,
    generation: u64,
    mut frames: mpsc::Receiver<Frame>,
) {
    match connect(&shared, address).await {
        Ok(connection) => {
            shared.track(&connection);
            tokio::spawn(read(Arc::clone(&shared), connection.clone()));
            write(shared, connection, address, generation, frames).await;
        }
        Err(e) => {
            info!(shared.log, "cannot connect to peer"; "address" => %address, "error" => %e);
            remove_peer(&shared, address, generation);
            frames.close();
            while frames.try_recv().is_ok() {
                shared.counters.dropped_frames.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

async fn connect(shared: &Shared, address: SocketAddr) -> Result<Connection> {
    let config = shared.client.lock().clone();
    let connecting = shared.endpoint.connect_with(config, address, PEER_NAME)?;
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    Ok(connection)
}

fn remove_peer(shared: &Shared, address: SocketAddr, generation: u64) {
    let mut peers = shared.peers.lock();
    if peers.get(&address).is_some_and(|peer| peer.generation == generation) {
        peers.remove(&address);
    }
}

async fn write(
    shared: Arc<Shared>,
    connection: Connection,
    address: SocketAddr,
    generation: u64,
    mut frames: mpsc::Receiver<Frame>,
) {
    let result = tokio::select! {
        result = write_frames(&shared, &connection, &mut frames) => result,
        error = connection.closed() => Err(error.into()),
    };
    if let Err(e) = result {
        info!(shared.log, "connection to peer ended"; "address" => %address, "error" => %e);
    }
    remove_peer(&shared, address, generation);
}

async fn write_frames(
    shared: &Shared,
    connection: &Connection,
    frames: &mut mpsc::Receiver<Frame>,
) -> Result<()> {
    let mut stream: SendStream = connection.open_uni().await?;
    let mut buffer = Vec::with_capacity(WRITE_BATCH_BYTES);
    wire::encode(&Frame::Hello(shared.instance.clone()), &mut buffer)?;
    while let Some(frame) = frames.recv().await {
        wire::encode(&frame, &mut buffer)?;
        let mut count = 1;
        while buffer.len() < WRITE_BATCH_BYTES {
            let Ok(frame) = frames.try_recv() else { break };
            wire::encode(&frame, &mut buffer)?;
            count += 1;
        }
        stream.write_all(&buffer).await?;
        let bytes = u64::try_from(buffer.len()).unwrap_or(0);
        shared.counters.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
        shared.counters.sent_frames.fetch_add(count, Ordering::Relaxed);
        buffer.clear();
    }
    Ok(())
}

async fn read(shared: Arc<Shared>, connection: Connection) {
    while let Ok(stream) = connection.accept_uni().await {
        if let Err(e) = read_frames(&shared, stream).await {
            info!(shared.log, "stream from peer ended"; "error" => %e,
                "address" => %connection.remote_address());
            return;
        }
    }
}

async fn read_frames(shared: &Shared, mut stream: RecvStream) -> Result<()> {
    let mut from: Option<InstanceId> = None;
    loop {
        let mut header = [0; HEADER_BYTES];
        stream.read_exact(&mut header).await?;
        let length = usize::try_from(u32::from_le_bytes(header))?;
        anyhow::ensure!(
            length <= MAX_FRAME_BYTES,
            "frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"
        );
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await?;
        let bytes = u64::try_from(length + HEADER_BYTES)?;
        shared.counters.received_bytes.fetch_add(bytes, Ordering::Relaxed);
        match (wire::decode(&body)?, &from) {
            (Frame::Hello(id), _) => from = Some(id),
            (frame, Some(id)) => {
                let incoming = Incoming { from: id.clone(), frame };
                shared.incoming.send(incoming).await.context("queue of received frames closed")?;
            }
            (_, None) => anyhow::bail!("first frame of the stream is not Hello"),
        }
    }
}

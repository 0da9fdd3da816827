//! Peers and their connections.

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

/// Frames that wait for one peer.
const QUEUE_FRAMES: usize = 4096;
/// Bytes gathered into one write.
const WRITE_BYTES: usize = 32 * 1024;
/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Frame that arrived.
#[derive(Debug)]
pub struct Incoming {
    /// Who sent it, by its own word on an authenticated connection.
    pub from: InstanceId,
    /// Frame.
    pub frame: Frame,
}

/// Traffic since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes of frames sent.
    pub sent_bytes: AtomicU64,
    /// Bytes of frames received.
    pub received_bytes: AtomicU64,
    /// Frames sent.
    pub sent_frames: AtomicU64,
    /// Frames dropped because a queue was full or a connection failed.
    pub dropped_frames: AtomicU64,
    /// Connections refused for want of a valid certificate.
    pub rejected_handshakes: AtomicU64,
    /// UDP payload bytes sent on connections that have ended.
    pub closed_udp_sent_bytes: AtomicU64,
    /// UDP payload bytes received on connections that have ended.
    pub closed_udp_received_bytes: AtomicU64,
}

#[derive(Debug)]
struct Peer {
    queue: mpsc::Sender<Frame>,
    serial: u64,
}

#[derive(Debug)]
struct Shared {
    me: InstanceId,
    endpoint: Endpoint,
    client: Mutex<ClientConfig>,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    connections: Mutex<HashMap<usize, Connection>>,
    incoming: mpsc::Sender<Incoming>,
    counters: Counters,
    serials: AtomicU64,
    runtime: Handle,
    log: Logger,
}

/// Handle to the connections of this gateway.
#[derive(Debug, Clone)]
pub struct Link {
    shared: Arc<Shared>,
}

impl Link {
    /// Binds `address` and starts to accept peers; must run inside a tokio runtime.
    ///
    /// # Errors
    /// An identity that cannot be used, or an address that cannot be bound.
    pub fn bind(
        me: InstanceId,
        address: SocketAddr,
        identity: &Identity,
        log: Logger,
    ) -> Result<(Self, mpsc::Receiver<Incoming>)> {
        let endpoint = Endpoint::server(identity.server()?, address)
            .with_context(|| format!("binding the peer address {address}"))?;
        let client = Mutex::new(identity.client()?);
        let (incoming, receiver) = mpsc::channel(QUEUE_FRAMES);
        let shared = Arc::new(Shared {
            me,
            endpoint,
            client,
            peers: Mutex::default(),
            connections: Mutex::default(),
            incoming,
            counters: Counters::default(),
            serials: AtomicU64::new(0),
            runtime: Handle::current(),
            log,
        });
        tokio::spawn(accept(Arc::clone(&shared)));
        Ok((Self { shared }, receiver))
    }

    /// Address that was bound.
    ///
    /// # Errors
    /// The socket's error.
    pub fn local_address(&self) -> Result<SocketAddr> {
        Ok(self.shared.endpoint.local_addr()?)
    }

    /// Uses a new identity for the connections that are made from now on.
    ///
    /// # Errors
    /// An identity that cannot be used; the old one stays.
    pub fn reload(&self, identity: &Identity) -> Result<()> {
        let server = identity.server()?;
        let client = identity.client()?;
        self.shared.endpoint.set_server_config(Some(server));
        *self.shared.client.lock() = client;
        Ok(())
    }

    /// Sends a frame, or drops it when the peer's queue is full.
    pub fn send(&self, address: SocketAddr, frame: Frame) {
        let mut frame = frame;
        for _ in 0..2 {
            let queue = self.queue(address);
            match queue.try_send(frame) {
                Ok(()) => return,
                Err(mpsc::error::TrySendError::Closed(back)) => {
                    self.shared.peers.lock().remove(&address);
                    frame = back;
                }
                Err(mpsc::error::TrySendError::Full(_)) => break,
            }
        }
        self.shared.counters.dropped_frames.fetch_add(1, Ordering::Relaxed);
    }

    fn queue(&self, address: SocketAddr) -> mpsc::Sender<Frame> {
        let mut peers = self.shared.peers.lock();
        if let Some(peer) = peers.get(&address) {
            return peer.queue.clone();
        }
        let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
        let serial = self.shared.serials.fetch_add(1, Ordering::Relaxed);
        peers.insert(address, Peer { queue: queue.clone(), serial });
        self.shared.runtime.spawn(dial(Arc::clone(&self.shared), address, serial, frames));
        queue
    }

    /// Traffic since the start.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Connections open now.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.connections.lock().len()
    }

    /// UDP payload bytes sent and received so far, all overhead of QUIC included.
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

    /// Closes every connection after what was queued has been sent, within `limit`.
    pub async fn close(&self, limit: Duration) {
        tokio::time::sleep(limit.min(Duration::from_millis(50))).await;
        self.shared.endpoint.close(0u32.into(), b"leaving");
        let _ = tokio::time::timeout(limit, self.shared.endpoint.wait_idle()).await;
    }
}

impl Shared {
    /// Keeps a connection in view while it is open, for its statistics.
    fn watch(self: &Arc<Self>, connection: &Connection) {
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
    while let Some(attempt) = shared.endpoint.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let address = attempt.remote_address();
            match attempt.await {
                Ok(connection) => serve(shared, connection).await,
                Err(e) => {
                    shared.counters.rejected_handshakes.fetch_add(1, Ordering::Relaxed);
                    warn!(shared.log, "peer refused"; Event::StrangerRefused,
                        "address" => %address, "error" => %e);
                }
            }
        });
    }
}

/// Serves a connection that the peer made, and uses it for frames to that peer.
async fn serve(shared: Arc<Shared>, connection: Connection) {
    shared.watch(&connection);
    let address = connection.remote_address();
    let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
    let serial = shared.serials.fetch_add(1, Ordering::Relaxed);
    let free = {
        let mut peers = shared.peers.lock();
        let free = !peers.contains_key(&address);
        if free {
            peers.insert(address, Peer { queue, serial });
        }
        free
    };
    if free {
        let writer = write(Arc::clone(&shared), connection.clone(), address, serial, frames);
        tokio::spawn(writer);
    }
    read(shared, connection).await;
}

async fn dial(
    shared: Arc<Shared>,
    address: SocketAddr,
    serial: u64,
    mut frames: mpsc::Receiver<Frame>,
) {
    match connect(&shared, address).await {
        Ok(connection) => {
            shared.watch(&connection);
            tokio::spawn(read(Arc::clone(&shared), connection.clone()));
            write(shared, connection, address, serial, frames).await;
        }
        Err(e) => {
            info!(shared.log, "peer unreachable"; "address" => %address, "error" => %e);
            release(&shared, address, serial);
            frames.close();
            while frames.try_recv().is_ok() {
                shared.counters.dropped_frames.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

async fn connect(shared: &Shared, address: SocketAddr) -> Result<Connection> {
    let config = shared.client.lock().clone();
    let attempt = shared.endpoint.connect_with(config, address, PEER_NAME)?;
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, attempt).await??;
    Ok(connection)
}

fn release(shared: &Shared, address: SocketAddr, serial: u64) {
    let mut peers = shared.peers.lock();
    if peers.get(&address).is_some_and(|peer| peer.serial == serial) {
        peers.remove(&address);
    }
}

async fn write(
    shared: Arc<Shared>,
    connection: Connection,
    address: SocketAddr,
    serial: u64,
    mut frames: mpsc::Receiver<Frame>,
) {
    let ended = tokio::select! {
        ended = write_frames(&shared, &connection, &mut frames) => ended,
        error = connection.closed() => Err(error.into()),
    };
    if let Err(e) = ended {
        info!(shared.log, "peer connection ended"; "address" => %address, "error" => %e);
    }
    release(&shared, address, serial);
}

async fn write_frames(
    shared: &Shared,
    connection: &Connection,
    frames: &mut mpsc::Receiver<Frame>,
) -> Result<()> {
    let mut stream: SendStream = connection.open_uni().await?;
    let mut buffer = Vec::with_capacity(WRITE_BYTES);
    wire::encode(&Frame::Hello(shared.me.clone()), &mut buffer)?;
    while let Some(frame) = frames.recv().await {
        wire::encode(&frame, &mut buffer)?;
        let mut count = 1;
        while buffer.len() < WRITE_BYTES {
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
            info!(shared.log, "peer stream ended"; "error" => %e,
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
        anyhow::ensure!(length <= MAX_FRAME_BYTES, "frame of {length} bytes");
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await?;
        let bytes = u64::try_from(length + HEADER_BYTES)?;
        shared.counters.received_bytes.fetch_add(bytes, Ordering::Relaxed);
        match (wire::decode(&body)?, &from) {
            (Frame::Hello(id), _) => from = Some(id),
            (frame, Some(id)) => {
                let incoming = Incoming { from: id.clone(), frame };
                shared.incoming.send(incoming).await.context("gateway stopped")?;
            }
            (_, None) => anyhow::bail!("first frame is not a hello"),
        }
    }
}

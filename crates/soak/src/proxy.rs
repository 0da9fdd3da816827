//! Loopback TCP proxy that can delay, stall, refuse and reset connections.
//!
//! A stalled direction holds its bytes until it is forwarded again, like a
//! network that loses packets and retransmits them. A reset closes every
//! connection and discards unsent bytes.

use anyhow::{Result, ensure};
use parking_lot::Mutex;
use socket2::{SockFilter, SockRef};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Largest chunk that is copied at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Mode of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// Forwards bytes at once.
    #[default]
    Forward,
    /// Forwards each chunk after a delay.
    Delay(Duration),
    /// Holds bytes in both directions.
    Stall,
    /// Holds bytes from the client to the target.
    StallUpstream,
    /// Holds bytes from the target to the client.
    StallDownstream,
    /// Resets new connections.
    Refuse,
}

impl Mode {
    fn stalls(self, direction: Direction) -> bool {
        match self {
            Self::Stall => true,
            Self::StallUpstream => direction == Direction::Upstream,
            Self::StallDownstream => direction == Direction::Downstream,
            Self::Forward | Self::Delay(_) | Self::Refuse => false,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Upstream,
    Downstream,
}

/// Proxy in front of a target that may change.
#[derive(Debug)]
pub struct Link {
    /// Address that clients connect to instead of the target.
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    mode: watch::Sender<Mode>,
    resets: watch::Sender<u64>,
}

impl Link {
    /// Starts a link on the current runtime.
    ///
    /// # Errors
    /// No address can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((fake_host::unused_address(), 0)).await?;
        let address = listener.local_addr()?;
        let link = Self {
            address,
            target: Arc::new(Mutex::new(target)),
            mode: watch::Sender::default(),
            resets: watch::Sender::default(),
        };
        let (target, mode) = (Arc::clone(&link.target), link.mode.subscribe());
        let resets = link.resets.subscribe();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let target = *target.lock();
                tokio::spawn(forward(client, target, mode.clone(), resets.clone()));
            }
        });
        Ok(link)
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock() = target;
    }

    /// Sets the mode. Existing connections follow it, but [`Mode::Refuse`] only affects new ones.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets every connection.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

/// Classic BPF instruction that drops a segment: `BPF_RET | BPF_K`, with length zero.
const DROP: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// Makes one side of a connection silent for good: its kernel takes in nothing more, acknowledges
/// nothing and reports no error to the other side.
///
/// # Errors
/// The filter cannot be set.
pub fn silence(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).attach_filter(&[DROP])
}

/// Makes closing the connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    // Without the option the connection closes normally, which is an acceptable fault too.
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok();
}

async fn forward(
    mut client: TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
    mut resets: watch::Receiver<u64>,
) {
    resets.mark_unchanged();
    let refuse = *mode.borrow() == Mode::Refuse;
    let server = if refuse { None } else { TcpStream::connect(target).await.ok() };
    let Some(mut server) = server else { return reset_on_close(&client) };
    for stream in [&client, &server] {
        // Only the proxy's mode may delay bytes.
        stream.set_nodelay(true).ok();
    }
    let (client_reader, client_writer) = client.split();
    let (server_reader, server_writer) = server.split();
    let both = async {
        tokio::try_join!(
            copy(client_reader, server_writer, mode.clone(), Direction::Upstream),
            copy(server_reader, client_writer, mode.clone(), Direction::Downstream),
        )
    };
    let ended = tokio::select! {
        ended = both => ended.is_ok(),
        _ = resets.changed() => false,
    };
    if !ended {
        reset_on_close(&client);
        reset_on_close(&server);
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<Mode>,
    direction: Direction,
) -> Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut chunk).await?;
        ensure!(
            mode.wait_for(|mode| !mode.stalls(direction)).await.is_ok(),
            "the link was dropped"
        );
        let now = *mode.borrow();
        if let Mode::Delay(delay) = now {
            tokio::time::sleep(delay).await;
        }
        if length == 0 {
            to.shutdown().await?;
            return Ok(());
        }
        to.write_all(&chunk[..length]).await?;
    }
}

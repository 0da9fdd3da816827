//! Loopback proxy whose connections can be delayed, silenced, refused and reset.
//!
//! A silenced direction holds its bytes until it is heard again, as a network
//! does that loses packets and sends them once more. A reset closes every
//! connection with unsent bytes thrown away.

use anyhow::{Result, ensure};
use parking_lot::Mutex;
use socket2::SockRef;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Bytes that are carried at once.
const PIECE: usize = 16 * 1024;

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// Bytes pass.
    #[default]
    Pass,
    /// Each piece passes after a while.
    Delay(Duration),
    /// Nothing passes in either direction.
    Silent,
    /// Nothing passes from who connects to the target.
    SilentUp,
    /// Nothing passes from the target to who connects.
    SilentDown,
    /// New connections are reset.
    Refuse,
}

impl Mode {
    fn holds(self, way: Way) -> bool {
        match self {
            Self::Silent => true,
            Self::SilentUp => way == Way::Up,
            Self::SilentDown => way == Way::Down,
            Self::Pass | Self::Delay(_) | Self::Refuse => false,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Up,
    Down,
}

/// Link to a target that may change.
#[derive(Debug)]
pub struct Link {
    /// Address to connect to instead of the target's.
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    mode: watch::Sender<Mode>,
    resets: watch::Sender<u64>,
}

impl Link {
    /// Starts a link on the present runtime.
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
            while let Ok((near, _)) = listener.accept().await {
                let target = *target.lock();
                tokio::spawn(carry(near, target, mode.clone(), resets.clone()));
            }
        });
        Ok(link)
    }

    /// Leads new connections elsewhere.
    pub fn lead(&self, target: SocketAddr) {
        *self.target.lock() = target;
    }

    /// Switches the state.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets every connection.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

/// Makes the end of a connection a reset.
fn abort_at_end(stream: &TcpStream) {
    // Without the option the connection closes in the usual way, which is a fault as well.
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok();
}

async fn carry(
    mut near: TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
    mut resets: watch::Receiver<u64>,
) {
    resets.mark_unchanged();
    let refused = *mode.borrow() == Mode::Refuse;
    let far = if refused { None } else { TcpStream::connect(target).await.ok() };
    let Some(mut far) = far else { return abort_at_end(&near) };
    for stream in [&near, &far] {
        // Delays are the proxy's own.
        stream.set_nodelay(true).ok();
    }
    let (near_reader, near_writer) = near.split();
    let (far_reader, far_writer) = far.split();
    let both = async {
        tokio::try_join!(
            pump(near_reader, far_writer, mode.clone(), Way::Up),
            pump(far_reader, near_writer, mode.clone(), Way::Down),
        )
    };
    let ended = tokio::select! {
        ended = both => ended.is_ok(),
        _ = resets.changed() => false,
    };
    if !ended {
        abort_at_end(&near);
        abort_at_end(&far);
    }
}

async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<Mode>,
    way: Way,
) -> Result<()> {
    let mut piece = vec![0; PIECE];
    loop {
        let length = from.read(&mut piece).await?;
        ensure!(mode.wait_for(|mode| !mode.holds(way)).await.is_ok(), "link gone");
        let now = *mode.borrow();
        if let Mode::Delay(delay) = now {
            tokio::time::sleep(delay).await;
        }
        if length == 0 {
            to.shutdown().await?;
            return Ok(());
        }
        to.write_all(&piece[..length]).await?;
    }
}

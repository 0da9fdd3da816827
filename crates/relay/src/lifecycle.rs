//! Startup, settings reload and shutdown of a node.
//!
//! On the stop signal, the node reports that it is not ready but still answers
//! requests, asking callers to close their connections. Once the load balancer
//! has had time to notice, idle connections are closed. The process exits after
//! its last response, or just before the grace period ends.
//!
//! A closed connection tells a caller nothing, and it may not repeat a request
//! that may run at most once. Before the grace period ends, requests that still
//! wait are therefore refused, so that they are not sent to an endpoint just to
//! be cut off. Those that are at an endpoint until the end get a response that
//! promises nothing. Only streams that have begun are cut.

use crate::{
    announce,
    blackboard::{Blackboard, Phase},
    connections, discovery, dispatcher, holder, owner, peers, quarantine, rollout, serve,
    settings::Reread,
    transfer,
    watch::{self, Store},
};
use anyhow::Result;
use codes::Event;
use slog::{error, info, warn};
use std::{rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    task::spawn_local,
};

/// Time for the load balancer to notice that the node is not ready: two check intervals and a slow
/// response.
const READINESS_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the grace period reserved for the last responses and their bytes.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Longest time for the last responses to be sent, within [`GRACE_MARGIN`].
const ANSWER_TIME: Duration = Duration::from_millis(250);
/// Part of the drain, as a divisor, at whose end no request is sent to an endpoint any more.
const REFUSING_DIVISOR: u32 = 4;
/// Interval at which a draining node checks for the end of its last response.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after which a task that panicked runs again.
const TASK_RESTART_DELAY: Duration = Duration::from_millis(100);
/// Interval for pruning idle connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the settings file is checked without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Listening sockets of a node.
#[derive(Debug)]
struct Sockets {
    callers: Rc<TcpListener>,
    readiness: Rc<TcpListener>,
    metrics: Rc<TcpListener>,
    peers: Rc<UdpSocket>,
    transfers: Rc<TcpListener>,
}

async fn bind(board: &Blackboard) -> Result<Sockets> {
    let listen = board.settings.listen;
    Ok(Sockets {
        callers: Rc::new(serve::bind(listen.callers)?),
        readiness: Rc::new(serve::bind(listen.readiness)?),
        metrics: Rc::new(serve::bind(listen.metrics)?),
        peers: Rc::new(UdpSocket::bind(listen.peers).await?),
        transfers: Rc::new(serve::bind(listen.peers)?),
    })
}

/// Runs a node until it is told to stop. Must be called within a `LocalSet`.
///
/// `reread` reads the settings file again.
///
/// # Errors
/// An address cannot be bound, or a signal handler cannot be installed.
pub async fn run<S: Store + 'static>(
    board: Rc<Blackboard>,
    store: Rc<S>,
    reread: impl Fn() -> Result<Reread> + 'static,
) -> Result<()> {
    let sockets = bind(&board).await?;
    let listen = board.settings.listen;
    info!(board.log, "started"; Event::Started, "callers" => %listen.callers,
        "readiness" => %listen.readiness, "metrics" => %listen.metrics, "peers" => %listen.peers);
    check_shares(&board);
    let reread = Rc::new(reread);
    let socket = Rc::clone(&sockets.peers);
    supervise(&board, &sockets.callers, "callers", serve::callers);
    supervise(&board, &Rc::new(()), "connections", |board, _| connections::watch(board));
    supervise(&board, &Rc::clone(&board.monitor), "monitor", |_, monitor| async move {
        monitor.run().await;
    });
    supervise(&board, &sockets.readiness, "readiness", serve::readiness);
    supervise(&board, &sockets.metrics, "metrics", serve::metrics);
    supervise(&board, &sockets.transfers, "transfers", transfer::serve);
    supervise(&board, &store, "discovery", discovery::run);
    supervise(&board, &store, "evidence", quarantine::save);
    supervise(&board, &store, "rollout rows", rollout::save::run);
    supervise(&board, &socket, "rollouts", rollout::coordinator::run);
    supervise(&board, &store, "configuration", watch::follow_configuration);
    supervise(&board, &store, "endpoints", watch::follow_endpoints);
    supervise(&board, &socket, "receive", peers::receive);
    supervise(&board, &socket, "broadcast", peers::broadcast);
    supervise(&board, &socket, "permits", peers::send_permits);
    supervise(&board, &socket, "announce", announce::run);
    supervise(&board, &reread, "reload", reload);
    supervise(&board, &Rc::new(()), "holder", |board, _| holder::confirm(board));
    supervise(&board, &Rc::new(()), "owner", |board, _| owner::run(board));
    supervise(&board, &Rc::new(()), "dispatcher", |board, _| dispatcher::run(board));
    supervise(&board, &Rc::new(()), "maintenance", |board, _| maintain(board));
    signal(SignalKind::terminate())?.recv().await;
    // The file may have changed without a signal.
    apply_settings(&board, &*reread, true);
    drain(&board, &socket).await;
    info!(board.log, "stopped"; Event::Stopped, "in_progress" => board.in_progress.get());
    Ok(())
}

/// Logs limits in the settings that do not cover what the node may hold.
fn check_shares(board: &Blackboard) {
    let shares = &board.shares;
    if shares.exceed_memory() || shares.exceed_descriptors() {
        warn!(board.log, "limits exceeded by their shares"; Event::SettingsContradict,
            "memory" => board.settings.memory, "memory_sum" => shares.memory_sum(),
            "descriptors" => board.settings.descriptors,
            "descriptor_sum" => shares.descriptor_sum());
    }
}

/// Runs a task, and again if it panics: an unexpected error in one task must end neither the process
/// nor the task's duty.
fn supervise<T: 'static, F: Future<Output = ()> + 'static>(
    board: &Rc<Blackboard>,
    resource: &Rc<T>,
    name: &'static str,
    task: impl Fn(Rc<Blackboard>, Rc<T>) -> F + 'static,
) {
    let (board, resource) = (Rc::clone(board), Rc::clone(resource));
    spawn_local(async move {
        while let Err(e) = spawn_local(task(Rc::clone(&board), Rc::clone(&resource))).await {
            board.metrics.count("task_failed", name);
            error!(board.log, "task failed"; Event::TaskFailed, "task" => name, "error" => %e);
            tokio::time::sleep(TASK_RESTART_DELAY).await;
        }
    });
}

async fn drain(board: &Blackboard, socket: &UdpSocket) {
    let started = board.now();
    board.set_phase(Phase::Draining);
    info!(board.log, "draining"; Event::Draining, "in_progress" => board.in_progress.get());
    let max_drain = board.bounds.get().grace.saturating_sub(GRACE_MARGIN);
    board.exit_at.set(Some(started + max_drain));
    loop {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        let elapsed = board.now().since(started);
        enter(board, phase_after(elapsed, max_drain));
        let done = board.phase() >= Phase::Closing && board.in_progress.get() == 0;
        if done || elapsed >= max_drain + ANSWER_TIME {
            break;
        }
    }
    peers::announce_leave(board, socket);
}

/// Phase some time after the stop signal.
fn phase_after(elapsed: Duration, max_drain: Duration) -> Phase {
    if elapsed >= max_drain {
        Phase::Ending
    } else if elapsed >= max_drain - max_drain / REFUSING_DIVISOR {
        Phase::Refusing
    } else if elapsed >= READINESS_DELAY {
        Phase::Closing
    } else {
        Phase::Draining
    }
}

fn enter(board: &Blackboard, phase: Phase) {
    let before = board.phase();
    if phase <= before {
        return;
    }
    board.set_phase(phase);
    info!(board.log, "draining"; Event::Draining, "phase" => format!("{phase:?}"),
        "in_progress" => board.in_progress.get(),
        "waiting" => board.dispatcher.borrow().waiting());
    if phase >= Phase::Refusing && before < Phase::Refusing {
        dispatcher::refuse_all(board);
        holder::refuse_all(board);
    }
}

async fn maintain(board: Rc<Blackboard>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        let now = board.now();
        board.pool.prune(now);
    }
}

/// Checks the settings file on each signal and at intervals.
async fn reload(board: Rc<Blackboard>, reread: Rc<impl Fn() -> Result<Reread>>) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(e) => {
            return warn!(board.log, "installing the reload signal handler failed"; "error" => %e);
        }
    };
    loop {
        // The file is checked on a timeout, too.
        let signalled = tokio::time::timeout(SETTINGS_CHECK_INTERVAL, hangups.recv()).await.is_ok();
        apply_settings(&board, &*reread, signalled);
    }
}

/// Puts the bounds of the settings file in force. Other settings take effect at the next start.
fn apply_settings(board: &Blackboard, reread: &impl Fn() -> Result<Reread>, signalled: bool) {
    let Reread { settings, others_changed } = match reread() {
        Ok(reread) => reread,
        Err(e) => {
            return warn!(board.log, "settings not reloaded"; Event::SettingsReloaded,
                "signalled" => signalled, "error" => format!("{e:#}"));
        }
    };
    let bounds = settings.bounds();
    let is_applied = bounds != board.bounds.get();
    if is_applied {
        board.set_bounds(bounds);
    }
    let needs_restart = others_changed || board.settings.needs_restart(&settings);
    if needs_restart || is_applied || signalled {
        info!(board.log, "settings read"; Event::SettingsReloaded, "signalled" => signalled,
            "changed" => needs_restart || is_applied, "bounds_applied" => is_applied,
            "needs_restart" => needs_restart);
    }
}

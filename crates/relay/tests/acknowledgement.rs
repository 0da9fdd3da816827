//! Peers that are gone, and peers that are slow, by the state of their connections.

use relay::transport::{
    ACKNOWLEDGEMENT_TIMEOUT,
    acknowledgement::{Acknowledgement, State, Verdict},
};
use std::time::Duration;
use units::Time;

const STEP: Duration = Duration::from_millis(250);
/// Longer than any pause that a peer may make.
const LONG: Duration = Duration::from_secs(60);

/// Time until a peer counts as gone, if it ever does.
fn gone_after(state: impl Fn(Duration) -> State) -> Option<Duration> {
    let mut peer = Acknowledgement::default();
    let start = Time::from_millis(10_000);
    peer.begin(start);
    let times = (1..).map(|step| STEP * step).take_while(|time| *time < LONG);
    times.into_iter().find(|time| peer.update(state(*time), start + *time) == Verdict::Gone)
}

#[test]
fn peer_that_acknowledges_nothing_is_gone_in_time() {
    // Nothing has arrived since before the data was sent, or the kernel does not tell.
    let silent = |time| State {
        unacknowledged: 1,
        last_received: Duration::from_secs(10) + time,
        ..State::default()
    };
    let unknown = |_| State { unacknowledged: 1, ..State::default() };
    for after in [gone_after(silent), gone_after(unknown)] {
        let after = after.expect("the peer is gone");
        assert!(after >= ACKNOWLEDGEMENT_TIMEOUT && after <= ACKNOWLEDGEMENT_TIMEOUT + STEP);
    }
}

/// A closed window leaves bytes unsent and nothing unacknowledged.
#[test]
fn peer_with_a_closed_window_is_not_gone() {
    let closed = |time: Duration| State {
        unsent: 20_000,
        last_received: time / 2,
        unanswered_probes: u8::from(time.as_secs().is_multiple_of(2)),
        ..State::default()
    };
    assert_eq!(gone_after(closed), None);
    let unanswered = |time: Duration| State {
        unsent: 20_000,
        unanswered_probes: u8::try_from(time.as_secs() / 2).expect("few probes"),
        ..State::default()
    };
    assert_eq!(gone_after(unanswered), Some(Duration::from_secs(6)));
}

/// A peer that takes in one segment at a time, or refuses segments that it has no room for, answers.
#[test]
fn peer_that_answers_is_not_gone() {
    let progress = |time: Duration| State {
        unacknowledged: 3,
        acknowledged: time.as_secs(),
        ..State::default()
    };
    assert_eq!(gone_after(progress), None);
    let answers = |time: Duration| State {
        unacknowledged: 3,
        last_received: Duration::from_millis(
            1 + u64::try_from(time.as_millis()).expect("short") % 2_000,
        ),
        ..State::default()
    };
    assert_eq!(gone_after(answers), None);
}

#[test]
fn everything_acknowledged_is_confirmed() {
    let mut peer = Acknowledgement::default();
    assert_eq!(peer.update(State::default(), Time::from_millis(9_000)), Verdict::Confirmed);
    let sent = State { unacknowledged: 1, ..State::default() };
    peer.begin(Time::from_millis(60_000));
    assert_eq!(peer.update(sent, Time::from_millis(60_100)), Verdict::Outstanding);
}

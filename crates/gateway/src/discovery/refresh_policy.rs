//! When to call discovery, and until when the list that is known holds.
use crate::clock::duration_from_ms;
use irishinge_settings::{DiscoveryMode, SocketSettings};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Where lists are pushed, the agent on the gateway's own machine answers at once and free, and what it has counts
/// as told, so that the list must be here again well inside the grace after anything that can happen to a watch.
/// Parts of the grace: the wait of a watch, the patience beyond it, and the longest pause after a failed call.
const PUSHED_WAIT: f64 = 0.4;
const PUSHED_PATIENCE: f64 = 0.2;
const PUSHED_PAUSE: f64 = 0.05;
/// These parts are of this at most, so that a long grace does not make for a sleepy watch, and of this at least.
const GRACE_MOST: Duration = Duration::from_millis(2500);
const GRACE_LEAST: Duration = Duration::from_millis(250);

/// Where lists are asked for, a change counts as told so long after discovery had it and could be reached, and so
/// long after SIGHUP at the latest. By a margin before that a list that was not heard of again has expired.
pub(super) const TOLD_AFTER: Duration = Duration::from_millis(6000);
pub(super) const TOLD_AFTER_MOVE: Duration = Duration::from_millis(4000);
pub(super) const MARGIN: Duration = Duration::from_millis(500);
/// Beyond its wait, an answer that has not come by now is not waited for. A watch may have been silent from its first
/// moment, so it waits for no longer than leaves room for this, the spread below, and the answer to the next call.
pub(super) const ASKED_PATIENCE: Duration = Duration::from_millis(500);
/// Room for a connection and an answer, where discovery is not pressed.
pub(super) const ANSWER_ROOM: Duration = Duration::from_millis(1250);
/// An answer that is later than this has waited in line: discovery is pressed.
const LATE: Duration = Duration::from_millis(250);
/// Then watches wait for longer, which is fewer calls, and leave so much for their answers to wait in line.
const PRESSED_ROOM: Duration = Duration::from_millis(1000);
/// Discovery has calls wait in turn, for 2 s as far as seen, before it turns them away, and works through those too
/// that have given up. So nobody gives up a first call, or any while discovery is pressed, before that.
pub(super) const LINE_PATIENCE: Duration = Duration::from_millis(2200);
/// A connection that has not come up by now will not: there is time for one lost packet to be sent again.
pub(super) const CONNECT_PATIENCE: Duration = Duration::from_millis(1150);
/// After a failed call the next comes at a time drawn by chance from a window: at first this, whatever the fleet's
/// size. After a watch that broke it is so much less as to leave room for an answer before the list expires; and at
/// the least the second, since watches may all have fallen silent at once.
pub(super) const BACKOFF_FIRST: Duration = Duration::from_millis(2000);
pub(super) const SPREAD: Duration = Duration::from_millis(250);
/// A refusal widens the window by the first factor, up to the most for each gateway: together they then call 17 times
/// a second. While the list holds, no pause is longer than the third: a call that was turned away just before discovery
/// came back to lists, the pause and an answer end inside what is told and the grace. A list narrows the window by the
/// second factor only: were refusals forgotten with each list, a fleet larger than discovery can serve would keep its
/// line full.
const BACKOFF_WIDEN: f64 = 1.7;
pub(super) const REFUSED_PAUSE: Duration = Duration::from_millis(4250);
const BACKOFF_NARROW: f64 = 0.75;
pub(super) const BACKOFF_MOST_EACH: Duration = Duration::from_millis(120);

/// What turns calls away may be overrun, or down behind a front that answers for it: a gateway can't tell. So refusals
/// renew a list like an outage, each for the first, part of the grace included: the longest pause and another refusal,
/// 2 s late. But not for longer than the second after the last list: an outage of ten seconds, the wait of the watch
/// before it and the calls behind it.
pub(super) const REFUSED_HOLDS: Duration = Duration::from_millis(7000);
pub(super) const REFUSED_MOST: Duration = Duration::from_millis(20_000);

/// How long to wait, to be patient and to pause, by how lists come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RefreshPolicy {
    /// A watch waits so long for news at most.
    pub(super) wait: Duration,
    /// What has not answered so long after that is not waited for.
    pub(super) patience: Duration,
    /// The same for the first call on a connection, and for the connection.
    pub(super) first_patience: Duration,
    pub(super) connect_patience: Duration,
    /// The first window of pauses, and the longest.
    pub(super) first: Duration,
    pub(super) most: Duration,
    /// Each connection begins with the whole list, whatever version is known.
    pub(super) whole_first: bool,
    /// A list holds for so long after it was last known to be current; none: for good.
    pub(super) holds: Option<Duration>,
}

impl RefreshPolicy {
    /// The pace that the settings ask for, in a fleet of so many gateways.
    pub(crate) fn new(settings: &SocketSettings, gateways: usize) -> Self {
        match settings.discovery_mode {
            DiscoveryMode::Pushed => {
                let grace = duration_from_ms(settings.drain_grace_ms).clamp(GRACE_LEAST, GRACE_MOST);
                let patience = grace.mul_f64(PUSHED_PATIENCE);
                let most = grace.mul_f64(PUSHED_PAUSE);
                RefreshPolicy {
                    wait: grace.mul_f64(PUSHED_WAIT),
                    patience,
                    first_patience: patience,
                    connect_patience: patience,
                    first: most / 2,
                    most,
                    whole_first: true,
                    holds: None,
                }
            }
            DiscoveryMode::OnRequest => {
                let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
                RefreshPolicy {
                    wait: TOLD_AFTER - MARGIN,
                    patience: ASKED_PATIENCE,
                    first_patience: LINE_PATIENCE,
                    connect_patience: CONNECT_PATIENCE,
                    first: BACKOFF_FIRST,
                    most: BACKOFF_MOST_EACH.saturating_mul(gateways).max(BACKOFF_FIRST),
                    whole_first: false,
                    holds: Some(TOLD_AFTER - MARGIN),
                }
            }
        }
    }
}

/// Why a call brought no list.
#[derive(Debug)]
pub(super) enum Failure {
    /// Discovery could not be reached by a call begun then, so that nothing it has counts as told yet.
    Unreachable {
        /// When the call began.
        begun: Instant,
        /// What was seen.
        why: &'static str,
    },
    /// Turned away: discovery is there and overrun.
    TurnedAway,
    /// Something was reached on a new connection, or gave an answer, but no list.
    Unanswered(&'static str),
    /// A watch broke or fell silent: discovery may be there or not.
    Broken(&'static str),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::TurnedAway => write!(f, "turned away"),
            Failure::Unreachable { why, .. } | Failure::Unanswered(why) | Failure::Broken(why) => {
                write!(f, "{why}")
            }
        }
    }
}

/// Keeps the times of a watch: exponential back-off with full jitter, and until when the list holds.
pub(super) struct Keeper {
    pub(super) policy: RefreshPolicy,
    window: Duration,
    random: fastrand::Rng,
    /// The list holds until then.
    until: Instant,
    /// Refusals renew it up to then.
    renewed_most: Instant,
    /// Discovery was reached since the last list. What it had then counts as told in time, whether or not it
    /// can be reached now.
    reached: bool,
    /// The last call was turned away, left without an answer or answered late: discovery is pressed.
    pressed: bool,
}

impl Keeper {
    /// What is known at the start of a process counts as just told.
    pub(super) fn new(policy: RefreshPolicy, seed: u64, now: Instant) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        let until = now + policy.holds.unwrap_or_default();
        let renewed_most = now + REFUSED_MOST;
        Keeper { policy, window: policy.first, random, until, renewed_most, reached: false, pressed: false }
    }

    /// Until when the list holds; none: for good.
    pub(super) fn until(&self) -> Option<Instant> {
        self.policy.holds.map(|_| self.until)
    }

    /// How long a watch called now may wait for news, and how long it is waited for beyond that.
    pub(super) fn watch(&self, first: bool, now: Instant) -> (Duration, Duration) {
        let policy = &self.policy;
        let patience = if first || self.pressed { policy.first_patience } else { policy.patience };
        // Waiting longer is fewer calls; who then falls behind its time sends nothing until its answer is here.
        let room = if self.pressed { PRESSED_ROOM } else { patience + SPREAD + ANSWER_ROOM };
        let left = self.until().map(|until| until.saturating_duration_since(now));
        (left.map_or(policy.wait, |left| left.saturating_sub(room).min(policy.wait)), patience)
    }

    /// A list has come, if one with no changes, so late after it was due.
    pub(super) fn listed(&mut self, late: Duration, now: Instant) {
        self.until = now + self.policy.holds.unwrap_or_default();
        self.renewed_most = now + REFUSED_MOST;
        self.reached = false;
        self.pressed = late > LATE;
        self.window = self.window.mul_f64(BACKOFF_NARROW).max(self.policy.first);
    }

    /// Discovery is at another address now.
    pub(super) fn moved(&mut self, now: Instant) {
        if self.policy.holds.is_some() {
            self.until = self.until.min(now + TOLD_AFTER_MOVE - MARGIN);
            self.renewed_most = self.until;
        }
        self.pressed = false;
        self.window = self.policy.first;
    }

    /// A call has failed; the pause until the next.
    pub(super) fn failed(&mut self, failure: &Failure, now: Instant) -> Duration {
        let Some(holds) = self.policy.holds else {
            let window = self.window;
            self.widen();
            return self.draw(window);
        };
        match failure {
            // To call what cannot be reached costs it nothing, and its return must not be missed.
            Failure::Unreachable { begun, .. } => {
                // What was reached counts as told in time, and once a list has expired only another can help.
                if !self.reached && now < self.until {
                    self.until = self.until.max(*begun + holds);
                }
                self.draw(self.policy.first)
            }
            Failure::TurnedAway => {
                self.pressed = true;
                if now < self.until {
                    self.until = self.until.max((now + REFUSED_HOLDS).min(self.renewed_most));
                }
                let holding = now < self.until;
                let window = if holding { self.window.min(REFUSED_PAUSE) } else { self.window };
                self.widen();
                if !holding {
                    // Nothing is sent meanwhile.
                    self.widen();
                }
                self.draw(window)
            }
            // Silence may be an outage, whose end must not be missed, and the patience paces these calls too.
            Failure::Unanswered(_) => {
                (self.reached, self.pressed) = (true, true);
                self.draw(self.policy.first)
            }
            Failure::Broken(_) => {
                let left = self.until.saturating_duration_since(now);
                let room = left.saturating_sub(ANSWER_ROOM).max(SPREAD);
                self.draw(if left.is_zero() { self.window } else { self.window.min(room) })
            }
        }
    }

    fn widen(&mut self) {
        self.window = self.window.mul_f64(BACKOFF_WIDEN).min(self.policy.most);
    }

    fn draw(&mut self, window: Duration) -> Duration {
        window.mul_f64(self.random.f64())
    }
}

//! The list of hosts: its JSON, and the watch that keeps it current.
use crate::core::Core;
use crate::link::Link;
use crate::log;
use bytes::Bytes;
use hatchhead::{ListKind, ServerEntry, ServerId, ServerState};
use hatchhead_conf::Names;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use std::convert::Infallible;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long a watch waits for news; a silent discovery is noticed a little after that.
const WAIT_MS: u64 = 5000;
/// Beyond the wait, an answer that has not come by now is not waited for.
const PATIENCE: Duration = Duration::from_millis(1000);
/// After a failed call the next comes at a time drawn by chance from a window that doubles up to the most. Both
/// grow with the fleet: discovery has calls wait in turn and works through those that have given up too, so
/// gateways that come back at their own pace, or in step, keep it overrun for good. With these all gateways
/// together call 20 times a second in the first window and 10 times in the later ones.
const BACKOFF_EACH: Duration = Duration::from_millis(50);
const BACKOFF_MOST_EACH: Duration = Duration::from_millis(100);
/// The window that no fleet is too small for.
const BACKOFF_LEAST: Duration = Duration::from_millis(800);
/// A list may hold this much.
const LIST_MOST: usize = 4 << 20;

/// A list, or the changes to one, as discovery writes it.
#[derive(Deserialize)]
pub struct List {
    /// Its version.
    pub rev: u64,
    /// It is the whole list.
    #[serde(default)]
    pub all: bool,
    targets: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u64,
    state: String,
    #[serde(default)]
    boot_ms: f64,
}

/// A host as the module and as the pool want it.
pub struct Listed {
    /// For the module.
    pub entry: ServerEntry,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// A host's id must be the same at every gateway, whatever its address there, so it is a hash of the uid.
fn server_id(uid: &str) -> ServerId {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(uid.as_bytes());
    ServerId(hasher.finish())
}

impl List {
    /// Whether it names nobody.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The hosts of the list. An entry that cannot be read is logged and left out: in a whole list that
    /// takes the host for gone, which keeps the rules.
    pub fn hosts(self, names: &Names, now_ms: f64) -> Vec<Listed> {
        let read = |value: serde_json::Value| {
            let listed = serde_json::from_value(value).map_err(|e| e.to_string());
            match listed.and_then(|t: Target| t.listed(names, now_ms)) {
                Ok(listed) => Some(listed),
                Err(message) => {
                    log::line(format_args!("an entry of the list is left out: {message}"));
                    None
                }
            }
        };
        self.targets.into_iter().filter_map(read).collect()
    }
}

impl Target {
    fn listed(self, names: &Names, now_ms: f64) -> Result<Listed, String> {
        // A zone or kind that the settings do not name is one of its own.
        let index =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len());
        let state = match self.state.as_str() {
            "up" => ServerState::Ready,
            "draining" => ServerState::Draining,
            "removed" => ServerState::Gone,
            other => return Err(format!("unknown state: {other}")),
        };
        let booted = self.boot_ms.is_finite() && self.boot_ms > 0.0;
        let entry = ServerEntry {
            id: server_id(&self.uid),
            zone: index(&names.zones, &self.az),
            kind: index(&names.kinds, &self.model),
            cell: self.pod_group,
            state,
            // A start in the future would be a cold host with less than no capacity.
            started_at_ms: booted.then(|| self.boot_ms.min(now_ms)),
        };
        Ok(Listed { entry, addr: self.endpoint })
    }
}

/// Pauses between failed calls: exponential back-off with full jitter.
struct Backoff {
    first: Duration,
    most: Duration,
    window: Duration,
    random: fastrand::Rng,
}

impl Backoff {
    fn new(gateways: usize, seed: u64) -> Self {
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        let first = BACKOFF_EACH.saturating_mul(gateways);
        let most = BACKOFF_MOST_EACH.saturating_mul(gateways).max(BACKOFF_LEAST);
        Backoff { first, most, window: first, random: fastrand::Rng::with_seed(seed) }
    }

    fn reset(&mut self) {
        self.window = self.first;
    }

    fn next(&mut self) -> Duration {
        let pause = self.window.mul_f64(self.random.f64());
        self.window = (2 * self.window).min(self.most);
        pause
    }
}

/// Why a call brought no list.
#[derive(Debug)]
enum Failure {
    /// Turned away: discovery is there and overrun, and what is known of the list holds on.
    Overrun,
    /// Anything else: whether changes were missed is not known.
    Outage(&'static str),
}

/// Keeps the list current, for good. It goes on from the version that is known, so that what discovery has to
/// write are changes; after an outage, and at a new address, it starts again with the whole list.
pub async fn watch(
    core: Rc<Core>,
    mut addr: watch::Receiver<SocketAddr>,
    known: Option<u64>,
    gateways: usize,
    seed: u64,
) {
    let (mut rev, mut backoff) = (known, Backoff::new(gateways, seed));
    loop {
        let now = *addr.borrow_and_update();
        let calls = async {
            let Err::<Infallible, Failure>(failure) = follow(&core, now, &mut rev, &mut backoff).await;
            match failure {
                Failure::Overrun => log::line("discovery: turned away; the list is kept"),
                Failure::Outage(message) => {
                    rev = None;
                    log::line(format_args!("discovery: {message}; the list is kept"));
                }
            }
            sleep(backoff.next()).await;
        };
        // A new address ends a call and a pause alike: the old one may never tell anything again.
        let moved = tokio::select! {
            () = calls => false,
            Ok(()) = addr.changed() => true,
        };
        if moved {
            rev = None;
            backoff.reset();
        }
    }
}

/// Calls one address over one connection until that fails.
async fn follow(
    core: &Rc<Core>,
    addr: SocketAddr,
    rev: &mut Option<u64>,
    backoff: &mut Backoff,
) -> Result<Infallible, Failure> {
    let connect = timeout(PATIENCE, Link::connect(addr)).await;
    let connect = connect.map_err(|_| Failure::Outage("no connection in time"))?;
    let mut link = connect.map_err(|_| Failure::Outage("no connection"))?;
    loop {
        let list = call(&mut link, addr, *rev).await?;
        *rev = Some(list.rev);
        backoff.reset();
        core.on_list(if list.all { ListKind::Whole } else { ListKind::Changes }, list);
    }
}

async fn call(link: &mut Link, addr: SocketAddr, rev: Option<u64>) -> Result<List, Failure> {
    let (path, wait) = match rev {
        Some(rev) => (format!("/v1/servers?after={rev}&wait_ms={WAIT_MS}"), Duration::from_millis(WAIT_MS)),
        None => ("/v1/servers".to_string(), Duration::ZERO),
    };
    let request = Request::get(path).header(HOST, addr.to_string()).body(Full::new(Bytes::new()));
    let request = request.map_err(|_| Failure::Outage("a call that cannot be written"))?;
    let answer = timeout(wait + PATIENCE, link.exchange(request, LIST_MOST)).await;
    let answer = answer.map_err(|_| Failure::Outage("no answer in time"))?;
    let answer = answer.map_err(|_| Failure::Outage("the connection broke"))?;
    match answer.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return Err(Failure::Overrun),
        _ => return Err(Failure::Outage("an answer other than 200")),
    }
    serde_json::from_slice(answer.body()).map_err(|_| Failure::Outage("a list that cannot be read"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cmp::Reverse;
    use std::collections::{BinaryHeap, VecDeque};

    /// When each gateway of a fleet that starts at once has its first answer, from a discovery that serves a call
    /// in `service` and works through those, too, that have waited 2 s and given up. None by 30 s: `None`.
    fn first_answers(gateways: usize, service: f64) -> Vec<Option<f64>> {
        const PATIENCE: f64 = 2.0;
        let mut backoffs: Vec<Backoff> = (0..gateways).map(|g| Backoff::new(gateways, g as u64)).collect();
        let mut answered = vec![None; gateways];
        // Calls to come, in microseconds, and calls waiting or dead in the line.
        let mut calls: BinaryHeap<Reverse<(u64, usize)>> = (0..gateways).map(|g| Reverse((0, g))).collect();
        let (mut line, mut free) = (VecDeque::new(), 0.0);
        while let Some(Reverse((at, gateway))) = calls.pop() {
            let now = at as f64 / 1e6;
            if now > 30.0 {
                break;
            }
            while line.front().is_some_and(|done| *done <= now) {
                line.pop_front();
            }
            free = f64::max(free, now) + service;
            line.push_back(free);
            if free - now <= PATIENCE {
                answered[gateway] = Some(free);
            } else {
                let again = now + PATIENCE + backoffs[gateway].next().as_secs_f64();
                calls.push(Reverse(((again * 1e6) as u64, gateway)));
            }
        }
        answered
    }

    #[test]
    fn a_hundred_gateways_that_start_at_once_all_get_through_to_a_slow_discovery() {
        let answers = first_answers(100, 0.05);
        let last = answers.iter().map(|a| a.expect("an answer within 30 s")).fold(0.0, f64::max);
        assert!(last < 20.0, "the last one at {last} s");
    }

    #[test]
    fn pauses_are_drawn_from_a_window_that_doubles_up_to_its_bound_and_starts_anew() {
        let mut backoff = Backoff::new(100, 7);
        let pauses: Vec<Duration> = (0..200).map(|_| backoff.next()).collect();
        assert!(pauses[0] <= BACKOFF_EACH * 100);
        assert!(pauses.iter().all(|p| *p <= BACKOFF_MOST_EACH * 100));
        assert!(pauses.iter().any(|p| *p > BACKOFF_EACH * 100), "the window has grown");
        backoff.reset();
        assert!(backoff.next() <= BACKOFF_EACH * 100);
        let mut other = Backoff::new(100, 8);
        assert!((0..10).any(|i| other.next() != pauses[i]), "another gateway keeps out of step");
        assert!(Backoff::new(usize::MAX, 7).next() > Duration::ZERO);
    }
}

//! The list of hosts: its JSON, and the watch that keeps it current.
mod pace;
#[cfg(test)]
mod tests;

pub(crate) use self::pace::Pace;
use self::pace::{Failure, Keeper};
use crate::dispatcher::Dispatcher;
use crate::http_connection::HttpConnection;
use crate::logging::target;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use irishinge_admission::{EndpointEntry, EndpointId, EndpointState, ListKind};
use irishinge_settings::Names;
use serde::Deserialize;
use std::convert::Infallible;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// A list may hold this much.
const LIST_MOST: usize = 4 << 20;

/// A list, or the changes to one, as discovery writes it.
#[derive(Deserialize)]
pub(crate) struct List {
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
pub(crate) struct DiscoveredEndpoint {
    /// For the module.
    pub entry: EndpointEntry,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// A host's id must be the same at every gateway, whatever its address there, so it is a hash of the uid.
fn server_id(uid: &str) -> EndpointId {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(uid.as_bytes());
    EndpointId(hasher.finish())
}

impl List {
    /// Whether it names nobody.
    pub(crate) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The hosts of the list. An entry that cannot be read is logged and left out: in a whole list that
    /// takes the host for gone, which keeps the rules.
    pub(crate) fn hosts(self, names: &Names, now_ms: f64) -> Vec<DiscoveredEndpoint> {
        let read = |value: serde_json::Value| {
            let listed = serde_json::from_value(value).map_err(|e| e.to_string());
            match listed.and_then(|t: Target| t.listed(names, now_ms)) {
                Ok(listed) => Some(listed),
                Err(message) => {
                    tracing::warn!(target: target::DISCOVERY, reason = %message, "endpoint entry ignored: it cannot be read");
                    None
                }
            }
        };
        self.targets.into_iter().filter_map(read).collect()
    }
}

impl Target {
    fn listed(self, names: &Names, now_ms: f64) -> Result<DiscoveredEndpoint, String> {
        // A zone or kind that the settings do not name is one of its own.
        let index =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len());
        let state = match self.state.as_str() {
            "up" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Gone,
            other => return Err(format!("unknown state: {other}")),
        };
        let booted = self.boot_ms.is_finite() && self.boot_ms > 0.0;
        let entry = EndpointEntry {
            id: server_id(&self.uid),
            zone: index(&names.zones, &self.az),
            kind: index(&names.kinds, &self.model),
            cell: self.pod_group,
            state,
            // A start in the future would be a cold host with less than no capacity.
            started_at_ms: booted.then(|| self.boot_ms.min(now_ms)),
        };
        Ok(DiscoveredEndpoint { entry, addr: self.endpoint })
    }
}

/// What a gateway knows of its watch.
struct Watch {
    core: Rc<Dispatcher>,
    /// The version to go on from; none where the whole list is wanted.
    rev: Option<u64>,
    keeper: Keeper,
    /// Until when the list holds, for `expire`.
    until: watch::Sender<Instant>,
    /// The last call brought a list. While none does, only the first failure is told.
    well: bool,
}

/// Keeps the list current, for good. Where lists are asked for it goes on from the version that is known, so that
/// what discovery has to write are changes. After an outage, at a new address, and on each new connection to an
/// agent, it starts again with the whole list. Where lists are asked for, one that was not heard of again in time has
/// expired: nothing is sent by it until discovery has answered.
pub(crate) async fn watch(
    core: Rc<Dispatcher>,
    mut addr: watch::Receiver<SocketAddr>,
    known: Option<u64>,
    pace: Pace,
    seed: u64,
) {
    let keeper = Keeper::new(pace, seed, Instant::now());
    let (until, holds) = watch::channel(Instant::now());
    let mut watch = Watch { core, rev: known, keeper, until, well: true };
    watch.tell_until();
    if watch.keeper.until().is_some() {
        let core = watch.core.clone();
        spawn_local(expire(holds, move || {
            tracing::error!(
                target: target::DISCOVERY,
                "endpoint list expired; nothing is sent until discovery answers"
            );
            core.on_list_expired();
        }));
    }
    loop {
        let now = *addr.borrow_and_update();
        // A new address ends a call and a pause alike: the old one may never tell anything again.
        let moved = tokio::select! {
            () = watch.follow_until_failure(now) => false,
            Ok(()) = addr.changed() => true,
        };
        if moved {
            watch.rev = None;
            watch.keeper.moved(Instant::now());
            watch.tell_until();
        }
    }
}

/// Calls `expired` each time that the list has held for as long as it was said to.
async fn expire(mut holds: watch::Receiver<Instant>, mut expired: impl FnMut()) {
    loop {
        let until = *holds.borrow_and_update();
        tokio::select! {
            biased;
            changed = holds.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            () = sleep_until(until) => expired(),
        }
        if holds.changed().await.is_err() {
            return;
        }
    }
}

impl Watch {
    /// Follows one address until that fails, and pauses.
    async fn follow_until_failure(&mut self, addr: SocketAddr) {
        let Err::<Infallible, Failure>(failure) = self.follow(addr).await;
        // What turns a call away is overrun, and what is known of the list holds on.
        if !matches!(failure, Failure::TurnedAway) {
            self.rev = None;
        }
        if std::mem::take(&mut self.well) {
            tracing::warn!(
                target: target::DISCOVERY,
                discovery = %addr,
                reason = %failure,
                "discovery failed; the last endpoint list is kept"
            );
        }
        let pause = self.keeper.failed(&failure, Instant::now());
        self.tell_until();
        sleep(pause).await;
    }

    /// Tells those who act on it until when the list holds.
    fn tell_until(&self) {
        let Some(until) = self.keeper.until() else { return };
        self.core.hosts().list_holds(until);
        self.until.send_if_modified(|told| std::mem::replace(told, until) != until);
    }

    /// Calls one address over one connection until that fails.
    async fn follow(&mut self, addr: SocketAddr) -> Result<Infallible, Failure> {
        let pace = self.keeper.pace;
        if pace.whole_first {
            self.rev = None;
        }
        let begun = Instant::now();
        let connect = timeout(pace.connect_patience, HttpConnection::connect(addr)).await;
        let connect = connect.map_err(|_| Failure::Unreachable { begun, why: "no connection in time" })?;
        let mut link = connect.map_err(|_| Failure::Unreachable { begun, why: "no connection" })?;
        // Where lists are pushed, the connection and the first call over it share one patience.
        let called = if pace.whole_first { begun } else { Instant::now() };
        let (mut list, mut late) = match self.call(&mut link, addr, true, called).await {
            Err(Failure::Broken(why)) => return Err(Failure::Unanswered(why)),
            answer => answer?,
        };
        loop {
            // What is older than the version asked from was overtaken, or versions have begun anew. A change to
            // another list than the one known must not be taken in: only the whole list tells.
            if self.rev.is_some_and(|known| list.rev < known) {
                return Err(Failure::Broken("a version that goes back"));
            }
            self.rev = Some(list.rev);
            self.keeper.listed(late, Instant::now());
            self.tell_until();
            if !std::mem::replace(&mut self.well, true) {
                tracing::info!(target: target::DISCOVERY, discovery = %addr, "discovery answers again; endpoint list current");
            }
            self.core.on_list(if list.all { ListKind::Whole } else { ListKind::Changes }, list);
            (list, late) = self.call(&mut link, addr, false, Instant::now()).await?;
        }
    }

    /// One call, for what is newer than a version or for the whole list; its patience has run since `begun`.
    async fn call(
        &self,
        link: &mut HttpConnection,
        addr: SocketAddr,
        first: bool,
        begun: Instant,
    ) -> Result<(List, Duration), Failure> {
        let (wait, patience) = self.keeper.watch(first, begun);
        let (path, wait) = match self.rev {
            Some(rev) => (format!("/v1/servers?after={rev}&wait_ms={}", wait.as_millis()), wait),
            None => ("/v1/servers".to_string(), Duration::ZERO),
        };
        let request = Request::get(path).header(HOST, addr.to_string()).body(Full::new(Bytes::new()));
        let request = request.map_err(|_| Failure::Broken("a call that cannot be written"))?;
        let answer = timeout_at(begun + wait + patience, link.exchange(request, LIST_MOST)).await;
        let answer = answer.map_err(|_| Failure::Broken("no answer in time"))?;
        let answer = answer.map_err(|_| Failure::Broken("the connection broke"))?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => return Err(Failure::TurnedAway),
            _ => return Err(Failure::Unanswered("an answer other than 200")),
        }
        let list = serde_json::from_slice(answer.body());
        let list = list.map_err(|_| Failure::Unanswered("a list that cannot be read"))?;
        Ok((list, begun.elapsed().saturating_sub(wait)))
    }
}

//! The watch that keeps the endpoint list current.
use super::endpoint_list::EndpointList;
use super::refresh_policy::{Failure, Keeper, RefreshPolicy};
use crate::http_connection::HttpConnection;
use crate::logging::target;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use irishinge_admission::ListKind;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// A list may hold this much.
const LIST_MOST: usize = 4 << 20;

/// Who acts on the endpoint list.
pub(crate) trait EndpointListObserver {
    /// Discovery has answered with the whole list or with the changes to it.
    fn list_received(&self, kind: ListKind, list: EndpointList);

    /// The list may be used until `until`. Called at the start, at each renewal and where the lease is cut short.
    fn lease_updated(&self, until: Instant);

    /// The lease has run out: nothing may be sent by the list until the next one is received.
    fn lease_expired(&self);
}

/// What a gateway knows of its watch.
struct Watch<O> {
    observer: O,
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
pub(crate) async fn watch_endpoint_list<O: EndpointListObserver + Clone + 'static>(
    observer: O,
    mut addr: watch::Receiver<SocketAddr>,
    known: Option<u64>,
    policy: RefreshPolicy,
    seed: u64,
) {
    let keeper = Keeper::new(policy, seed, Instant::now());
    let (until, holds) = watch::channel(Instant::now());
    let mut watch = Watch { observer, rev: known, keeper, until, well: true };
    watch.tell_until();
    if watch.keeper.until().is_some() {
        let observer = watch.observer.clone();
        spawn_local(expire(holds, move || {
            tracing::error!(
                target: target::DISCOVERY,
                "endpoint list expired; nothing is sent until discovery answers"
            );
            observer.lease_expired();
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
pub(super) async fn expire(mut holds: watch::Receiver<Instant>, mut expired: impl FnMut()) {
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

impl<O: EndpointListObserver> Watch<O> {
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
        self.observer.lease_updated(until);
        self.until.send_if_modified(|told| std::mem::replace(told, until) != until);
    }

    /// Calls one address over one connection until that fails.
    async fn follow(&mut self, addr: SocketAddr) -> Result<Infallible, Failure> {
        let policy = self.keeper.policy;
        if policy.whole_first {
            self.rev = None;
        }
        let begun = Instant::now();
        let connect = timeout(policy.connect_patience, HttpConnection::connect(addr)).await;
        let connect = connect.map_err(|_| Failure::Unreachable { begun, why: "no connection in time" })?;
        let mut link = connect.map_err(|_| Failure::Unreachable { begun, why: "no connection" })?;
        // Where lists are pushed, the connection and the first call over it share one patience.
        let called = if policy.whole_first { begun } else { Instant::now() };
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
            self.observer.list_received(if list.all { ListKind::Whole } else { ListKind::Changes }, list);
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
    ) -> Result<(EndpointList, Duration), Failure> {
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

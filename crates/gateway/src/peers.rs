//! Datagrams between gateways.
use crate::dispatcher::Dispatcher;
use crate::logging::target;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, Instant};

/// A datagram holds this much at most.
const DATAGRAM_MOST: usize = 256;
/// After a failed receive, so that one that fails on and on does not spin.
const PAUSE: Duration = Duration::from_millis(10);

/// A token bucket for what this gateway sends its peers, all of them together. Where each sends no more than one
/// takes in, none is sent more than it takes in but by chance. Even parts for each peer would not do: in a large
/// fleet a gateway has much to say to the few that serve its customers, and nothing to the rest.
struct Allowance {
    per_s: f64,
    left: f64,
    filled: Instant,
}

impl Allowance {
    fn full(per_s: f64, now: Instant) -> Self {
        Allowance { per_s, left: per_s.max(1.0), filled: now }
    }

    /// Takes one message's part, if it is there.
    fn spend(&mut self, now: Instant) -> bool {
        let seconds = now.saturating_duration_since(self.filled).as_secs_f64();
        self.left = (self.left + self.per_s * seconds).min(self.per_s.max(1.0));
        self.filled = now;
        let enough = self.left >= 1.0;
        if enough {
            self.left -= 1.0;
        }
        enough
    }
}

/// The other gateways.
pub(crate) struct Peers {
    socket: Option<UdpSocket>,
    addrs: Vec<SocketAddr>,
    me: usize,
    allowance: RefCell<Allowance>,
}

impl Peers {
    /// Binds the socket, where there is one to bind.
    pub(crate) async fn bind(
        listen: Option<SocketAddr>,
        addrs: Vec<SocketAddr>,
        me: usize,
        in_per_s: f64,
    ) -> io::Result<Self> {
        let socket = match listen {
            Some(addr) => Some(UdpSocket::bind(addr).await?),
            None => None,
        };
        let allowance = RefCell::new(Allowance::full(in_per_s, Instant::now()));
        Ok(Peers { socket, addrs, me, allowance })
    }

    /// Where messages arrive, where they do.
    pub(crate) fn local_addr(&self) -> Option<SocketAddr> {
        self.socket.as_ref()?.local_addr().ok()
    }

    /// Sends a message to a peer, or to all. Like the network, it may lose it.
    pub(crate) fn tell(&self, to: Option<usize>, body: &str) {
        let Some(socket) = &self.socket else {
            return tracing::warn!(
                target: target::PEERS,
                reason = "no peer_listen address",
                "message not sent"
            );
        };
        if body.len() > DATAGRAM_MOST {
            return tracing::error!(
                target: target::PEERS,
                bytes = body.len(),
                reason = "longer than a datagram may be",
                "message not sent"
            );
        }
        let all = 0..self.addrs.len();
        for peer in all.filter(|p| *p != self.me && to.is_none_or(|t| t == *p)) {
            if !self.allowance.borrow_mut().spend(Instant::now()) {
                tracing::warn!(target: target::PEERS, peer, reason = "send rate limit", "message not sent");
                continue;
            }
            if let Err(error) = socket.try_send_to(body.as_bytes(), self.addrs[peer]) {
                tracing::warn!(target: target::PEERS, peer, %error, "message not sent");
            }
        }
    }

    /// Takes messages in, for good. What a stranger sends, and what is no text, is ignored.
    pub(crate) async fn listen(&self, core: Rc<Dispatcher>) {
        let Some(socket) = &self.socket else { return };
        let mut buffer = [0; DATAGRAM_MOST + 1];
        loop {
            let (length, sender) = match socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // A peer that is down makes an earlier send come back as an error here.
                    tracing::warn!(target: target::PEERS, %error, "cannot receive from peers");
                    sleep(PAUSE).await;
                    continue;
                }
            };
            let from = self.addrs.iter().position(|a| *a == sender).filter(|p| *p != self.me);
            match (from, std::str::from_utf8(&buffer[..length])) {
                (Some(from), Ok(body)) if length <= DATAGRAM_MOST => core.on_peer(from, body.to_string()),
                _ => tracing::warn!(
                    target: target::PEERS,
                    %sender,
                    bytes = length,
                    reason = "not from a configured peer, not text, or too long",
                    "datagram ignored"
                ),
            }
        }
    }
}

#[cfg(test)]
mod tests;

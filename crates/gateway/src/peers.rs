//! Messages between gateways, each a UDP datagram. Like the network, a gateway may lose them.
use crate::logging::target;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, Instant};

/// A datagram holds this much at most.
const MAX_DATAGRAM_BYTES: usize = 256;
/// After a failed receive, so that one that fails on and on does not spin.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A token bucket for what this gateway sends its peers, all of them together. Where each sends no more than one
/// accepts, none is sent more than it accepts but by chance. Even parts for each peer would not do: in a large fleet a
/// gateway has much to say to the few that own its customers' quotas, and nothing to the rest.
struct SendRateLimit {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl SendRateLimit {
    /// A full bucket: a second's worth, and one message at least.
    fn full(per_second: f64, now: Instant) -> Self {
        SendRateLimit { per_second, tokens: per_second.max(1.0), refilled_at: now }
    }

    /// Takes one message's token, if there is one.
    fn try_take(&mut self, now: Instant) -> bool {
        let seconds = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.per_second * seconds).min(self.per_second.max(1.0));
        self.refilled_at = now;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// Receives what peers send.
pub(crate) trait PeerMessageHandler {
    /// A message of the gateway of this number has arrived.
    fn on_peer_message(&self, from: usize, body: String);
}

/// The other gateways.
pub(crate) struct Peers {
    /// None where this gateway exchanges no messages.
    socket: Option<UdpSocket>,
    /// By the gateway's number.
    addrs: Vec<SocketAddr>,
    /// This gateway's number.
    me: usize,
    send_rate_limit: RefCell<SendRateLimit>,
}

impl Peers {
    /// Binds the socket at `listen`, where there is one. `accepted_per_second` is how many messages a gateway accepts.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub(crate) async fn bind(
        listen: Option<SocketAddr>,
        addrs: Vec<SocketAddr>,
        me: usize,
        accepted_per_second: f64,
    ) -> io::Result<Self> {
        let socket = match listen {
            Some(addr) => Some(UdpSocket::bind(addr).await?),
            None => None,
        };
        let send_rate_limit = RefCell::new(SendRateLimit::full(accepted_per_second, Instant::now()));
        Ok(Peers { socket, addrs, me, send_rate_limit })
    }

    /// The address that messages arrive at; none where none do.
    pub(crate) fn local_addr(&self) -> Option<SocketAddr> {
        self.socket.as_ref()?.local_addr().ok()
    }

    /// Sends a message to the peer of this number, or to all.
    pub(crate) fn send(&self, to: Option<usize>, body: &str) {
        let Some(socket) = &self.socket else {
            return tracing::warn!(
                target: target::PEERS,
                reason = "no peer_listen address",
                "message not sent"
            );
        };
        if body.len() > MAX_DATAGRAM_BYTES {
            return tracing::error!(
                target: target::PEERS,
                bytes = body.len(),
                reason = "longer than a datagram may be",
                "message not sent"
            );
        }
        for (peer, addr) in self.addrs.iter().enumerate() {
            if peer != self.me && to.is_none_or(|to| to == peer) {
                self.send_to(socket, peer, *addr, body);
            }
        }
    }

    fn send_to(&self, socket: &UdpSocket, peer: usize, addr: SocketAddr, body: &str) {
        if !self.send_rate_limit.borrow_mut().try_take(Instant::now()) {
            return tracing::warn!(target: target::PEERS, peer, reason = "send rate limit", "message not sent");
        }
        if let Err(error) = socket.try_send_to(body.as_bytes(), addr) {
            tracing::warn!(target: target::PEERS, peer, %error, "message not sent");
        }
    }

    /// Hands what peers send to `handler`, for good. What a stranger sends, and what is no text, is ignored.
    pub(crate) async fn receive(&self, handler: impl PeerMessageHandler) {
        let Some(socket) = &self.socket else { return };
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => self.on_datagram(&buffer[..length], sender, &handler),
                Err(error) => {
                    // A peer that is down makes an earlier send come back as an error here.
                    tracing::warn!(target: target::PEERS, %error, "cannot receive from peers");
                    sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    fn on_datagram(&self, datagram: &[u8], sender: SocketAddr, handler: &impl PeerMessageHandler) {
        let from = self.addrs.iter().position(|addr| *addr == sender).filter(|peer| *peer != self.me);
        match (from, std::str::from_utf8(datagram)) {
            (Some(from), Ok(body)) if datagram.len() <= MAX_DATAGRAM_BYTES => {
                handler.on_peer_message(from, body.to_string());
            }
            _ => tracing::warn!(
                target: target::PEERS,
                %sender,
                bytes = datagram.len(),
                reason = "not from a configured peer, not text, or too long",
                "datagram ignored"
            ),
        }
    }
}

#[cfg(test)]
mod tests;

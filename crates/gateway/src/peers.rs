//! Messages between gateways, one to a UDP datagram. Delivery is not guaranteed.
use crate::logging::target;
use irishinge_admission::GatewayIndex;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, Instant};

/// The maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The pause after a failed receive, so that a persistent failure does not spin.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A token bucket for the messages that this gateway sends to all of its peers together.
///
/// If no gateway sends more messages than one gateway accepts, it is unlikely that any gateway receives
/// more than it accepts. Equal limits for each peer would not work: in a large fleet a gateway sends many
/// messages to the few peers that own its customers' quotas, and none to the others.
struct SendRateLimit {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl SendRateLimit {
    /// Creates a full bucket, which holds the messages of one second and at least one message.
    fn full(per_second: f64, now: Instant) -> Self {
        SendRateLimit { per_second, tokens: per_second.max(1.0), refilled_at: now }
    }

    /// Takes a token for one message and returns whether there was one.
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

/// The address for peers' messages could not be bound.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen for peers on {addr}")]
pub(crate) struct BindError {
    addr: SocketAddr,
    source: io::Error,
}

/// Handles the messages of peers.
pub(crate) trait PeerMessageHandler {
    /// Handles a message from the gateway with the number `from`.
    fn on_peer_message(&self, from: GatewayIndex, body: String);
}

/// The socket to the other gateways of the fleet.
pub(crate) struct Peers {
    /// `None` if this gateway exchanges no messages.
    socket: Option<UdpSocket>,
    /// Indexed by the gateway's number.
    addrs: Vec<SocketAddr>,
    /// This gateway's number.
    own_index: GatewayIndex,
    send_rate_limit: RefCell<SendRateLimit>,
}

impl Peers {
    /// Binds the socket to `listen`, if given. `accepted_per_second` is the number of messages that a gateway
    /// accepts.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) async fn bind(
        listen: Option<SocketAddr>,
        addrs: Vec<SocketAddr>,
        own_index: GatewayIndex,
        accepted_per_second: f64,
    ) -> Result<Self, BindError> {
        let socket = match listen {
            Some(addr) => Some(UdpSocket::bind(addr).await.map_err(|source| BindError { addr, source })?),
            None => None,
        };
        let send_rate_limit = RefCell::new(SendRateLimit::full(accepted_per_second, Instant::now()));
        Ok(Peers { socket, addrs, own_index, send_rate_limit })
    }

    /// The address that receives messages, or `None` if there is no socket.
    pub(crate) fn local_addr(&self) -> Option<SocketAddr> {
        self.socket.as_ref()?.local_addr().ok()
    }

    /// Sends a message to the peer with the number `to`.
    pub(crate) fn send(&self, to: GatewayIndex, body: &str) {
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
        if let Some(addr) = self.addrs.get(to.0) {
            self.send_to(socket, to.0, *addr, body);
        }
    }

    fn send_to(&self, socket: &UdpSocket, peer: usize, addr: SocketAddr, body: &str) {
        if !self.send_rate_limit.borrow_mut().try_take(Instant::now()) {
            return tracing::warn!(
                target: target::PEERS,
                peer,
                reason = "send rate limit",
                "message not sent"
            );
        }
        if let Err(error) = socket.try_send_to(body.as_bytes(), addr) {
            tracing::warn!(target: target::PEERS, peer, %error, "message not sent");
        }
    }

    /// Passes peers' messages to `handler`. Datagrams from other senders and invalid ones are ignored. Never
    /// returns, except where there is no socket.
    pub(crate) async fn receive(&self, handler: impl PeerMessageHandler) {
        let Some(socket) = &self.socket else { return };
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => self.on_datagram(&buffer[..length], sender, &handler),
                Err(error) => {
                    // The kernel reports a message to a peer that is down as an error of the next receive.
                    // Without the pause, a lasting error would be retried without end.
                    tracing::warn!(target: target::PEERS, %error, "cannot receive from peers");
                    sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    fn on_datagram(&self, datagram: &[u8], sender: SocketAddr, handler: &impl PeerMessageHandler) {
        let from = self
            .addrs
            .iter()
            .position(|addr| *addr == sender)
            .map(GatewayIndex)
            .filter(|peer| *peer != self.own_index);
        match read_message(from, datagram) {
            Ok((from, body)) => handler.on_peer_message(from, body.to_string()),
            Err(reason) => {
                let bytes = datagram.len();
                tracing::warn!(target: target::PEERS, %sender, bytes, %reason, "datagram ignored");
            }
        }
    }
}

/// Why a datagram is ignored. A message that was cut off or comes from elsewhere could make quotas wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum IgnoredDatagram {
    /// Its sender's address is not that of another gateway of the fleet.
    #[error("not from a configured peer")]
    UnknownSender,
    /// It is longer than a message may be.
    #[error("too long")]
    TooLong,
    /// It is not UTF-8.
    #[error("not text")]
    NotText,
}

/// The sender and the text of a datagram. `from` is the peer that has the sender's address.
///
/// # Errors
///
/// Fails with the first reason for which it is ignored.
fn read_message(
    from: Option<GatewayIndex>,
    datagram: &[u8],
) -> Result<(GatewayIndex, &str), IgnoredDatagram> {
    let from = from.ok_or(IgnoredDatagram::UnknownSender)?;
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(IgnoredDatagram::TooLong);
    }
    let body = std::str::from_utf8(datagram).map_err(|_| IgnoredDatagram::NotText)?;
    Ok((from, body))
}

#[cfg(test)]
mod tests;

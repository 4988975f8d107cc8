//! Sends and receives the messages between gateways, one message per UDP datagram. Delivery is not
//! guaranteed.
use crate::binding::bind_when_free;
use crate::logging::target;
use irishinge_admission::GatewayIndex;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, Instant};

/// The maximum size of a datagram that is sent or accepted, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The pause after a failed receive, so that a persistent failure does not make the receive loop spin.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A token bucket that limits the messages which this gateway sends to all of its peers together.
///
/// If no gateway sends more messages than one gateway accepts, it is unlikely that any gateway receives
/// more than it accepts. Dividing the limit equally among the peers would not work: in a large fleet, a
/// gateway sends many messages to the few peers that own its customers' quotas, and none to the others.
struct SendRateLimit {
    /// The rate at which tokens are refilled, in messages per second.
    per_second: f64,
    /// The tokens at the last refill. Each message takes one.
    tokens: f64,
    /// The time of the last refill.
    refilled_at: Instant,
}

impl SendRateLimit {
    /// Creates a full bucket. Its capacity is the messages of one second, but at least one message.
    fn full(per_second: f64, now: Instant) -> Self {
        SendRateLimit { per_second, tokens: per_second.max(1.0), refilled_at: now }
    }

    /// Takes the token for one message, and returns false if none is left.
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

/// The error if the address on which peers' messages are received cannot be bound.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen for peers on {addr}")]
pub(crate) struct BindError {
    /// The address, `peer_listen` in the configuration.
    addr: SocketAddr,
    /// The operating system's error.
    source: io::Error,
}

/// Handles the messages that are received from peers.
pub(crate) trait PeerMessageHandler {
    /// Handles a message with the text `body` from the gateway with the number `from`.
    fn on_peer_message(&self, from: GatewayIndex, body: String);
}

/// The socket for the messages between this gateway and the others of the fleet.
pub(crate) struct PeerSocket {
    /// The socket, or `None` if this gateway exchanges no messages.
    socket: Option<UdpSocket>,
    /// The address of each gateway of the fleet, indexed by the gateway's number.
    addrs: Vec<SocketAddr>,
    /// This gateway's number.
    this_gateway: GatewayIndex,
    /// The limit on the messages to all peers together.
    send_rate_limit: RefCell<SendRateLimit>,
}

impl PeerSocket {
    /// Binds the socket to `listen` if that is an address. `addrs` has the address of each gateway, and
    /// `accepted_per_second` is the number of messages that a gateway accepts per second.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) async fn bind(
        listen: Option<SocketAddr>,
        addrs: Vec<SocketAddr>,
        this_gateway: GatewayIndex,
        accepted_per_second: f64,
    ) -> Result<Self, BindError> {
        let socket = match listen {
            Some(addr) => Some(
                bind_when_free(addr, UdpSocket::bind).await.map_err(|source| BindError { addr, source })?,
            ),
            None => None,
        };
        let send_rate_limit = RefCell::new(SendRateLimit::full(accepted_per_second, Instant::now()));
        Ok(PeerSocket { socket, addrs, this_gateway, send_rate_limit })
    }

    /// Returns the address on which messages are received, or `None` if there is no socket.
    pub(crate) fn local_addr(&self) -> Option<SocketAddr> {
        self.socket.as_ref()?.local_addr().ok()
    }

    /// Sends a message to the peer with the number `to`. A message that cannot be sent is logged and dropped.
    /// A message to a number without an address is dropped and not logged: the configuration may have no
    /// `peers` at all, but not fewer than the fleet has gateways.
    pub(crate) fn send(&self, to: GatewayIndex, body: &str) {
        let peer = to.0;
        let Some(socket) = &self.socket else {
            return tracing::warn!(
                target: target::PEERS,
                reason = "no peer_listen address",
                "message not sent to peer {peer}"
            );
        };
        if body.len() > MAX_DATAGRAM_BYTES {
            return tracing::error!(
                target: target::PEERS,
                bytes = body.len(),
                reason = "longer than a datagram may be",
                "message not sent to peer {peer}"
            );
        }
        if let Some(addr) = self.addrs.get(peer) {
            self.send_to(socket, peer, *addr, body);
        }
    }

    /// Sends a message to `addr` unless the send rate limit is reached.
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

    /// Passes peers' messages to `handler`. Datagrams that are invalid or not from a peer are logged and
    /// ignored. Returns only if there is no socket.
    pub(crate) async fn receive(&self, handler: impl PeerMessageHandler) {
        let Some(socket) = &self.socket else { return };
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => self.on_datagram(&buffer[..length], sender, &handler),
                Err(error) => {
                    // Without the pause, a persistent error would be retried in a busy loop.
                    tracing::warn!(target: target::PEERS, %error, "cannot receive from peers");
                    sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Passes a datagram to `handler` if it is a valid message from a peer, or else logs it.
    fn on_datagram(&self, datagram: &[u8], sender: SocketAddr, handler: &impl PeerMessageHandler) {
        let from = self
            .addrs
            .iter()
            .position(|addr| *addr == sender)
            .map(GatewayIndex)
            .filter(|peer| *peer != self.this_gateway);
        match parse_datagram(from, datagram) {
            Ok((from, body)) => handler.on_peer_message(from, body.to_string()),
            Err(reason) => {
                let bytes = datagram.len();
                tracing::warn!(target: target::PEERS, %sender, bytes, %reason, "datagram ignored");
            }
        }
    }
}

/// The reason for which a datagram is ignored. If a message that is truncated or not from a peer were
/// applied, quotas could become wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum DatagramError {
    /// The sender's address is not that of another gateway of the fleet.
    #[error("not from a configured peer")]
    UnknownSender,
    /// The datagram is longer than a message may be.
    #[error("longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// The datagram is not UTF-8.
    #[error("not UTF-8")]
    NotText,
}

/// Returns the sender and the text of a datagram. `from` is the peer with the sender's address, if there is
/// one.
///
/// # Errors
///
/// Fails with the first reason for which the datagram is ignored.
fn parse_datagram(
    from: Option<GatewayIndex>,
    datagram: &[u8],
) -> Result<(GatewayIndex, &str), DatagramError> {
    let from = from.ok_or(DatagramError::UnknownSender)?;
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLong);
    }
    let body = std::str::from_utf8(datagram).map_err(|_| DatagramError::NotText)?;
    Ok((from, body))
}

#[cfg(test)]
mod tests;

//! A gateway of a large fleet that owns a customer's quota. It responds to quota requests only when the test
//! says so.
use super::{ClientRequest, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// The number of gateways in the fleet, which is too large for each to send its counts to all others.
const GATEWAYS: usize = 20;
/// The id of a customer whose requests come through gateways 0 and 1 and whose quota gateway 1 owns.
const CUSTOMER: &str = "0000000000000002";
/// The length of a gossip message's head in bytes: its version and three means over the fleet.
const HEAD_LEN: usize = 7;
/// The offset of a quota request's number in the message, in bytes. It follows the head, the entry's marker,
/// the customer, the plan, the units, the customer's first gateway and how many gateways the customer uses.
const NUMBER_OFFSET: usize = HEAD_LEN + 1 + 11 + 1 + 1 + 2 + 2;
/// The length of a quota request's number, in bytes.
const NUMBER_LEN: usize = 2;

/// A quota request that the owner has received.
pub(crate) struct QuotaRequest {
    /// The address of the gateway that sent the quota request.
    gateway: SocketAddr,
    /// The head of the message.
    head: String,
    /// The quota request's number, which the response repeats.
    number: String,
}

/// The gateway that owns the customer's quota, as a UDP socket.
pub(crate) struct QuotaOwner(UdpSocket);

impl QuotaOwner {
    /// Starts the owner on a free port.
    pub(crate) fn start() -> QuotaOwner {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a loopback port");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        QuotaOwner(socket)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.0.local_addr().expect("the socket is bound")
    }

    /// Returns a client's HTTP request for the customer whose quota this gateway owns.
    pub(crate) fn client_request() -> ClientRequest {
        let metering = "units=1,spread=2,first=0";
        ClientRequest { customer: CUSTOMER, metering, ..ClientRequest::new("read") }
    }

    /// Waits for the next quota request.
    pub(crate) fn next_quota_request(&self) -> QuotaRequest {
        let mut buffer = [0; 256];
        let (length, gateway) = self.0.recv_from(&mut buffer).expect("the gateway sends a quota request");
        let message = std::str::from_utf8(&buffer[..length]).expect("the message is UTF-8");
        assert_eq!(message.as_bytes()[HEAD_LEN], b'a', "expected a quota request: {message}");
        QuotaRequest {
            gateway,
            head: message[..HEAD_LEN].to_string(),
            number: message[NUMBER_OFFSET..NUMBER_OFFSET + NUMBER_LEN].to_string(),
        }
    }

    /// Grants a quota request. The response consists of the marker `r`, the number, the verdict `0` (granted)
    /// and the maximum sampling fraction `_`, with which the gateway sends a quota request for each of the
    /// customer's requests.
    pub(crate) fn grant(&self, quota_request: &QuotaRequest) {
        let QuotaRequest { gateway, head, number } = quota_request;
        self.0.send_to(format!("{head}r{number}0_").as_bytes(), gateway).expect("send the datagram");
    }
}

/// Configures the gateway as the first of a large fleet in which all other gateways have the address `owner`.
pub(crate) fn use_quota_owner(config: &mut Value, owner: SocketAddr) {
    let mut peers = vec![json!(owner.to_string()); GATEWAYS];
    peers[0] = json!("127.0.0.1:1");
    config["peer_listen"] = json!("127.0.0.1:0");
    config["peers"] = json!(peers);
    config["settings"]["balancers"] = json!(GATEWAYS);
}

//! A gateway of a large fleet that owns a customer's quota. It answers quota requests only when the test
//! says so.
use super::{ClientRequest, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// Gateways of the fleet: more than can each send their counts to all others.
const GATEWAYS: usize = 20;
/// A customer of gateways 0 and 1 whose quota gateway 1 owns.
const CUSTOMER: &str = "0000000000000002";
/// Length of a gossip message's head: its version and three means.
const HEAD_LEN: usize = 7;
/// Where the number of a quota request stands in the message: behind its kind, the customer, the plan, the
/// units and the customer's gateways.
const NUMBER_OFFSET: usize = HEAD_LEN + 1 + 11 + 1 + 1 + 2 + 2;
const NUMBER_LEN: usize = 2;

/// A quota request as it was received.
pub(crate) struct QuotaQuestion {
    gateway: SocketAddr,
    head: String,
    number: String,
}

pub(crate) struct QuotaOwner(UdpSocket);

impl QuotaOwner {
    pub(crate) fn start() -> QuotaOwner {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        QuotaOwner(socket)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.0.local_addr().expect("bound")
    }

    /// A request of the customer whose quota it owns.
    pub(crate) fn request() -> ClientRequest {
        let metering = "units=1,spread=2,first=0";
        ClientRequest { customer: CUSTOMER, metering, ..ClientRequest::new("read") }
    }

    /// Waits for the next quota request.
    pub(crate) fn next_quota_request(&self) -> QuotaQuestion {
        let mut buffer = [0; 256];
        let (length, gateway) = self.0.recv_from(&mut buffer).expect("a quota request");
        let message = std::str::from_utf8(&buffer[..length]).expect("text");
        assert_eq!(message.as_bytes()[HEAD_LEN], b'a', "a quota request: {message}");
        QuotaQuestion {
            gateway,
            head: message[..HEAD_LEN].to_string(),
            number: message[NUMBER_OFFSET..NUMBER_OFFSET + NUMBER_LEN].to_string(),
        }
    }

    /// Grants a request, and requires a quota request for each further one.
    pub(crate) fn grant(&self, question: &QuotaQuestion) {
        let QuotaQuestion { gateway, head, number } = question;
        self.0.send_to(format!("{head}r{number}0_").as_bytes(), gateway).expect("sent");
    }
}

/// Makes the gateway the first of a large fleet in which all others have this address.
pub(crate) fn use_quota_owner(config: &mut Value, owner: SocketAddr) {
    let mut peers = vec![json!(owner.to_string()); GATEWAYS];
    peers[0] = json!("127.0.0.1:1");
    config["peer_listen"] = json!("127.0.0.1:0");
    config["peers"] = json!(peers);
    config["settings"]["balancers"] = json!(GATEWAYS);
}

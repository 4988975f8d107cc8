//! A client of the gateway, and the requests it writes.
use super::http_message::{read_message, Message};
use super::{unique_number, GatewayProcess, TEST_TIMEOUT};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub(crate) const HEALTH_CHECK: &str = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

pub(crate) struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub(crate) fn connect(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).expect("the gateway accepts");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Client { reader: BufReader::new(stream) }
    }

    /// Closes the connection, and waits until the gateway has closed its end too.
    pub(crate) fn disconnect(self, gateway: &GatewayProcess) {
        let gateway_end = gateway.socket_of(self.reader.get_ref());
        drop(self);
        gateway.wait_until_closed(&gateway_end, "a close");
    }

    pub(crate) fn write(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).expect("the gateway reads");
    }

    pub(crate) fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Writes a request and reads its response.
    pub(crate) fn request(&mut self, request: &ClientRequest) -> Message {
        self.request_raw(&request.text())
    }

    /// Writes a text in place of a request and reads the response.
    pub(crate) fn request_raw(&mut self, text: &str) -> Message {
        self.write(text);
        self.read().expect("a response")
    }

    /// The status of a health check.
    pub(crate) fn health_status(&mut self) -> u16 {
        self.request_raw(HEALTH_CHECK).status()
    }

    /// Whether the gateway closes the connection within this time, with nothing more to read.
    pub(crate) fn closes_within(&mut self, time: Duration) -> bool {
        self.reader.get_mut().set_read_timeout(Some(time)).expect("a time-out");
        let closed = match self.reader.fill_buf() {
            Ok(rest) => rest.is_empty(),
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        };
        self.reader.get_mut().set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        closed
    }
}

/// A request, with what a test adds or omits.
pub(crate) struct ClientRequest {
    /// `read` may be repeated, `post` carries an idempotency key, `once` must not run twice.
    pub(crate) class: &'static str,
    /// Seconds until the client stops waiting.
    pub(crate) budget: &'static str,
    pub(crate) id: String,
    pub(crate) customer: &'static str,
    pub(crate) metering: &'static str,
    /// Complete lines.
    pub(crate) extra_headers: &'static str,
    pub(crate) body: &'static str,
}

impl ClientRequest {
    pub(crate) fn new(class: &'static str) -> ClientRequest {
        ClientRequest {
            class,
            budget: "15.000",
            id: format!("{:016x}", unique_number()),
            customer: "00000000b4d65521",
            metering: "units=1,spread=1,first=0",
            extra_headers: if class == "post" { "Idempotency-Key: 5c0f6e1a\r\n" } else { "" },
            body: "",
        }
    }

    pub(crate) fn text(&self) -> String {
        let method = if self.class == "read" { "GET" } else { "POST" };
        let length =
            if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", self.body.len()) };
        format!(
            "{method} /api/{}?page=2 HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\n\
             X-Contract: basic\r\nX-Budget: {}\r\nX-Metering: {}\r\n{}{length}\r\n{}",
            self.customer, self.id, self.class, self.budget, self.metering, self.extra_headers, self.body
        )
    }
}

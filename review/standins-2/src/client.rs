//! Clients: they send requests as the protocol page says, and write down the answers.
use crate::http::{call, Message};
use crate::util::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// One request of a client.
#[derive(Clone)]
pub struct Request {
    pub id: u64,
    pub class: &'static str,
    pub plan: &'static str,
    pub customer: u64,
    pub budget_s: f64,
    pub units: u32,
    pub spread: usize,
    pub first: usize,
    pub key: Option<String>,
    pub body: Option<String>,
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// Returns a new request id.
pub fn new_id() -> u64 {
    IDS.fetch_add(1, Ordering::Relaxed)
}

impl Request {
    /// The request as it is written: `POST` with a body if there is one, else `GET`.
    pub fn text(&self) -> String {
        let method = if self.body.is_some() { "POST" } else { "GET" };
        let body = self.body.clone().unwrap_or_default();
        let key = self.key.as_ref().map_or(String::new(), |k| format!("Idempotency-Key: {k}\r\n"));
        let length =
            if self.body.is_some() { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
        format!(
            "{method} /api/{:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {:016x}\r\nX-Call-Class: {}\r\n\
             X-Contract: {}\r\nX-Budget: {:.3}\r\n{length}X-Metering: units={},spread={},first={}\r\n{key}\r\n{body}",
            self.customer, self.id, self.class, self.plan, self.budget_s, self.units, self.spread, self.first
        )
    }

    /// Sends the request on a new connection, and waits for the answer until half a second after its time.
    pub fn send(&self, to: SocketAddr, record: &Record) -> Option<Message> {
        let id = self.id;
        record.line(&format!("client: {id:016x} {} units {} sent to {to}", self.class, self.units));
        let timeout = Duration::from_secs_f64(self.budget_s + 0.55);
        let answer = call(to, &self.text(), timeout);
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("client: {id:016x} answered {status}"));
        answer
    }
}

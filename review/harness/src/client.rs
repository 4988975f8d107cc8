//! A client, which sends one request at a time on a connection.
use crate::http::{Message, Reader};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request of a client. Each has a new id and a customer of its own.
pub struct Call<'a> {
    pub number: u64,
    pub class: &'static str,
    pub method: &'static str,
    pub budget_s: f64,
    /// Complete header lines.
    pub headers: String,
    pub body: &'a str,
}

impl Call<'_> {
    pub fn id(&self) -> String {
        format!("{:016x}", 0x9b1f_03aa_0000_0000 + self.number)
    }

    /// Returns the request's text.
    pub fn text(&self) -> String {
        let (id, customer) = (self.id(), 0x1000 + self.number);
        let Call { class, method, budget_s, headers, body, .. } = self;
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        format!(
            "{method} /api/{customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\n\
             X-Call-Class: {class}\r\nX-Contract: hotel\r\nX-Budget: {budget_s:.3}\r\n{headers}{length}\
             X-Metering: units=1,spread=1,first=0\r\n\r\n{body}"
        )
    }
}

pub struct Client {
    pub stream: TcpStream,
    reader: Reader,
}

impl Client {
    pub fn connect(gateway: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(gateway)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        let reader = Reader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Reads a response. Returns `None` if the connection is closed before one begins.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        self.reader.read()
    }

    /// Sends a request and reads its response.
    pub fn call(&mut self, call: &Call) -> io::Result<Option<Message>> {
        self.write(&call.text())?;
        self.read()
    }
}

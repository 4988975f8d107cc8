//! Reads HTTP/1.1 messages whose bodies have a `Content-Length`.
use std::io::{self, Read};
use std::net::TcpStream;
use std::time::Instant;

/// A request or a response.
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// The headers, with names in lower case.
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the first and the last byte were read.
    pub first_byte_at: Instant,
    pub last_byte_at: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the path and query of a request.
    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a stream, and keeps what follows a message for the next one.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Returns whether bytes wait that belong to no message read so far.
    pub fn has_waiting_bytes(&self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        let _ = self.stream.set_nonblocking(true);
        let waits = matches!(self.stream.peek(&mut [0]), Ok(count) if count > 0);
        let _ = self.stream.set_nonblocking(false);
        waits
    }

    /// Reads a message. Returns `None` if the stream ends before a message begins.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let mut first_byte_at = (!self.buffer.is_empty()).then(Instant::now);
        let head_end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
            first_byte_at.get_or_insert_with(Instant::now);
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let start_line = lines.next().unwrap_or("").to_string();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        let end = head_end + 4 + length;
        while self.buffer.len() < end {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let last_byte_at = Instant::now();
        let body = self.buffer[head_end + 4..end].to_vec();
        self.buffer.drain(..end);
        let first_byte_at = first_byte_at.unwrap_or(last_byte_at);
        Ok(Some(Message { start_line, headers, body, first_byte_at, last_byte_at }))
    }

    /// Reads more bytes. Returns false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }
}

/// Returns the text of a response. `headers` are complete lines.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

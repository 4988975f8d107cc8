//! HTTP messages as text, read and written without the HTTP library that the gateway uses.
use std::io::BufRead;

/// A request or response that was read from a socket.
#[derive(Debug, Clone)]
pub(crate) struct Message {
    /// The request line or status line.
    pub(crate) start_line: String,
    /// Names, in lower case, and values.
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header with this name, which must be in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }

    /// Returns the status of a response.
    pub(crate) fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("the status line has a status")
    }
}

/// Reads one message. Returns `None` if the connection ends before the message is complete.
pub(crate) fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = || {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        Some(line.trim_end().to_string())
    };
    let start_line = line()?;
    let mut headers = Vec::new();
    loop {
        let field = line()?;
        if field.is_empty() {
            break;
        }
        let (name, value) = field.split_once(": ").expect("the header line has a colon and a space");
        headers.push((name.to_ascii_lowercase(), value.to_string()));
    }
    let length = headers
        .iter()
        .find(|h| h.0 == "content-length")
        .map_or(0, |h| h.1.parse().expect("Content-Length is a number"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Message { start_line, headers, body })
}

/// Returns a response with a `Content-Length` header; `headers` are complete lines.
pub(crate) fn http_response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

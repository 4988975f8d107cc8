//! A discovery that serves one connection at a time and answers each call with the next list that the test
//! pushes.
use super::http_message::{http_response, read_message};
use super::TEST_TIMEOUT;
use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

/// How a call ends.
enum CallEnd {
    List(Value),
    /// Discovery is overloaded.
    Rejected,
    /// The connection breaks: an outage.
    Broken,
}

pub(crate) struct SequentialDiscovery {
    pub(crate) addr: SocketAddr,
    calls: Receiver<String>,
    ends: Sender<CallEnd>,
}

impl SequentialDiscovery {
    /// Each call for the complete list takes the next of the pushed values too: the test says what comes
    /// when.
    pub(crate) fn start() -> SequentialDiscovery {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let addr = listener.local_addr().expect("bound");
        let (call_sender, calls) = channel();
        let (ends, pushed) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { return };
                let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                while let Some(message) = read_message(&mut reader) {
                    let _ = call_sender.send(message.start_line);
                    let text = match pushed.recv() {
                        Ok(CallEnd::List(list)) => http_response("200 OK", "", &list.to_string()),
                        Ok(CallEnd::Rejected) => http_response("503 Service Unavailable", "", "null"),
                        Ok(CallEnd::Broken) => break,
                        Err(_) => return,
                    };
                    let _ = stream.write_all(text.as_bytes());
                }
            }
        });
        SequentialDiscovery { addr, calls, ends }
    }

    /// Answers a call with a list.
    pub(crate) fn push(&self, list: Value) {
        self.end_call(CallEnd::List(list));
    }

    /// Breaks the connection of a call.
    pub(crate) fn break_connection(&self) {
        self.end_call(CallEnd::Broken);
    }

    /// Answers a call with 503.
    pub(crate) fn reject(&self) {
        self.end_call(CallEnd::Rejected);
    }

    fn end_call(&self, end: CallEnd) {
        self.ends.send(end).expect("discovery runs");
    }

    /// Waits for the next call, and gives its request line.
    pub(crate) fn next_call(&self) -> String {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call")
    }

    /// Whether no call has come since the last one that the test waited for.
    pub(crate) fn has_no_call(&self) -> bool {
        self.calls.try_recv().is_err()
    }
}

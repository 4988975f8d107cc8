//! A discovery that serves one connection at a time. The test decides how each call ends.
use super::http_message::{http_response, read_message};
use super::TEST_TIMEOUT;
use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

/// The way in which discovery ends a call.
enum CallEnd {
    /// Discovery responds with this list.
    List(Value),
    /// Discovery responds with 503, because it is overloaded.
    Rejected,
    /// Discovery closes the connection without a response.
    ConnectionBroken,
}

/// A discovery that serves one connection at a time.
pub(crate) struct SequentialDiscovery {
    pub(crate) addr: SocketAddr,
    /// The request line of each call, in the order received.
    calls: Receiver<String>,
    /// How calls end, in the order of the calls. A call waits for its end, and an end for its call.
    call_ends: Sender<CallEnd>,
}

impl SequentialDiscovery {
    /// Starts discovery. Every call, including one for the complete list, waits until the test ends it with
    /// `answer`, `break_connection` or `reject`.
    pub(crate) fn start() -> SequentialDiscovery {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a loopback port");
        let addr = listener.local_addr().expect("the socket is bound");
        let (call_sender, calls) = channel();
        let (call_ends, ends) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { return };
                let mut reader = BufReader::new(stream.try_clone().expect("clone the stream"));
                while let Some(message) = read_message(&mut reader) {
                    let _ = call_sender.send(message.start_line);
                    let text = match ends.recv() {
                        Ok(CallEnd::List(list)) => http_response("200 OK", "", &list.to_string()),
                        Ok(CallEnd::Rejected) => http_response("503 Service Unavailable", "", "null"),
                        Ok(CallEnd::ConnectionBroken) => break,
                        Err(_) => return,
                    };
                    let _ = stream.write_all(text.as_bytes());
                }
            }
        });
        SequentialDiscovery { addr, calls, call_ends }
    }

    /// Responds with `list` to the first call that the test has not ended yet, which may arrive only later.
    pub(crate) fn answer(&self, list: Value) {
        self.end_call(CallEnd::List(list));
    }

    /// Closes the connection of the first call that the test has not ended yet, without a response.
    pub(crate) fn break_connection(&self) {
        self.end_call(CallEnd::ConnectionBroken);
    }

    /// Responds with 503 to the first call that the test has not ended yet.
    pub(crate) fn reject(&self) {
        self.end_call(CallEnd::Rejected);
    }

    fn end_call(&self, end: CallEnd) {
        self.call_ends.send(end).expect("the discovery thread runs");
    }

    /// Waits for the next call and returns its request line.
    pub(crate) fn next_call(&self) -> String {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("the gateway calls discovery")
    }

    /// Returns whether no call has arrived since the last one that the test waited for. If one has, takes it.
    pub(crate) fn has_no_call(&self) -> bool {
        self.calls.try_recv().is_err()
    }
}

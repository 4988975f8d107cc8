//! A discovery that serves any number of connections at once, so that one call may stay unanswered while the
//! next arrives.
use super::http_message::{http_response, read_message};
use super::{MAX_COPY_DELAY, TEST_TIMEOUT};
use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// How the test replies to a call.
enum CallReply {
    /// Writes this text.
    Text(String),
    /// Writes this text, and again after `delay`. Sends whether the copy was written in time.
    TextAndCopy { text: String, delay: Duration, is_copied: Sender<bool> },
    /// Closes the connection.
    Break,
}

/// A call to discovery. The test answers it, breaks its connection, or drops it to leave it unanswered.
pub(crate) struct DiscoveryCall {
    pub(crate) request_line: String,
    /// Takes the reply to the call, which is only one.
    reply: Sender<CallReply>,
}

impl DiscoveryCall {
    /// Responds with `list`.
    pub(crate) fn answer(&self, list: &Value) {
        self.write(&http_response("200 OK", "", &list.to_string()));
    }

    /// Responds with `list`, and writes the same response again after `delay`. Returns whether the copy was written;
    /// on a busy machine it may be too late and is then left out.
    pub(crate) fn answer_with_late_copy(&self, list: &Value, delay: Duration) -> bool {
        let text = http_response("200 OK", "", &list.to_string());
        let (is_copied, copied) = channel();
        let reply = CallReply::TextAndCopy { text, delay, is_copied };
        self.reply.send(reply).expect("the discovery thread runs");
        copied.recv_timeout(TEST_TIMEOUT).expect("the response was written")
    }

    /// Writes `text` as it is, which need not be a complete response. The call takes no second text.
    pub(crate) fn write(&self, text: &str) {
        self.reply.send(CallReply::Text(text.to_string())).expect("the discovery thread runs");
    }

    /// Closes the connection without a response.
    pub(crate) fn break_connection(&self) {
        self.reply.send(CallReply::Break).expect("the discovery thread runs");
    }

    /// Returns whether the call fetches the complete list rather than waits for changes.
    pub(crate) fn is_for_complete_list(&self) -> bool {
        self.request_line == "GET /v1/servers HTTP/1.1"
    }

    /// Asserts that the call waits for changes after the revision of `list`.
    fn assert_watches_after(&self, list: &Value) {
        assert!(self.request_line.contains(&format!("after={}&", list["rev"])), "{}", self.request_line);
    }
}

/// A discovery that serves any number of connections at once.
pub(crate) struct ConcurrentDiscovery {
    pub(crate) addr: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

impl ConcurrentDiscovery {
    /// Starts discovery on a free port.
    pub(crate) fn start() -> ConcurrentDiscovery {
        ConcurrentDiscovery::start_on(
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a loopback port"),
        )
    }

    /// Starts discovery on `listener`.
    pub(crate) fn start_on(listener: TcpListener) -> ConcurrentDiscovery {
        let addr = listener.local_addr().expect("the socket is bound");
        let (sender, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), sender) = (stream, sender.clone()) else { return };
                thread::spawn(move || serve(stream, &sender));
            }
        });
        ConcurrentDiscovery { addr, calls }
    }

    /// Waits for the next call.
    pub(crate) fn next_call(&self) -> DiscoveryCall {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("the gateway calls discovery")
    }

    /// Waits for the next call and asserts that it is for the complete list.
    pub(crate) fn next_call_for_complete_list(&self) -> DiscoveryCall {
        let call = self.next_call();
        assert!(call.is_for_complete_list(), "{}", call.request_line);
        call
    }

    /// Answers the first call of a gateway that was started with a list, and returns the watch that follows.
    pub(crate) fn answer_first_watch(&self, list: &Value) -> DiscoveryCall {
        let call = self.next_call();
        assert!(!call.is_for_complete_list(), "{}", call.request_line);
        call.answer(list);
        let watch = self.next_call();
        watch.assert_watches_after(list);
        watch
    }

    /// Answers calls for the complete list until a watch follows, and returns the watch. There may be several
    /// calls, because on a busy machine the gateway may receive an answer after the call has timed out.
    pub(crate) fn answer_until_watch(&self, list: &Value) -> DiscoveryCall {
        loop {
            let call = self.next_call();
            if !call.is_for_complete_list() {
                call.assert_watches_after(list);
                return call;
            }
            call.answer(list);
        }
    }
}

/// Passes the calls on one connection to the test, and writes what the test replies.
fn serve(mut stream: TcpStream, calls: &Sender<DiscoveryCall>) {
    let mut reader = BufReader::new(stream.try_clone().expect("clone the stream"));
    while let Some(message) = read_message(&mut reader) {
        let (reply, replies) = channel();
        if calls.send(DiscoveryCall { request_line: message.start_line, reply }).is_err() {
            return;
        }
        match replies.recv() {
            Ok(CallReply::Text(text)) => stream.write_all(text.as_bytes()).unwrap_or_default(),
            Ok(CallReply::TextAndCopy { text, delay, is_copied }) => {
                let responded_at = Instant::now();
                stream.write_all(text.as_bytes()).unwrap_or_default();
                thread::sleep(delay);
                let in_time = responded_at.elapsed() < MAX_COPY_DELAY;
                if in_time {
                    stream.write_all(text.as_bytes()).unwrap_or_default();
                }
                let _ = is_copied.send(in_time);
            }
            Ok(CallReply::Break) => return,
            // The test has dropped the call, which stays unanswered.
            Err(_) => {}
        }
    }
}

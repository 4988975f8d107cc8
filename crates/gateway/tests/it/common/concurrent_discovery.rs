//! A discovery that takes any number of connections at once, so that one call may stay silent while the
//! next comes.
use super::http_message::{http_response, read_message};
use super::TEST_TIMEOUT;
use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

/// A call that the test answers, breaks off, or drops to leave it without an answer.
pub(crate) struct DiscoveryCall {
    pub(crate) request_line: String,
    /// What is written; none ends the connection.
    reply: Sender<Option<String>>,
}

impl DiscoveryCall {
    pub(crate) fn answer(&self, list: &Value) {
        self.write(&http_response("200 OK", "", &list.to_string()));
    }

    /// Writes this and nothing more.
    pub(crate) fn write(&self, text: &str) {
        self.reply.send(Some(text.to_string())).expect("the agent runs");
    }

    /// Ends the connection.
    pub(crate) fn break_off(&self) {
        self.reply.send(None).expect("the agent runs");
    }

    pub(crate) fn is_for_complete_list(&self) -> bool {
        self.request_line == "GET /v1/servers HTTP/1.1"
    }

    fn assert_watches_after(&self, list: &Value) {
        assert!(self.request_line.contains(&format!("after={}&", list["rev"])), "{}", self.request_line);
    }
}

pub(crate) struct ConcurrentDiscovery {
    pub(crate) addr: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

impl ConcurrentDiscovery {
    pub(crate) fn start() -> ConcurrentDiscovery {
        ConcurrentDiscovery::start_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port"))
    }

    pub(crate) fn start_on(listener: TcpListener) -> ConcurrentDiscovery {
        let addr = listener.local_addr().expect("bound");
        let (sender, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), sender) = (stream, sender.clone()) else { return };
                thread::spawn(move || serve(stream, &sender));
            }
        });
        ConcurrentDiscovery { addr, calls }
    }

    pub(crate) fn next_call(&self) -> DiscoveryCall {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call")
    }

    /// The next call, which must be for the complete list.
    pub(crate) fn next_call_for_complete_list(&self) -> DiscoveryCall {
        let call = self.next_call();
        assert!(call.is_for_complete_list(), "{}", call.request_line);
        call
    }

    /// Answers the first call of a process that was started with a list, and returns the watch that follows.
    pub(crate) fn answer_first_watch(&self, list: &Value) -> DiscoveryCall {
        let call = self.next_call();
        assert!(!call.is_for_complete_list(), "{}", call.request_line);
        call.answer(list);
        let watch = self.next_call();
        watch.assert_watches_after(list);
        watch
    }

    /// Answers calls for the complete list until the watch that follows, and returns it. There may be several
    /// calls: on a busy machine an answer may come after the call has timed out at the gateway.
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

fn serve(mut stream: TcpStream, calls: &Sender<DiscoveryCall>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    while let Some(message) = read_message(&mut reader) {
        let (reply, replies) = channel();
        if calls.send(DiscoveryCall { request_line: message.start_line, reply }).is_err() {
            return;
        }
        match replies.recv() {
            Ok(Some(text)) => stream.write_all(text.as_bytes()).unwrap_or_default(),
            Ok(None) => return,
            // The test dropped the call.
            Err(_) => {}
        }
    }
}

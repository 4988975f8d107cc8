//! An HTTP server that a test scripts: an endpoint, or the counter.
use super::http_message::{http_response, read_message, Message};
use super::TEST_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// What the server does with a request.
#[derive(Clone)]
pub(crate) enum Reply {
    /// Writes this response.
    Response(String),
    /// Writes it and then closes the connection, unasked.
    ResponseAndClose(String),
    /// Closes the connection without a response.
    Close,
    /// Writes nothing.
    Silence,
}

/// Replies with this response; `headers` are complete lines.
pub(crate) fn respond(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Response(http_response(status, headers, body))
}

/// What the server has received. Connections are numbered from 0 as they come.
#[derive(Debug)]
pub(crate) enum Received {
    Connection,
    Request(ReceivedRequest),
    Close { connection: usize },
}

#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) connection: usize,
    pub(crate) message: Message,
}

pub(crate) struct ScriptedServer {
    pub(crate) addr: SocketAddr,
    pub(crate) received: Receiver<Received>,
    reply: Arc<Mutex<Reply>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl ScriptedServer {
    pub(crate) fn start(reply: Reply) -> ScriptedServer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let addr = listener.local_addr().expect("bound");
        let reply = Arc::new(Mutex::new(reply));
        let (sender, received) = channel();
        let shared_reply = reply.clone();
        let streams = Arc::<Mutex<Vec<TcpStream>>>::default();
        let accepted = streams.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                let (sender, reply) = (sender.clone(), shared_reply.clone());
                // What the server writes goes out at once.
                stream.set_nodelay(true).expect("a socket");
                accepted.lock().expect("a lock").push(stream.try_clone().expect("a clone"));
                let _ = sender.send(Received::Connection);
                thread::spawn(move || serve(connection, stream, &sender, &reply));
            }
        });
        ScriptedServer { addr, received, reply, streams }
    }

    /// A server that answers 200 with this body.
    pub(crate) fn serving(body: &str) -> ScriptedServer {
        ScriptedServer::start(respond("200 OK", "", body))
    }

    /// A server that answers nothing.
    pub(crate) fn silent() -> ScriptedServer {
        ScriptedServer::start(Reply::Silence)
    }

    pub(crate) fn set_reply(&self, reply: Reply) {
        *self.reply.lock().expect("a lock") = reply;
    }

    /// Writes unasked on the connection of this number.
    pub(crate) fn write(&self, connection: usize, text: &str) {
        let mut streams = self.streams.lock().expect("a lock");
        streams[connection].write_all(text.as_bytes()).expect("the gateway reads");
    }

    /// Waits for the next request.
    pub(crate) fn next_request(&self) -> ReceivedRequest {
        loop {
            if let Received::Request(request) = self.received.recv_timeout(TEST_TIMEOUT).expect("a request") {
                return request;
            }
        }
    }

    /// Waits until a connection is closed, and gives its number.
    pub(crate) fn next_close(&self) -> usize {
        loop {
            if let Received::Close { connection } = self.received.recv_timeout(TEST_TIMEOUT).expect("a close")
            {
                return connection;
            }
        }
    }

    /// Whether nothing has come since it was last looked, not even a connection.
    pub(crate) fn has_received_nothing(&self) -> bool {
        self.received.try_recv().is_err()
    }

    /// Takes out the requests that have come until now.
    pub(crate) fn requests_so_far(&self) -> impl Iterator<Item = ReceivedRequest> + '_ {
        self.received.try_iter().filter_map(|received| match received {
            Received::Request(request) => Some(request),
            _ => None,
        })
    }
}

fn serve(connection: usize, mut stream: TcpStream, sender: &Sender<Received>, reply: &Mutex<Reply>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    while let Some(message) = read_message(&mut reader) {
        let _ = sender.send(Received::Request(ReceivedRequest { connection, message }));
        let reply = reply.lock().expect("a lock").clone();
        match reply {
            Reply::Response(text) => stream.write_all(text.as_bytes()).unwrap_or_default(),
            Reply::ResponseAndClose(text) => {
                stream.write_all(text.as_bytes()).unwrap_or_default();
                let _ = stream.shutdown(Shutdown::Both);
                let _ = sender.send(Received::Close { connection });
                return;
            }
            Reply::Close => {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Reply::Silence => {}
        }
    }
    let _ = sender.send(Received::Close { connection });
}

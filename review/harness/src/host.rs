//! A host: accepts connections and hands each request to the case, one at a time on a connection.
use crate::http::{Message, Reader};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A connection of a host, which carries one request at a time.
pub struct HostConnection {
    stream: TcpStream,
    reader: Reader,
}

impl HostConnection {
    /// Writes bytes. Returns false if the connection is closed.
    pub fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Returns whether anything waits on the connection.
    pub fn has_waiting_bytes(&self) -> bool {
        self.reader.has_waiting_bytes()
    }
}

/// What a host does with a request.
pub trait Service: Send + Sync + 'static {
    /// Serves a request. Returns false to close the connection.
    fn serve(&self, connection: &mut HostConnection, request: &Message) -> bool;
}

impl<F: Fn(&mut HostConnection, &Message) -> bool + Send + Sync + 'static> Service for F {
    fn serve(&self, connection: &mut HostConnection, request: &Message) -> bool {
        self(connection, request)
    }
}

/// Starts a host on a free port.
pub fn start(service: impl Service) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a loopback port");
    let addr = listener.local_addr().expect("the listener is bound");
    let service = Arc::new(service);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            serve(stream, service.clone());
        }
    });
    addr
}

/// Serves the requests of a connection on a thread of its own.
pub fn serve<S: Service>(stream: TcpStream, service: Arc<S>) {
    thread::spawn(move || {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut connection = HostConnection { stream, reader: Reader::new(clone) };
        while let Ok(Some(request)) = connection.reader.read() {
            if !service.serve(&mut connection, &request) {
                return;
            }
        }
    });
}

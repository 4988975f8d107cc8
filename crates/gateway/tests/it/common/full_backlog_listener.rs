//! An endpoint to which connections are established late.
use super::TEST_TIMEOUT;
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How long a connection may take to establish before the backlog counts as full.
const FILL_TIMEOUT: Duration = Duration::from_millis(300);

/// A listener whose backlog is full until the test accepts, so that further connections wait.
pub(crate) struct FullBacklogListener {
    listener: TcpListener,
    /// The connections that fill the backlog.
    fillers: Vec<Socket>,
    /// The local ports of all connections that were tried to fill the backlog. On a busy machine, one that
    /// timed out may have been established after all.
    filler_ports: Vec<u16>,
}

impl FullBacklogListener {
    /// Opens a listener and fills its backlog.
    pub(crate) fn start() -> FullBacklogListener {
        let socket = loopback_socket();
        socket.listen(0).expect("listen on the socket");
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().expect("the socket is bound").into();
        let (mut fillers, mut filler_ports) = (Vec::new(), Vec::new());
        loop {
            let socket = loopback_socket();
            let local_addr = socket.local_addr().expect("the socket is bound");
            filler_ports.push(local_addr.as_socket().expect("the address is an IP address").port());
            if socket.connect_timeout(&addr, FILL_TIMEOUT).is_err() {
                break;
            }
            fillers.push(socket);
            assert!(fillers.len() < 10, "the backlog does not fill up");
        }
        FullBacklogListener { listener, fillers, filler_ports }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("the socket is bound")
    }

    /// Empties the backlog, so that the gateway's connection is established when the kernel retransmits its
    /// SYN, and returns that connection.
    pub(crate) fn accept(&self) -> TcpStream {
        self.fillers.iter().for_each(|_| drop(self.listener.accept().expect("accept a connection")));
        loop {
            let (stream, peer) = self.listener.accept().expect("accept a connection");
            if !self.filler_ports.contains(&peer.port()) {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
                return stream;
            }
        }
    }
}

/// Returns a loopback socket that is bound to a port of its own.
fn loopback_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("bind a loopback port");
    socket
}

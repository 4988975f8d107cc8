//! An endpoint whose connections come up late.
use super::TEST_TIMEOUT;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Its queue of connections is full until it takes one out.
pub(crate) struct LateListener {
    listener: TcpListener,
    filling: Vec<TcpStream>,
}

impl LateListener {
    pub(crate) fn start() -> LateListener {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
        socket.listen(0).expect("a listener");
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().expect("bound");
        let mut filling = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
            filling.push(stream);
            assert!(filling.len() < 10, "the queue never fills");
        }
        LateListener { listener, filling }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Empties the queue, so that the gateway's connection comes up by the next of its tries, and gives that.
    pub(crate) fn accept(&self) -> TcpStream {
        self.filling.iter().for_each(|_| drop(self.listener.accept().expect("a connection")));
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        stream
    }
}

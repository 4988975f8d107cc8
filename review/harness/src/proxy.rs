//! A proxy that delays what passes by a fixed time in each direction, as the way between two rooms does.
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a proxy to `target` on a free port.
pub fn start(target: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a loopback port");
    let addr = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for near in listener.incoming().map_while(Result::ok) {
            let Ok(far) = TcpStream::connect(target) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_clone), Ok(far_clone)) = (near.try_clone(), far.try_clone()) else { continue };
            pass(near, far, delay);
            pass(far_clone, near_clone, delay);
        }
    });
    addr
}

/// Passes bytes and the close from one stream to the other, each `delay` after it arrived.
fn pass(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || loop {
        let mut bytes = [0; 16 * 1024];
        let count = from.read(&mut bytes).unwrap_or(0);
        if sender.send((Instant::now(), bytes[..count].to_vec())).is_err() || count == 0 {
            return;
        }
    });
    thread::spawn(move || {
        for (arrived_at, bytes) in receiver {
            thread::sleep((arrived_at + delay).saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
}

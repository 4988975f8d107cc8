//! The tests of calls to the quota counter: their outcomes, with and without a response, and late copies of
//! responses.
use super::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;

#[test]
fn total_requires_status_200_and_a_number() {
    let cases: [(u16, &[u8], CounterOutcome); 11] = [
        (200, b"38", CounterOutcome::Total(38.0)),
        (200, b" 38.5\n", CounterOutcome::Total(38.5)),
        (200, b"", CounterOutcome::Unanswered),
        (200, b"many", CounterOutcome::Unanswered),
        (200, b"inf", CounterOutcome::Unanswered),
        (200, b"\xff", CounterOutcome::Unanswered),
        (400, b"", CounterOutcome::Rejected),
        (404, b"38", CounterOutcome::Rejected),
        (503, b"", CounterOutcome::Rejected),
        (500, b"38", CounterOutcome::Unanswered),
        (204, b"", CounterOutcome::Unanswered),
    ];
    for (status, body, outcome) in cases {
        let status = StatusCode::from_u16(status).expect("a status");
        assert_eq!(response_outcome(status, body), outcome, "{status} {body:?}");
    }
}

/// A call ends without a response. If any byte of the request was written, the quota counter may have added
/// the amount. If the call then counted as rejected, units that were added would count as free.
#[test]
fn call_without_response_is_rejected_only_if_nothing_was_written() {
    assert_eq!(outcome_without_response(false), CounterOutcome::Rejected);
    assert_eq!(outcome_without_response(true), CounterOutcome::Unanswered);
}

/// The delay of a copy of a response from which it counts as too late to be expected.
const MAX_COPY_DELAY: Duration = Duration::from_millis(12);

/// Responds to each call with the number of calls so far, and writes each response a second time, unless the
/// machine is so busy that the copy would be too late.
fn respond_twice(mut stream: TcpStream, calls: &AtomicU32) {
    while stream.read(&mut [0; 1024]).is_ok_and(|length| length > 0) {
        let total = calls.fetch_add(1, Ordering::Relaxed) + 1;
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{total}");
        let responded_at = Instant::now();
        let _ = stream.write_all(response.as_bytes());
        thread::sleep(Duration::from_millis(2));
        if responded_at.elapsed() < MAX_COPY_DELAY {
            let _ = stream.write_all(response.as_bytes());
        }
    }
}

/// The quota counter, or an intermediary, sends each response a second time, 2 ms late. If the next call were
/// on the same connection by then, it would take the total of another count for its own. Expected: each call
/// gets its own total.
#[tokio::test]
async fn late_copy_of_a_total_is_not_the_next_total() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    let addr = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        let calls = Arc::<AtomicU32>::default();
        for stream in listener.incoming().map_while(Result::ok) {
            let calls = calls.clone();
            thread::spawn(move || respond_twice(stream, &calls));
        }
    });
    let client = QuotaCounterClient::new(Some(addr), 10_000.0);
    for total in 1..=6_u32 {
        let outcome = client.add(u64::from(total), 1.0, 60_000.0).await;
        assert_eq!(outcome, CounterOutcome::Total(f64::from(total)));
    }
}

/// All permitted connections have just had a response. If a call were given up for this, it would count as
/// rejected, and its request would be sent without a count. Expected: it waits for one of them.
#[tokio::test]
async fn call_waits_for_a_delayed_connection_at_the_connection_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    let addr = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || respond_to_each_call(stream));
        }
    });
    let client = QuotaCounterClient::new(Some(addr), 10_000.0);
    for _ in 0..2 * MAX_CONNECTIONS + 1 {
        assert_eq!(client.add(1, 1.0, 60_000.0).await, CounterOutcome::Total(1.0));
    }
}

/// Responds to each call with the total 1.
fn respond_to_each_call(mut stream: TcpStream) {
    while stream.read(&mut [0; 1024]).is_ok_and(|length| length > 0) {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    }
}

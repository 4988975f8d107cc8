//! Tests of SIGTERM, after which active requests are answered and the process exits with 0.
use crate::common::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// The longest deadline of the classes in [`short_deadlines`], and so the time between SIGTERM and the earliest SIGKILL
/// less 0.7 s.
const DEADLINE: Duration = Duration::from_millis(1000);
/// The earliest SIGKILL after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(1700);

/// A body that is as long as the head of its request, so that either may be incomplete.
const BODY: &str = concat!(
    "0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789",
    "0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789",
);

/// Gives every class a short deadline, so that a shutdown takes less than 2 s, and the customer a quota for all requests
/// of a test.
fn short_deadlines(config: &mut Value) {
    config["settings"]["tiersOfService"][0]["refill"] = json!(1000.0);
    config["settings"]["tiersOfService"][0]["peakUnits"] = json!(1000.0);
    for class in config["settings"]["classes"].as_array_mut().expect("the settings have classes") {
        class["deadlineMs"] = json!(DEADLINE.as_millis() as f64);
        class["objectiveMs"] = json!(500.0);
    }
}

/// Writes a request in pieces, its last byte at `last_at`, and returns the status of the response, or `None` if the
/// connection closes without one. A response may come before the last byte is written.
fn write_slowly(mut client: Client, text: &str, last_at: Instant) -> Option<u16> {
    let pieces = 10;
    let start = Instant::now();
    let interval = last_at.saturating_duration_since(start) / pieces as u32;
    for piece in 0..pieces {
        let range = text.len() * piece / pieces..text.len() * (piece + 1) / pieces;
        let due = start + interval * (piece as u32 + 1);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if !client.try_write(&text[range]) {
            break;
        }
    }
    client.read().map(|response| response.status())
}

/// Clients write their requests slowly while the gateway shuts down, so that heads and bodies are incomplete at any
/// moment of its end. A request that was read after all others had been answered would be sent to an endpoint, run, and
/// get no response. Expected: each request gets a response, whether or not it was complete by then, and the process exits
/// with 0 before the earliest SIGKILL.
#[test]
fn request_that_completes_near_the_end_of_a_shutdown_gets_a_response() {
    let endpoint = StubServer::start(Reply::LateResponse {
        text: http_response("200 OK", "", "done"),
        delay: Duration::from_millis(100),
    });
    let (mut gateway, _discovery) = start_gateway_with(&[endpoint.addr], short_deadlines);
    let term_at = Instant::now() + Duration::from_millis(200);
    let clients: Vec<_> = (0..80_u32)
        .map(|number| {
            let request = ClientRequest {
                class: if number % 2 == 0 { "once" } else { "read" },
                body: if number % 2 == 0 { BODY } else { "" },
                budget: "1.0",
                ..ClientRequest::new("once")
            };
            let client = gateway.client();
            let last_at = term_at + KILL_AFTER * (number + 1) / 80;
            std::thread::spawn(move || (request.id.clone(), write_slowly(client, &request.text(), last_at)))
        })
        .collect();
    std::thread::sleep(term_at.saturating_duration_since(Instant::now()));
    gateway.terminate();
    let terminated_at = Instant::now();
    assert!(gateway.wait().success());
    assert!(terminated_at.elapsed() < KILL_AFTER, "SIGKILL would have come");
    let outcomes: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("the client ends")).collect();
    let received: Vec<String> = endpoint
        .requests_so_far()
        .map(|request| request.message.header("x-call-id").expect("the request has an id").to_string())
        .collect();
    for (id, status) in &outcomes {
        assert!(status.is_some(), "{id}: no response; sent to the endpoint: {}", received.contains(id));
    }
    let served = outcomes.iter().filter(|(_, status)| *status == Some(200)).count();
    assert!(served >= 20, "{served} requests were served");
}

/// SIGTERM arrives while one request waits for an endpoint that never responds, one connection is idle, and
/// clients still connect. If the process ended at once, clients would get no response. Expected: the idle
/// connection closes, a late client is served, the waiting client gets 502 although its endpoint never
/// responds, and the process exits with 0.
#[test]
fn sigterm_answers_active_requests_accepts_for_a_while_and_exits_with_0() {
    let endpoint = StubServer::silent();
    let (mut gateway, _discovery) = start_gateway(&[&endpoint]);
    let (mut active, mut idle) = (gateway.client(), gateway.client());
    idle.health_status();
    active.write(&ClientRequest::new("once").text());
    endpoint.next_request();
    gateway.terminate();
    assert!(idle.closes_within(TEST_TIMEOUT), "the idle connection stays open");
    endpoint.set_reply(respond("200 OK", "", ""));
    let late = gateway.client().request(&ClientRequest::new("read"));
    assert_eq!((late.status(), late.header("connection")), (200, Some("close")));
    // The endpoint never responds to the active request, whose deadline is after the time at which SIGKILL
    // may arrive.
    let response = active.read().expect("the gateway responds");
    assert_eq!((response.status(), response.header("connection")), (502, Some("close")));
    assert!(active.closes_within(TEST_TIMEOUT));
    assert!(gateway.wait().success());
}

/// SIGTERM arrives while a request waits for the quota counter, and the client writes another request after
/// it. Without draining, the first would get no response, or the second would be started by a process that
/// is about to end. Expected: the first is served, the second is never read, and the process exits with 0.
#[test]
fn sigterm_finishes_a_request_that_waits_for_the_quota_counter() {
    let endpoint = StubServer::serving("mine");
    let counter = StubServer::silent();
    let (mut gateway, _discovery) = start_gateway_with_quota_counter(&endpoint, &counter);
    let (mut waiting, mut idle) = (gateway.client(), gateway.client());
    idle.health_status();
    let request = || ClientRequest { metering: "units=1,spread=2,first=0", ..ClientRequest::new("once") };
    waiting.write(&request().text());
    let connection = counter.next_request().connection;
    gateway.terminate();
    assert!(idle.closes_within(TEST_TIMEOUT), "the gateway has not handled the signal");
    waiting.write(&request().text());
    counter.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    let served = waiting.read().expect("the gateway responds");
    assert_eq!((served.status(), served.header("connection")), (200, Some("close")));
    assert_eq!(served.body, b"mine");
    assert!(waiting.closes_within(TEST_TIMEOUT), "the second request is answered");
    assert!(gateway.wait().success());
    let sent = endpoint.requests_so_far().count();
    assert_eq!(sent, 1);
}

/// SIGTERM arrives while the next request on a used connection has begun to arrive. If the connection closed as an idle
/// one, its client would get no response to what it is writing. Expected: the request is served once it is complete, and
/// closes the connection; an idle connection closes at once.
#[test]
fn sigterm_lets_a_request_that_has_begun_on_a_used_connection_complete() {
    let endpoint = StubServer::serving("mine");
    let (mut gateway, _discovery) = start_gateway(&[&endpoint]);
    let (mut begun, mut idle) = (gateway.client(), gateway.client());
    begun.health_status();
    idle.health_status();
    let text = ClientRequest::new("read").text();
    let (first_half, second_half) = text.split_at(text.len() / 2);
    begun.write(first_half);
    // The gateway has read the half by the time it answers a later request.
    gateway.client().health_status();
    gateway.terminate();
    assert!(idle.closes_within(TEST_TIMEOUT), "the idle connection stays open");
    begun.write(second_half);
    let served = begun.read().expect("the gateway responds");
    assert_eq!((served.status(), served.header("connection")), (200, Some("close")));
    assert!(gateway.wait().success());
}

/// The same, but the rest of the request never arrives. Expected: the request is rejected before the earliest SIGKILL,
/// and what its client writes then does not reset the connection before the client has read the rejection.
#[test]
fn request_that_stays_incomplete_through_a_shutdown_is_rejected() {
    let endpoint = StubServer::silent();
    let (mut gateway, _discovery) = start_gateway_with(&[endpoint.addr], short_deadlines);
    let (mut used, mut new, mut in_body) = (gateway.client(), gateway.client(), gateway.client());
    used.health_status();
    let text = ClientRequest { body: BODY, ..ClientRequest::new("once") }.text();
    for client in [&mut used, &mut new, &mut in_body] {
        client.write(&text[..40]);
    }
    gateway.client().health_status();
    gateway.terminate();
    // The body must not time out before the server ends.
    std::thread::sleep(KILL_AFTER / 2);
    in_body.write(&text[40..text.len() - 40]);
    for (client, name) in [(&mut used, "used"), (&mut new, "new"), (&mut in_body, "in the body")] {
        let rejected =
            client.read().unwrap_or_else(|| panic!("{name}: the connection closes without a response"));
        assert_eq!((rejected.status(), rejected.header("connection")), (503, Some("close")), "{name}");
        assert!(client.try_write("more"), "{name}");
        assert!(client.closes_within(TEST_TIMEOUT), "{name}");
    }
    drop((used, new, in_body));
    assert!(gateway.wait().success());
    assert!(endpoint.has_received_nothing_more());
}

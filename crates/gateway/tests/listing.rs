//! What becomes of sends when discovery does not answer, where lists are asked for: one test for each way.
mod common;

use common::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// By then a list that nobody vouched for has expired.
const EXPIRED: Duration = Duration::from_millis(6500);
const EXPIRED_AFTER_MOVE: Duration = Duration::from_millis(4500);

fn up(host: &Host) -> serde_json::Value {
    target("s-0", host.addr, "up")
}

/// A request that could be served is not, and is not sent: none goes out while it waits.
fn serves_nothing(gateway: &Gateway, host: &Host) {
    let served = gateway.client().ask(&Ask { budget: "3.000", ..Ask::new("read") }.text());
    assert_ne!(served.status(), 200);
    while let Ok(seen) = host.seen.try_recv() {
        assert!(!matches!(seen, Seen::Request(..)), "{seen:?}");
    }
}

/// Discovery is there and answers each call like this: the gateway sends for a while and then no more, a request
/// waits, and goes on once there is a list, if one that says nothing new.
fn stops_while_discovery_answers_like_this(answer_call: fn(AgentCall)) {
    let (host, agent) = (Host::start(answer("200 OK", "", "")), Agent::start());
    let gateway = Gateway::start(&config(agent.addr, &[up(&host)]));
    let start = Instant::now();
    answer_call(agent.call());
    assert_eq!(gateway.client().ask(&Ask::new("read").text()).status(), 200);
    host.request();
    while start.elapsed() < EXPIRED {
        answer_call(agent.call());
    }
    serves_nothing(&gateway, &host);
    let mut client = gateway.client();
    client.write(&Ask::new("read").text());
    // Some of its calls may be given up by now, so that each one is answered.
    let known = up(&host);
    std::thread::spawn(move || loop {
        let call = agent.call();
        call.answer(&list(
            1,
            call.is_whole(),
            &if call.is_whole() { vec![known.clone()] } else { Vec::new() },
        ));
        sleep(Duration::from_millis(20));
    });
    assert_eq!(client.read().expect("an answer").status(), 200);
    host.request();
    assert_eq!(client.ask(&Ask::new("read").text()).status(), 200);
}

/// Refusals may be an outage behind a front that answers for it. (In the unit tests: not for good.)
#[test]
fn a_gateway_that_is_turned_away_goes_on_sending_and_asks_from_what_it_knows() {
    let (host, agent) = (Host::start(answer("200 OK", "", "")), Agent::start());
    let gateway = Gateway::start(&config(agent.addr, &[up(&host)]));
    let start = Instant::now();
    while start.elapsed() < EXPIRED {
        let call = agent.call();
        assert!(!call.is_whole());
        call.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    assert_eq!(gateway.client().ask(&Ask::new("read").text()).status(), 200);
    host.request();
}

#[test]
fn a_gateway_whose_calls_are_left_silent_stops_sending_before_changes_count_as_told() {
    stops_while_discovery_answers_like_this(drop);
}

#[test]
fn a_gateway_whose_calls_are_reset_stops_sending_before_changes_count_as_told() {
    stops_while_discovery_answers_like_this(|call| call.break_off());
}

/// Discovery is down for longer than a list holds, and comes back.
#[test]
fn a_gateway_that_cannot_reach_discovery_goes_on_sending_by_the_last_list() {
    let host = Host::start(answer("200 OK", "", ""));
    // Bound, so that nobody else listens there, and not listening.
    let port = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    port.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    let addr = port.local_addr().expect("bound").as_socket().expect("an address");
    let gateway = Gateway::start(&config(addr, &[up(&host)]));
    sleep(EXPIRED);
    let mut client = gateway.client();
    assert_eq!(client.ask(&Ask::new("read").text()).status(), 200);
    host.request();
    // What it has at its return is taken in: the host is gone.
    port.listen(16).expect("a listener");
    let agent = Agent::on(port.into());
    agent.tell(&list(2, true, &[]));
    serves_nothing(&gateway, &host);
}

/// A new address may have had changes for a while already, and they count as told sooner.
#[test]
fn after_sighup_a_gateway_that_gets_no_list_stops_sending_sooner() {
    let host = Host::start(answer("200 OK", "", ""));
    let (old, new) = (Agent::start(), Agent::start());
    let mut config = config(old.addr, &[up(&host)]);
    let gateway = Gateway::start(&config);
    let watch = old.tell_first(&list(2, true, &[up(&host)]));
    config["discovery"] = json!(new.addr.to_string());
    gateway.reload(&config.to_string());
    let (moved, mut client) = (Instant::now(), gateway.client());
    drop(new.whole());
    drop(watch);
    assert_eq!(client.ask(&Ask::new("read").text()).status(), 200);
    host.request();
    sleep(EXPIRED_AFTER_MOVE.saturating_sub(moved.elapsed()));
    serves_nothing(&gateway, &host);
    client.write(&Ask::new("read").text());
    new.tell(&list(1, true, &[up(&host)]));
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// An answer that stops in the middle is no list: the whole one is asked for, and taken, though it is older.
#[test]
fn a_list_that_is_cut_off_is_asked_for_anew_and_as_a_whole() {
    let (old, new) = (Host::start(answer("200 OK", "", "old")), Host::start(answer("200 OK", "", "new")));
    let agent = Agent::start();
    let gateway = Gateway::start(&config(agent.addr, &[up(&old)]));
    let watch = agent.tell_first(&list(7, true, &[up(&old)]));
    watch.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":");
    agent.whole().answer(&list(3, true, &[target("s-1", new.addr, "up")]));
    assert!(agent.call().start.contains("after=3&"));
    assert_eq!(gateway.client().ask(&Ask::new("read").text()).body, b"new");
}

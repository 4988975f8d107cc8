//! Tests of quotas that the quota counter counts.
use crate::common::*;

/// The quota counter responds with totals, then with bodies that are not a number, then with 503, an invalid
/// response or none. Only a readable total may reject a request. After an unreadable one, the state of the
/// connection is unknown. Expected: 429 only on a total, 200 without one, and a connection whose response's
/// body is not a number closes.
#[test]
fn rejects_only_on_a_readable_total_of_the_quota_counter() {
    let endpoint = StubServer::serving("");
    let counter = StubServer::serving("1");
    let request = || ClientRequest { metering: "units=2,spread=2,first=0", ..ClientRequest::new("read") };
    let (gateway, _discovery) = start_gateway_with_quota_counter(&endpoint, &counter);
    let mut client = gateway.client();
    assert_eq!(client.request(&request()).status(), 200);
    let call = counter.next_request();
    let (path, amount) = call.message.start_line.split_once('?').expect("the call has an amount");
    assert!(path.starts_with("POST /counters/") && path.len() == "POST /counters/".len() + 16, "{path}");
    assert_eq!(amount, "by=2.000000&expire_ms=60000 HTTP/1.1");
    // The gateway has counted more units than this total says, and adds the difference at once, on another
    // connection if the first one has just had its response.
    let catch_up = counter.next_request();
    counter.set_reply(respond("200 OK", "", "1000000"));
    std::thread::sleep(REUSE_DELAY);
    assert_eq!(client.request(&request()).status(), 429);
    let open = [call.connection, catch_up.connection];
    assert!(open.contains(&counter.next_request().connection), "the third call used another connection");
    for malformed in ["", "many", "NaN"] {
        let counter = StubServer::start(respond("200 OK", "", malformed));
        let (gateway, _discovery) = start_gateway_with_quota_counter(&endpoint, &counter);
        assert_eq!(gateway.client().request(&request()).status(), 200, "{malformed}");
        let connection = counter.next_request().connection;
        assert_eq!(counter.next_close(), connection, "{malformed}");
    }
    let rejected = respond("503 Service Unavailable", "", "");
    for reply in [Reply::Close, Reply::Response("noise\r\n\r\n".into()), rejected] {
        let counter = StubServer::start(reply);
        let (gateway, _discovery) = start_gateway_with_quota_counter(&endpoint, &counter);
        assert_eq!(gateway.client().request(&request()).status(), 200);
        counter.next_request();
    }
}

//! Tests of connections to endpoints: when they are reused, and what malformed responses cause.
use crate::common::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// An endpoint closes its connection after each response. A request written to the closed connection would
/// be lost, and one that must not run twice could not be retried. Expected: each request gets a new
/// connection and is served.
#[test]
fn never_reuses_a_connection_that_its_endpoint_closed() {
    let text = http_response("200 OK", "", "");
    let endpoint = StubServer::start(Reply::ResponseAndClose(text));
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    let mut client = gateway.client();
    for expected in 0..3 {
        // A request of this class could not be sent again if it were lost on a closed connection.
        assert_eq!(client.request(&ClientRequest::new("once")).status(), 200);
        assert_eq!(endpoint.next_request().connection, expected);
        assert_eq!(endpoint.next_close(), expected);
        // The health check takes the gateway through its event loop once more, in which it notices the close.
        client.health_status();
    }
}

/// An endpoint writes a second response, or bytes that are not HTTP, after its response, at once or later.
/// The next request on that connection would get these bytes as its response, and a client would read
/// another client's data. Expected: the connection is not reused, and each client gets its own response.
#[test]
fn never_reuses_a_connection_after_surplus_bytes() {
    let text = http_response("200 OK", "", "mine");
    let endpoint = StubServer::start(Reply::Response(text.clone()));
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    let mut client = gateway.client();
    let foreign = text.replace("mine", "last");
    for (with, after) in [(foreign.as_str(), ""), ("noise", ""), ("", foreign.as_str()), ("", "noise")] {
        endpoint.set_reply(Reply::Response(format!("{text}{with}")));
        assert_eq!(client.request(&ClientRequest::new("once")).body, b"mine");
        let connection = endpoint.next_request().connection;
        endpoint.write(connection, after);
        // The next request may arrive before the gateway has noticed the surplus bytes.
        endpoint.set_reply(Reply::Response(text.clone()));
        assert_eq!(client.request(&ClientRequest::new("once")).body, b"mine");
        assert_ne!(endpoint.next_request().connection, connection, "{with}{after}");
    }
}

/// An endpoint writes its response a second time, some milliseconds late. If the connection carried the next request
/// by then, its client would read the copy, another client's response, and the connection would stay one response
/// behind. Expected: each client gets its own response, however soon it comes.
#[test]
fn late_copy_of_a_response_never_reaches_another_client() {
    for delay_ms in [1, 2, 5, 8] {
        let endpoint = StubServer::silent();
        let (gateway, _discovery) = start_gateway(&[&endpoint]);
        let mut client = gateway.client();
        for number in 0..6 {
            let body = format!("response {number}");
            let text = http_response("200 OK", "", &body);
            let delay = Duration::from_millis(delay_ms);
            endpoint.set_reply(Reply::ResponseThenCopy { text, delay, held_back: false });
            let response = client.request(&ClientRequest::new("once"));
            assert_eq!(response.body, body.as_bytes(), "copies are {delay_ms} ms late");
        }
    }
}

/// The kernel of an endpoint without `TCP_NODELAY` holds the copy of a response back until the response is
/// acknowledged. The gateway's kernel may wait up to 40 ms for a request that can carry the acknowledgement, and such a
/// request would release the copy just then. Expected: of many requests at intervals of 20 ms, each gets its own
/// response.
#[test]
fn copy_that_its_kernel_holds_back_never_reaches_another_client() {
    let endpoint = StubServer::silent();
    let (gateway, _discovery) = start_gateway_with(&[endpoint.addr], |config| {
        config["settings"]["tiersOfService"][0]["refill"] = json!(1000.0);
        config["settings"]["tiersOfService"][0]["peakUnits"] = json!(1000.0);
    });
    let mut client = gateway.client();
    for number in 0..40 {
        let body = format!("response {number}");
        let text = http_response("200 OK", "", &body);
        endpoint.set_reply(match number % 4 {
            3 => Reply::ResponseThenCopy { text, delay: Duration::from_millis(2), held_back: true },
            _ => Reply::Response(text),
        });
        assert_eq!(client.request(&ClientRequest::new("once")).body, body.as_bytes());
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// An endpoint writes a malformed, truncated or endless response and leaves the connection open. If the
/// gateway waited for the rest, it would use up the request's budget. Expected: the attempt fails soon and
/// its connection closes; because the request may have run, only an idempotent one is retried.
#[test]
fn malformed_response_fails_the_attempt_and_closes_its_connection() {
    let head = "HTTP/1.1 200 OK\r\n";
    let long = "x".repeat(20_000);
    let malformed = [
        "noise\r\n\r\n".to_string(),
        head.to_string(),
        format!("{head}X-Long: {long}"),
        format!("{head}Content-Length: -5\r\n\r\nx"),
        format!("{head}Content-Length: 10\r\n\r\nshort"),
        format!("{head}Content-Length: 3000000000\r\n\r\n"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(20),
    ];
    let (bad, good) = (StubServer::silent(), StubServer::serving("good"));
    // With pushed lists there is no lease that could expire while a busy machine works through the cases.
    let push_list = |config: &mut Value| config["settings"]["discovery"] = json!("pushed");
    let (alone, _discovery) = start_gateway_with(&[bad.addr], push_list);
    let (both, _discovery) = start_gateway_with(&[bad.addr, good.addr], push_list);
    for text in malformed {
        bad.set_reply(Reply::Response(text.clone()));
        let start = Instant::now();
        assert_eq!(alone.client().request(&ClientRequest::new("once")).status(), 502, "{text:.60}");
        assert!(start.elapsed() < Duration::from_secs(3), "{text:.60}: {:?}", start.elapsed());
        let connection = bad.next_request().connection;
        assert_eq!(bad.next_close(), connection, "{text:.60}");
        assert_eq!(both.client().request(&ClientRequest::new("read")).body, b"good", "{text:.60}");
    }
}

/// An endpoint writes interim (1xx) responses before its response, a header that the gateway does not read,
/// or invalid or repeated units. If these failed the attempt, or an invalid value were used, one endpoint
/// could lose requests or empty a customer's quota. Expected: the client gets each response, and the quota is
/// not used up afterwards.
#[test]
fn accepts_interim_responses_and_ignores_invalid_units() {
    let endpoint = StubServer::silent();
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    let mut client = gateway.client();
    for headers in [
        "X-Load-Report: {\"qps\":\r\n",
        "X-Load-Report: {\"qps\":1e999}\r\n",
        "X-Settled: many\r\n",
        "X-Settled: -1e300\r\n",
        "X-Settled: 1e300\r\n",
        "X-Settled: 1\r\nX-Settled: 4\r\n",
    ] {
        let text = http_response("200 OK", headers, "good");
        endpoint.set_reply(Reply::Response(format!(
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n{text}"
        )));
        assert_eq!(client.request(&ClientRequest::new("read")).body, b"good", "{headers}");
    }
    // The 6 requests should take 6 units from a bucket that holds 8 and gets 10 more per second. The next
    // request is served unless an invalid value has emptied the bucket.
    assert_eq!(client.request(&ClientRequest::new("read")).status(), 200);
}

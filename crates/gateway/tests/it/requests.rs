//! Tests of clients' requests: what is forwarded, and what is rejected before it can reach an endpoint.
use crate::common::*;
use serde_json::json;

/// A client sends a request with path, query, body and idempotency key. Expected: the endpoint receives
/// these, the method and `X-Call-Id` unchanged, and an `X-Budget` of at most the client's; the client gets
/// the endpoint's body and content type; and the next request uses the same connection.
#[test]
fn forwards_path_headers_and_body_and_returns_the_response() {
    let endpoint =
        StubServer::start(respond("200 OK", "Content-Type: text/plain\r\nX-Settled: 2\r\n", "balance 7"));
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    let mut client = gateway.client();
    let request = ClientRequest { body: "meter=12", ..ClientRequest::new("post") };
    let served = client.request(&request);
    assert_eq!((served.status(), served.body.as_slice()), (200, &b"balance 7"[..]));
    assert_eq!(served.header("content-type"), Some("text/plain"));
    let received = endpoint.next_request();
    let sent = received.message;
    assert_eq!(sent.start_line, format!("POST /api/{}?page=2 HTTP/1.1", request.customer));
    assert_eq!(sent.header("x-call-id"), Some(request.id.as_str()));
    assert_eq!(sent.header("idempotency-key"), Some("5c0f6e1a"));
    assert_eq!(sent.body, b"meter=12");
    let budget: f64 = sent
        .header("x-budget")
        .expect("the request has an X-Budget header")
        .parse()
        .expect("the budget is a number");
    assert!(budget > 0.0 && budget <= 15.0, "the budget is not the time that remains: {budget}");
    // The next request waits for the pooled connection, whose reuse delay is not over, rather than for a new one.
    assert_eq!(client.request(&ClientRequest::new("read")).status(), 200);
    assert_eq!(endpoint.next_request().connection, received.connection);
}

/// Clients send requests with missing, unknown or malformed headers. If such a request changed any state, it
/// would take units from the customer's quota, or reach an endpoint that cannot bill it. Expected: each gets
/// its status, and the gateway then serves as many requests in a row as the customer's bucket holds units.
#[test]
fn rejects_malformed_requests_without_charging_the_quota() {
    let endpoint = StubServer::serving("");
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    let good = ClientRequest::new("read").text();
    let cases = [
        (good.replace("X-Call-Id", "X-Other"), 400),
        (good.replace("X-Call-Class: read", "X-Call-Class: riddle"), 400),
        (good.replace("X-Contract: basic", "X-Contract: none"), 400),
        (good.replace("X-Budget: 15.000", "X-Budget: NaN"), 400),
        (good.replace("X-Budget: 15.000", "X-Budget: -1"), 400),
        (good.replace("units=1", "units=9"), 400),
        (good.replace("spread=1", "spread=7"), 400),
        (good.replace("first=0", "first=1"), 400),
        (good.replace("X-Metering: ", "X-Metering: units"), 400),
        (good.replace("00000000b4d65521", "ffffffffb4d65521"), 400),
        (good.replace("00000000b4d65521", "b4d65521"), 400),
        (good.replace("/api/", "/other/"), 404),
        (good.replace("GET ", "POST "), 405),
        (ClientRequest { extra_headers: "", ..ClientRequest::new("post") }.text(), 400),
        (good.replace("X-Call-Id: ", "X-Call-Id: +"), 400),
        ("nonsense\r\n\r\n".to_string(), 400),
        (ClientRequest::new("post").text().replace("Content-Length: 0", "Content-Length: 70000"), 413),
    ];
    for (text, status) in cases {
        assert_eq!(gateway.client().request_raw(&text).status(), status, "{text}");
    }
    // If the requests above had emptied the bucket of 8 units, not all of these 8 requests would be served.
    let mut client = gateway.client();
    for _ in 0..8 {
        assert_eq!(client.request(&ClientRequest::new("read")).status(), 200);
    }
}

/// If the length of a body is declared in two ways, a second request can hide in the bytes that only one of
/// them counts (request smuggling). hyper reports only one of the two. If the request were forwarded, an
/// endpoint could run the hidden one. Expected: 411, the connection closes, nothing after the request is
/// read, and the endpoint receives nothing.
#[test]
fn rejects_transfer_encoding_with_or_without_content_length() {
    let endpoint = StubServer::serving("");
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    let hidden = ClientRequest::new("post").text();
    for length in ["", "Content-Length: 5\r\n"] {
        let encoding = format!("{length}Transfer-Encoding: chunked");
        let text = ClientRequest::new("post").text().replace("Content-Length: 0", &encoding);
        let mut client = gateway.client();
        client.write(&format!("{text}0\r\n\r\n{hidden}"));
        let response = client.read().expect("the gateway responds");
        assert_eq!((response.status(), response.header("connection")), (411, Some("close")));
        assert!(client.read().is_none(), "the hidden request is answered");
    }
    assert!(endpoint.has_received_nothing_more(), "the endpoint received something");
}

/// A header that the gateway relies on, or a value in it, is given twice. The gateway could only guess which
/// of the two counts, and the endpoint may guess differently. Expected: 400, the connection closes, and the
/// endpoint receives nothing.
#[test]
fn rejects_duplicate_headers_and_metering_values() {
    let endpoint = StubServer::serving("");
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    for extra_headers in [
        "X-Call-Id: 00000000000000aa\r\n",
        "X-Budget: 15.000\r\n",
        "X-Contract: basic\r\n",
        "X-Metering: units=1,spread=1,first=0\r\n",
        "Idempotency-Key: a\r\nIdempotency-Key: b\r\n",
    ] {
        let response =
            gateway.client().request(&ClientRequest { extra_headers, ..ClientRequest::new("read") });
        assert_eq!(
            (response.status(), response.header("connection")),
            (400, Some("close")),
            "{extra_headers}"
        );
    }
    let metering = "units=1,spread=1,first=0,units=2";
    assert_eq!(
        gateway.client().request(&ClientRequest { metering, ..ClientRequest::new("read") }).status(),
        400
    );
    assert!(endpoint.has_received_nothing_more(), "the endpoint received something");
}

/// A client repeats a request that must not run twice, while the first is still in progress. If the second
/// were forwarded, the request would run twice. Expected: 409, and the endpoint receives one request.
#[test]
fn rejects_a_second_request_with_the_id_of_an_active_one() {
    let endpoint = StubServer::silent();
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    let request = ClientRequest::new("once");
    let mut first = gateway.client();
    first.write(&request.text());
    endpoint.next_request();
    assert_eq!(gateway.client().request(&request).status(), 409);
    assert!(endpoint.has_received_nothing_more(), "the endpoint received the request twice");
}

/// A customer's quota is used up. Expected: 429, with a `Retry-After` of at most the longest wait that
/// clients honour, and without one if the settings say that clients ignore it.
#[test]
fn rejections_carry_retry_after_only_if_clients_honour_it() {
    let endpoint = StubServer::serving("");
    for honoured in [false, true] {
        let discovery = SequentialDiscovery::start();
        let mut config = config(discovery.addr, &[endpoint_entry("s-0", endpoint.addr, "up")]);
        config["settings"]["ceilings"]["retryAfter"] = json!(honoured);
        config["settings"]["tiersOfService"][0]["refill"] = json!(0.01);
        let gateway = GatewayProcess::start(&config);
        let mut client = gateway.client();
        let mut rejected = client.request(&ClientRequest::new("read"));
        for _ in 0..8 {
            rejected = client.request(&ClientRequest::new("read"));
        }
        assert_eq!(rejected.status(), 429);
        // The next unit is available after 100 s, and clients honour at most 2 s.
        assert_eq!(rejected.header("retry-after"), honoured.then_some("2.000"));
    }
}

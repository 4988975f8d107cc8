//! The names of the HTTP headers for which hyper has no constant. They are defined only here. The
//! documentation of each constant gives the meaning of the header in the terms of the rest of the code.
use hyper::header::HeaderName;

/// Identifies a request: 16 hexadecimal digits. Sent by the client and forwarded to the endpoint.
pub(crate) const CALL_ID: HeaderName = HeaderName::from_static("x-call-id");

/// The request's class, given by its name in the settings. Sent by the client.
pub(crate) const CALL_CLASS: HeaderName = HeaderName::from_static("x-call-class");

/// The customer's plan, given by its name in the settings. Sent by the client.
pub(crate) const CONTRACT: HeaderName = HeaderName::from_static("x-contract");

/// How long the sender waits for the response, in seconds as a decimal number. Sent by the client, and by the
/// gateway to the endpoint with the time that is left until the attempt times out.
pub(crate) const BUDGET: HeaderName = HeaderName::from_static("x-budget");

/// The units that a request takes from its customer's quota, and the gateways that the customer's requests
/// come through. Sent by the client.
pub(crate) const METERING: HeaderName = HeaderName::from_static("x-metering");

/// The value `1` marks a request as a client's retry. Sent by clients that mark their retries.
pub(crate) const AGAIN: HeaderName = HeaderName::from_static("x-again");

/// The key by which an endpoint recognizes a request that it has already executed. Sent by the client and
/// forwarded to the endpoint.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The true units that the request takes from its customer's quota. Sent by the endpoint if the units in
/// `X-Metering` are only an estimate.
pub(crate) const SETTLED: HeaderName = HeaderName::from_static("x-settled");

/// The value `1` on a 503 or 504 response means that the request was rejected and not executed. Sent by the
/// endpoint.
pub(crate) const REJECTED: HeaderName = HeaderName::from_static("x-rejected");

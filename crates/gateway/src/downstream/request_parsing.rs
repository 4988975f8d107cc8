//! Parses the head of a request into the admission library's request and the parts that endpoints get.
use super::metering::Metering;
use super::request_error::RequestError;
use crate::header_names::{AGAIN, BUDGET, CALL_CLASS, CALL_ID, CONTRACT, IDEMPOTENCY_KEY, METERING};
use crate::upstream::ForwardedHead;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use irishinge_admission::{CustomerId, GatewayIndex, Idempotency, Request, RequestId, Settings};
use irishinge_settings::Names;

/// The headers that may have only one value. If one of them had two, the gateway and an endpoint could each
/// use a different one.
static SINGLE_HEADERS: [HeaderName; 7] =
    [HOST, CALL_ID, CALL_CLASS, CONTRACT, BUDGET, METERING, IDEMPOTENCY_KEY];
/// The exclusive upper bound of customer ids.
const CUSTOMER_ID_END: u64 = 1 << 33;

/// Parses the head of a request. Changes no state.
///
/// # Errors
///
/// Returns the error of the first check that fails.
pub(super) fn parse_request(
    head: &Parts,
    settings: &Settings,
    names: &Names,
) -> Result<Request, RequestError> {
    let headers = &head.headers;
    let customer = parse_customer(head.uri.path())?;
    check_headers(headers)?;
    let id = header(headers, CALL_ID).and_then(parse_hex).ok_or(RequestError::InvalidCallId)?;
    let class = header(headers, CALL_CLASS).ok_or(RequestError::MissingClass)?;
    let class = names.class_index(class).map_err(|_| RequestError::UnknownClass)?;
    let plan = header(headers, CONTRACT).ok_or(RequestError::MissingPlan)?;
    let plan = names.plan_index(plan).map_err(|_| RequestError::UnknownPlan)?;
    let class_settings = &settings.classes[class.0];
    check_method_and_key(head, class_settings.idempotency)?;
    let budget_s = parse_budget_s(headers)?;
    let metering = header(headers, METERING).and_then(|text| Metering::parse(text, settings));
    let metering = metering.ok_or(RequestError::InvalidMetering)?;
    Ok(Request {
        id: RequestId(id),
        class,
        plan,
        customer,
        time_left_ms: (budget_s * 1000.0).min(class_settings.deadline_ms),
        units: metering.units,
        gateway_count: metering.gateway_count,
        first_gateway: GatewayIndex(metering.first_gateway),
        is_client_retry: headers.get(AGAIN).is_some_and(|value| value == "1"),
    })
}

/// Copies the parts of a head that are forwarded to an endpoint.
///
/// Copies keep no more memory than their bytes. The values of `head` are slices of the buffer that the head
/// was read into, so that one of them would keep the whole buffer.
///
/// # Errors
///
/// Fails if `Host` or `X-Call-Id` is missing.
pub(super) fn forwarded_head(head: &Parts) -> Result<ForwardedHead, RequestError> {
    let value = |name| head.headers.get(name).map(copy_of_value);
    Ok(ForwardedHead {
        method: head.method.clone(),
        uri: copy_of_uri(&head.uri),
        host: value(HOST).ok_or(RequestError::MissingHost)?,
        call_id: value(CALL_ID).ok_or(RequestError::MissingCallId)?,
        idempotency_key: value(IDEMPOTENCY_KEY),
        content_type: value(CONTENT_TYPE),
    })
}

/// Returns a copy of a header's value in memory of its own.
fn copy_of_value(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Returns a copy of a URI in memory of its own.
fn copy_of_uri(uri: &Uri) -> Uri {
    Uri::try_from(uri.to_string()).unwrap_or_else(|_| uri.clone())
}

/// Parses the customer id from a path of the form `/api/` and 16 hexadecimal digits.
fn parse_customer(path: &str) -> Result<CustomerId, RequestError> {
    let customer = path.strip_prefix("/api/").ok_or(RequestError::UnknownPath)?;
    let customer = parse_hex(customer).filter(|id| *id < CUSTOMER_ID_END);
    customer.map(CustomerId).ok_or(RequestError::InvalidCustomer)
}

/// Checks the headers as a whole: there must be no `Transfer-Encoding`, and no header of [`SINGLE_HEADERS`]
/// may be repeated.
///
/// The length of a body must be declared once, by `Content-Length`. A client that declares it in two ways may
/// hide a second request in the body (request smuggling): this gateway and an endpoint would then disagree on
/// where the first request ends. hyper removes `Content-Length` if there is a `Transfer-Encoding`, so only
/// the latter can be checked here.
fn check_headers(headers: &HeaderMap) -> Result<(), RequestError> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::LengthRequired);
    }
    if SINGLE_HEADERS.iter().any(|name| headers.get_all(name).iter().nth(1).is_some()) {
        return Err(RequestError::RepeatedHeader);
    }
    Ok(())
}

/// Checks that the request has the method that its class requires and, if the class requires one, an
/// idempotency key.
fn check_method_and_key(head: &Parts, idempotency: Idempotency) -> Result<(), RequestError> {
    let method = match idempotency {
        Idempotency::Idempotent => Method::GET,
        _ => Method::POST,
    };
    if head.method != method {
        return Err(RequestError::WrongMethod);
    }
    let needs_key = matches!(idempotency, Idempotency::IdempotencyKey { .. });
    if needs_key && !head.headers.contains_key(IDEMPOTENCY_KEY) {
        return Err(RequestError::MissingIdempotencyKey);
    }
    Ok(())
}

/// Parses `X-Budget`: how long the client waits for the response, in seconds.
fn parse_budget_s(headers: &HeaderMap) -> Result<f64, RequestError> {
    let budget_s: Option<f64> = header(headers, BUDGET).and_then(|text| text.parse().ok());
    budget_s.filter(|s| s.is_finite() && *s > 0.0).ok_or(RequestError::InvalidBudget)
}

/// Returns the value of a header, or `None` if it is missing or contains anything but visible ASCII.
fn header(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a number of exactly 16 hexadecimal digits.
fn parse_hex(text: &str) -> Option<u64> {
    let is_hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok())?
}

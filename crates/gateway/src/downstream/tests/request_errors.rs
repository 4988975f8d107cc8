//! Tests of the status and text of each request error.
use crate::downstream::request_error::RequestError;

/// The status and the body of the response to each error are part of the interface to clients.
#[test]
fn each_error_has_its_status_and_text() {
    for (error, status, text) in [
        (RequestError::UnknownPath, 404, "no such path"),
        (RequestError::InvalidCustomer, 400, "not a customer"),
        (RequestError::WrongMethod, 405, "not this class's method"),
        (RequestError::RepeatedHeader, 400, "a header is there twice"),
        (RequestError::MissingHost, 400, "no Host"),
        (RequestError::MissingCallId, 400, "no X-Call-Id"),
        (RequestError::InvalidCallId, 400, "no sound X-Call-Id"),
        (RequestError::DuplicateCallId, 409, "a request of this id is in work"),
        (RequestError::MissingClass, 400, "no X-Call-Class"),
        (RequestError::UnknownClass, 400, "unknown class"),
        (RequestError::MissingPlan, 400, "no X-Contract"),
        (RequestError::UnknownPlan, 400, "unknown plan"),
        (RequestError::MissingIdempotencyKey, 400, "no Idempotency-Key"),
        (RequestError::InvalidBudget, 400, "no sound X-Budget"),
        (RequestError::InvalidMetering, 400, "no sound X-Metering"),
        (RequestError::LengthRequired, 411, "a body without a told length"),
        (RequestError::BodyTooLarge, 413, "the body is too large"),
        (RequestError::BodyOnGet, 400, "a GET with a body"),
        (RequestError::BodyTimedOut, 408, "the body did not come in time"),
        (RequestError::UnreadableBody, 400, "the body cannot be read"),
    ] {
        assert_eq!((error.status().as_u16(), error.text()), (status, text), "{error:?}");
    }
}

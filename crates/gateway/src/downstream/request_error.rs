//! Why a request is invalid, and the response that says so.
use hyper::StatusCode;

/// Why a request is invalid. It has changed no state, and no attempt of it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestError {
    /// Neither an API path nor `/healthz`.
    UnknownPath,
    /// The path names no customer.
    InvalidCustomer,
    /// The method is not the one of the request's class.
    WrongMethod,
    /// A header of which one value is allowed is repeated.
    RepeatedHeader,
    /// No `Host`.
    MissingHost,
    /// No `X-Call-Id`.
    MissingCallId,
    /// `X-Call-Id` is missing or not 16 hexadecimal digits.
    InvalidCallId,
    /// Another request with this `X-Call-Id` is in progress.
    DuplicateCallId,
    /// No `X-Call-Class`.
    MissingClass,
    /// The settings do not name the class.
    UnknownClass,
    /// No `X-Contract`.
    MissingPlan,
    /// The settings do not name the plan.
    UnknownPlan,
    /// The class requires an `Idempotency-Key`.
    MissingIdempotencyKey,
    /// `X-Budget` is missing or not a positive number of seconds.
    InvalidBudget,
    /// `X-Metering` is missing, malformed or out of bounds.
    InvalidMetering,
    /// The length of the body is not declared by `Content-Length`.
    LengthRequired,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// A GET must not have a body.
    BodyOnGet,
    /// The body was not complete in time.
    BodyTimedOut,
    /// The body was truncated or is malformed.
    UnreadableBody,
}

impl RequestError {
    /// The status of the response.
    pub(super) fn status(self) -> StatusCode {
        match self {
            RequestError::UnknownPath => StatusCode::NOT_FOUND,
            RequestError::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::DuplicateCallId => StatusCode::CONFLICT,
            RequestError::LengthRequired => StatusCode::LENGTH_REQUIRED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            RequestError::InvalidCustomer
            | RequestError::RepeatedHeader
            | RequestError::MissingHost
            | RequestError::MissingCallId
            | RequestError::InvalidCallId
            | RequestError::MissingClass
            | RequestError::UnknownClass
            | RequestError::MissingPlan
            | RequestError::UnknownPlan
            | RequestError::MissingIdempotencyKey
            | RequestError::InvalidBudget
            | RequestError::InvalidMetering
            | RequestError::BodyOnGet
            | RequestError::UnreadableBody => StatusCode::BAD_REQUEST,
        }
    }

    /// The body of the response. These texts are part of the interface to clients.
    pub(super) fn text(self) -> &'static str {
        match self {
            RequestError::UnknownPath => "no such path",
            RequestError::InvalidCustomer => "not a customer",
            RequestError::WrongMethod => "not this class's method",
            RequestError::RepeatedHeader => "a header is there twice",
            RequestError::MissingHost => "no Host",
            RequestError::MissingCallId => "no X-Call-Id",
            RequestError::InvalidCallId => "no sound X-Call-Id",
            RequestError::DuplicateCallId => "a request of this id is in work",
            RequestError::MissingClass => "no X-Call-Class",
            RequestError::UnknownClass => "unknown class",
            RequestError::MissingPlan => "no X-Contract",
            RequestError::UnknownPlan => "unknown plan",
            RequestError::MissingIdempotencyKey => "no Idempotency-Key",
            RequestError::InvalidBudget => "no sound X-Budget",
            RequestError::InvalidMetering => "no sound X-Metering",
            RequestError::LengthRequired => "a body without a told length",
            RequestError::BodyTooLarge => "the body is too large",
            RequestError::BodyOnGet => "a GET with a body",
            RequestError::BodyTimedOut => "the body did not come in time",
            RequestError::UnreadableBody => "the body cannot be read",
        }
    }
}

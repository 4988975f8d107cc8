//! The reasons why a request is invalid, and the status and text of the response to each.
use hyper::StatusCode;

/// The reason why a request is invalid. An invalid request changes no state, and no attempt of it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestError {
    /// The path is neither below `/api/` nor `/healthz`.
    UnknownPath,
    /// What follows `/api/` in the path is not a valid customer id.
    InvalidCustomer,
    /// The method is not the one that the request's class requires.
    WrongMethod,
    /// A header that may have only one value is repeated.
    RepeatedHeader,
    /// `Host` is missing.
    MissingHost,
    /// `X-Call-Id` is missing when the request is forwarded. Parsing reports it as invalid before that.
    MissingCallId,
    /// `X-Call-Id` is missing or not 16 hexadecimal digits.
    InvalidCallId,
    /// Another request with this `X-Call-Id` is in progress.
    DuplicateCallId,
    /// `X-Call-Class` is missing.
    MissingClass,
    /// `X-Call-Class` names a class that is not in the settings.
    UnknownClass,
    /// `X-Contract` is missing.
    MissingPlan,
    /// `X-Contract` names a plan that is not in the settings.
    UnknownPlan,
    /// `Idempotency-Key` is missing, and the class requires it.
    MissingIdempotencyKey,
    /// `X-Budget` is missing or not a positive number of seconds.
    InvalidBudget,
    /// `X-Metering` is missing or malformed, or a value in it is out of range.
    InvalidMetering,
    /// The request has a `Transfer-Encoding`; the length of a body must be declared by `Content-Length`.
    LengthRequired,
    /// The body is longer than [`MAX_BODY_BYTES`](crate::upstream::MAX_BODY_BYTES).
    BodyTooLarge,
    /// A GET request has a body.
    BodyOnGet,
    /// The body was not complete by its deadline.
    BodyTimedOut,
    /// The body is truncated or malformed.
    UnreadableBody,
}

impl RequestError {
    /// Returns the status of the response.
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

    /// Returns the body of the response. These texts are part of the interface to clients.
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

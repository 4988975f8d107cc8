//! Decides whether a new request is sent, queued or rejected, and how long a request may wait.
pub(crate) mod deadline;
pub(crate) mod elapsed_wait;
pub(crate) mod local_bucket;
pub(crate) mod new_request;
pub(crate) mod retry_after;

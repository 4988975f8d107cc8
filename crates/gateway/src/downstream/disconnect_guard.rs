//! Tells the dispatcher of a client that disconnects before its response.
use crate::dispatcher::Dispatcher;
use irishinge_admission::RequestId;
use std::rc::Rc;

/// A guard that notifies the dispatcher of a client's disconnect if it is dropped before there is a response.
/// The future of a request is dropped when its client disconnects, whether hyper or
/// [`Connection::client_disconnected`](super::connection::Connection::client_disconnected) notices it, and
/// nothing else notifies the dispatcher.
pub(super) struct NotifyDisconnectOnDrop<'a> {
    /// The dispatcher to notify.
    dispatcher: &'a Rc<Dispatcher>,
    /// The request in progress; `None` once it has a response.
    request: Option<RequestId>,
}

impl<'a> NotifyDisconnectOnDrop<'a> {
    /// Creates a guard of a request that has been dispatched.
    pub(super) fn new(dispatcher: &'a Rc<Dispatcher>, request: RequestId) -> Self {
        NotifyDisconnectOnDrop { dispatcher, request: Some(request) }
    }

    /// Prevents the notification, because the request has its response.
    pub(super) fn disarm(&mut self) {
        self.request = None;
    }
}

impl Drop for NotifyDisconnectOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.dispatcher.on_client_disconnected(request);
        }
    }
}

//! The translation of the admission library's actions to wire messages.

use super::ids::{EndpointAddress, HexId};
use super::output::OutputMessage;
use irishinge_admission::{Action, EndpointId, GatewayIndex, RequestId};

impl From<Action> for OutputMessage {
    fn from(action: Action) -> Self {
        match action {
            Action::Send { request, endpoint, timeout_ms } => {
                Self::Send { request: request.into(), timeout_ms, endpoint: endpoint.into() }
            }
            Action::Reject { request, retry_after_ms } => {
                Self::Reject { request: request.into(), retry_after_ms }
            }
            Action::Fail { request } => Self::Fail { request: request.into() },
            Action::Cancel { request, attempt } => Self::Cancel { request: request.into(), attempt },
            Action::SendPeerMessage { to, body } => Self::SendPeerMessage { to: recipient(to), body },
            Action::SetTimer { at_ms, token } => Self::SetTimer { at_ms, token },
            Action::AddToCounter { name, amount, ttl_ms } => Self::AddToCounter { name, amount, ttl_ms },
        }
    }
}

/// Returns the wire's number of the gateway that a peer message is sent to. It is never -1, which means all
/// other gateways.
fn recipient(peer: GatewayIndex) -> i64 {
    i64::try_from(peer.0).unwrap_or(i64::MAX)
}

impl From<RequestId> for HexId {
    fn from(id: RequestId) -> Self {
        HexId(id.0)
    }
}

impl From<EndpointId> for EndpointAddress {
    fn from(id: EndpointId) -> Self {
        EndpointAddress(id)
    }
}

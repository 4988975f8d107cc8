//! What an idle connection is found to be, branch by branch.
use super::IdleCheck;
use std::io::{Error, ErrorKind, Result};

/// A connection that is reused although its far end has closed it, or has sent bytes on it, loses the next
/// request or gives it a response that is not its own. Expected: it is usable only if it is ready and
/// nothing is there to read.
#[test]
fn connection_is_usable_only_if_ready_without_unread_bytes() {
    let nothing = || -> Result<usize> { Err(ErrorKind::WouldBlock.into()) };
    let cases = [
        (true, false, nothing(), IdleCheck::Usable),
        (false, false, nothing(), IdleCheck::Closed),
        (true, false, Ok(0), IdleCheck::Closed),
        (true, false, Err(Error::from(ErrorKind::ConnectionReset)), IdleCheck::Closed),
        (true, false, Ok(1), IdleCheck::UnexpectedBytes),
        (false, false, Ok(1), IdleCheck::UnexpectedBytes),
        (true, true, nothing(), IdleCheck::UnexpectedBytes),
        (false, true, Ok(0), IdleCheck::UnexpectedBytes),
    ];
    for (is_ready, has_read_bytes, unread, expected) in cases {
        let check = IdleCheck::new(is_ready, has_read_bytes, &unread);
        assert_eq!(check, expected, "{is_ready} {has_read_bytes} {unread:?}");
    }
}

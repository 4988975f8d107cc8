//! Tests of the check of idle connections, with a case for each branch.
use super::IdleCheck;
use std::io::{Error, ErrorKind, Result};

/// If a connection were reused after the server had closed it, the next request would be lost; if it were
/// reused after the server had sent bytes on it, those would be read as the response. Expected: a connection
/// is usable only if it is ready and has no unread bytes.
#[test]
fn connection_is_usable_only_if_ready_without_unread_bytes() {
    let nothing = || -> Result<usize> { Err(ErrorKind::WouldBlock.into()) };
    let cases = [
        (true, false, nothing(), IdleCheck::Usable),
        (false, false, nothing(), IdleCheck::Closed),
        (true, false, Ok(0), IdleCheck::Closed),
        (true, false, Err(Error::from(ErrorKind::ConnectionReset)), IdleCheck::Closed),
        (true, false, Ok(1), IdleCheck::SurplusBytes),
        (false, false, Ok(1), IdleCheck::SurplusBytes),
        (true, true, nothing(), IdleCheck::SurplusBytes),
        (false, true, Ok(0), IdleCheck::SurplusBytes),
    ];
    for (is_ready, has_read_bytes, unread, expected) in cases {
        let check = IdleCheck::new(is_ready, has_read_bytes, &unread);
        assert_eq!(check, expected, "{is_ready} {has_read_bytes} {unread:?}");
    }
}

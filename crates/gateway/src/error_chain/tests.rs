//! The tests of the line that the gateway writes when it cannot start.
use super::*;
use crate::config::{ConfigError, InvalidConfig};
use crate::startup::StartupError;
use std::io;

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    let source = InvalidConfig::TooFewDescriptors(5);
    let error = StartupError::Config(ConfigError::Invalid { path: "gateway.json".to_string(), source });
    let line = "invalid configuration file gateway.json: limits.sockets is 5, but must be at least 64";
    assert_eq!(ErrorChain(&error).to_string(), line);
}

#[test]
fn bind_failure_is_reported_in_one_line_with_address() {
    let addr = ([127, 0, 0, 1], 80).into();
    let error = StartupError::Listen { addr, source: io::Error::other("address in use") };
    let line = "cannot listen for clients on 127.0.0.1:80: address in use";
    assert_eq!(ErrorChain(&error).to_string(), line);
}

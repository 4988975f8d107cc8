//! The tests of the line that an operator sees when the gateway cannot start.
use super::*;
use crate::config::{ConfigError, InvalidConfig};
use crate::startup::StartupError;
use std::io;

#[test]
fn a_wrong_configuration_is_one_line_that_says_what_where_and_why() {
    let source = InvalidConfig::TooFewDescriptors(5);
    let error = StartupError::Config(ConfigError::Invalid { path: "gateway.json".to_string(), source });
    let line = "cannot use the configuration gateway.json: limits.sockets is 5, but must be at least 64";
    assert_eq!(ErrorChain(&error).to_string(), line);
}

#[test]
fn an_address_that_cannot_be_bound_is_one_line_that_names_it() {
    let addr = ([127, 0, 0, 1], 80).into();
    let error = StartupError::Listen { addr, source: io::Error::other("address in use") };
    let line = "cannot listen for clients on 127.0.0.1:80: address in use";
    assert_eq!(ErrorChain(&error).to_string(), line);
}

//! The tests of the line that the gateway writes when it cannot start.
use super::*;
use crate::config::{ConfigError, InvalidConfig};
use crate::startup::StartupError;
use std::io;

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    let source = InvalidConfig::TooFewDescriptors(5);
    let error = StartupError::Config(ConfigError::Invalid { path: "gateway.json".to_string(), source });
    let line = "invalid configuration file gateway.json: limits.sockets is 5, expected at least 64";
    assert_eq!(ErrorChain(&error).to_string(), line);
}

/// The seed is any text. A line break in it must not split the line.
#[test]
fn invalid_seed_is_reported_in_one_line_with_its_value() {
    let value = "seed\n".to_string();
    let source = u64::from_str_radix(&value, 16).expect_err("the seed is invalid");
    let line = "seed is \"seed\\n\", expected a hexadecimal number of at most 64 bits: \
                invalid digit found in string";
    assert_eq!(ErrorChain(&InvalidConfig::InvalidSeed { value, source }).to_string(), line);
}

#[test]
fn bind_failure_is_reported_in_one_line_with_address() {
    let addr = ([127, 0, 0, 1], 80).into();
    let error = StartupError::Listen { addr, source: io::Error::other("address in use") };
    let line = "cannot listen for clients on 127.0.0.1:80: address in use";
    assert_eq!(ErrorChain(&error).to_string(), line);
}

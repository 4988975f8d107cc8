//! Tests of the startup with an invalid configuration.
use crate::common::*;
use serde_json::json;

/// A configuration has an invalid number, name, address or seed. If the process started with it, it would
/// fail later, when a request arrives. Expected: the process ends with one line on standard error, which says
/// what is wrong, and a non-zero exit code.
#[test]
fn invalid_configuration_ends_startup_with_one_error_line() {
    let discovery = SequentialDiscovery::start();
    for (pointer, value, text) in [
        ("/settings/me", json!(7), "this gateway's number is 7, expected a number below "),
        ("/settings/zone", json!("nowhere"), "zone is nowhere, expected one of zones: "),
        ("/settings/ceilings/connIdleMs", json!(0), "connIdleMs is 0, expected a number above 0"),
        ("/listen", json!("here"), "invalid socket address"),
        ("/limits/sockets", json!(5), "limits.sockets is 5, expected at least 64"),
        ("/seed", json!("seed"), "seed is \"seed\", expected a hexadecimal number of at most 64 bits"),
    ] {
        let mut config = config(discovery.addr, &[]);
        *config.pointer_mut(pointer).expect("the configuration has the setting") = value;
        let output = spawn(&config).wait_with_output().expect("the gateway ends");
        assert!(!output.status.success(), "{pointer}");
        let line = String::from_utf8_lossy(&output.stderr);
        assert_eq!(line.lines().count(), 1, "{pointer}");
        assert!(line.contains(text), "{pointer}: {line}");
    }
}

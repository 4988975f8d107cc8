//! Tests of the startup with an invalid configuration.
use crate::common::*;
use serde_json::json;

/// A configuration has an invalid number, name, address or seed. If the process started with it, it would
/// fail later, when a request arrives. Expected: the process ends with one line on standard error and a
/// non-zero exit code.
#[test]
fn invalid_configuration_ends_startup_with_one_error_line() {
    let discovery = SequentialDiscovery::start();
    for (pointer, value) in [
        ("/settings/me", json!(7)),
        ("/settings/zone", json!("nowhere")),
        ("/settings/ceilings/connIdleMs", json!(0)),
        ("/listen", json!("here")),
        ("/limits/sockets", json!(5)),
        ("/seed", json!("seed")),
    ] {
        let mut config = config(discovery.addr, &[]);
        *config.pointer_mut(pointer).expect("the configuration has the setting") = value;
        let output = spawn(&config).wait_with_output().expect("the gateway ends");
        assert!(!output.status.success(), "{pointer}");
        assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 1, "{pointer}");
    }
}

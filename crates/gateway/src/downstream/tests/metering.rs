//! Tests of the parsing of the `X-Metering` header.
use super::settings;
use crate::downstream::metering::Metering;

#[test]
fn fields_are_accepted_in_any_order_and_unknown_ones_skipped() {
    let metering = Some(Metering { units: 2.5, gateway_count: 3, first_gateway: 1 });
    for text in
        ["units=2.5,spread=3,first=1", "first=1, spread=3 ,units=2.5", "x=,x=9,units=2.5,spread=3,first=1"]
    {
        assert_eq!(Metering::parse(text, &settings()), metering, "{text}");
    }
}

#[test]
fn missing_malformed_or_repeated_fields_are_errors() {
    for text in [
        "",
        "units",
        "units=1,spread=1",
        "units=1,first=0",
        "spread=1,first=0",
        "units=one,spread=1,first=0",
        "units=1,spread=1.0,first=0",
        "units=1,spread=1,first=-1",
        "units=1,units=1,spread=1,first=0",
        "units=1,spread=1,spread=1,first=0",
        "units=1,spread=1,first=0,first=0",
        "units=1,spread=1,first=0,",
    ] {
        assert_eq!(Metering::parse(text, &settings()), None, "{text}");
    }
}

#[test]
fn values_outside_the_settings_range_are_errors() {
    let is_valid = |units: &str, spread: usize, first: usize| {
        Metering::parse(&format!("units={units},spread={spread},first={first}"), &settings()).is_some()
    };
    assert!(is_valid("8", 4, 3));
    for units in ["8.001", "0", "-1", "NaN", "inf"] {
        assert!(!is_valid(units, 1, 0), "{units}");
    }
    assert!(!is_valid("1", 0, 0));
    assert!(!is_valid("1", 5, 0));
    assert!(!is_valid("1", 1, 4));
}

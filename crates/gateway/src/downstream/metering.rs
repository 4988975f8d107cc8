//! The `X-Metering` header: the units that a request takes from its customer's quota, and the gateways that
//! the customer's requests come through.
use irishinge_admission::Settings;

/// The fields of `X-Metering`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Metering {
    /// The units that the request takes from its customer's quota.
    pub(super) units: f64,
    /// The number of gateways that the customer's requests come through (`spread` on the wire).
    pub(super) gateway_count: usize,
    /// The index of the first of these gateways (`first` on the wire).
    pub(super) first_gateway: usize,
}

impl Metering {
    /// Parses a value such as `units=2,spread=3,first=1`, with its fields in any order. Unknown fields are
    /// skipped. Returns `None` if a field is missing, malformed, repeated or outside the range that the
    /// settings allow.
    pub(super) fn parse(text: &str, settings: &Settings) -> Option<Self> {
        let (mut units, mut gateway_count, mut first_gateway) = (None, None, None);
        for field in text.split(',') {
            let (name, value) = field.trim().split_once('=')?;
            let is_repeated = match name {
                "units" => units.replace(value.parse::<f64>().ok()?).is_some(),
                "spread" => gateway_count.replace(value.parse::<usize>().ok()?).is_some(),
                "first" => first_gateway.replace(value.parse::<usize>().ok()?).is_some(),
                _ => false,
            };
            if is_repeated {
                return None;
            }
        }
        Some(Metering {
            units: units.filter(|units| *units > 0.0 && *units <= settings.max_units)?,
            gateway_count: gateway_count.filter(|count| (1..=settings.gateways).contains(count))?,
            first_gateway: first_gateway.filter(|first| *first < settings.gateways)?,
        })
    }
}

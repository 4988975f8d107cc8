//! The `X-Metering` header: what a request counts, and which gateways its customer comes through.
use irishinge_admission::Settings;

/// The fields of `X-Metering`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Metering {
    /// Units the request counts.
    pub(super) units: f64,
    /// Through how many gateways the customer's requests come.
    pub(super) gateway_count: usize,
    /// The number of the first of these gateways.
    pub(super) first_gateway: usize,
}

impl Metering {
    /// Parses `units=2,spread=3,first=1`, in any order; unknown fields are skipped. None where a field is
    /// missing, malformed, repeated or out of the settings' bounds.
    pub(super) fn parse(text: &str, settings: &Settings) -> Option<Self> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for field in text.split(',') {
            let (name, value) = field.trim().split_once('=')?;
            let is_repeated = match name {
                "units" => units.replace(value.parse::<f64>().ok()?).is_some(),
                "spread" => spread.replace(value.parse::<usize>().ok()?).is_some(),
                "first" => first.replace(value.parse::<usize>().ok()?).is_some(),
                _ => false,
            };
            if is_repeated {
                return None;
            }
        }
        Some(Metering {
            units: units.filter(|units| *units > 0.0 && *units <= settings.max_units)?,
            gateway_count: spread.filter(|count| (1..=settings.gateways).contains(count))?,
            first_gateway: first.filter(|first| *first < settings.gateways)?,
        })
    }
}

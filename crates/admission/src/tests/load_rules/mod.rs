//! Rules on load: admission, the queue, and the in-flight band.
mod band_position_rules;
mod counted_endpoint_rules;
mod watermark_rules;

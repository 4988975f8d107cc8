//! The levels of the process's memory, as a fraction of its limit.

/// The fraction from which memory is high.
const HIGH_FRACTION: f64 = 0.75;
/// The fraction below which memory is normal again. It is lower, so that memory around one threshold does not
/// report a change with every measurement.
const NORMAL_FRACTION: f64 = 0.6;

/// How much of its memory the process uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum MemoryLevel {
    /// Less than the limit by far.
    #[default]
    Normal,
    /// So much that the limit may soon be exceeded.
    High,
}

/// Tracks the level over several measurements.
#[derive(Debug, Default)]
pub(super) struct MemoryLevelTracker {
    /// The level after the last measurement.
    level: MemoryLevel,
}

impl MemoryLevelTracker {
    /// Records a measurement, as a fraction of the limit. Returns the level if another one is entered.
    pub(super) fn observe(&mut self, fraction: f64) -> Option<MemoryLevel> {
        let level = match self.level {
            MemoryLevel::Normal if fraction >= HIGH_FRACTION => MemoryLevel::High,
            MemoryLevel::High if fraction < NORMAL_FRACTION => MemoryLevel::Normal,
            unchanged => unchanged,
        };
        let is_changed = level != self.level;
        self.level = level;
        is_changed.then_some(level)
    }
}

//! Rules on endpoints: selection, ejection, slow start, and retries.

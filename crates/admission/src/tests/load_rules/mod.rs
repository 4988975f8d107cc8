//! Rules on load: admission, the queue, and the in-flight band.

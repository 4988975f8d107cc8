//! The tests of the upstream side, by concern.
mod connections;
mod outcomes;

//! Tests of the upstream side.
mod connections;
mod outcomes;

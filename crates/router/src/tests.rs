//! Tests of the parts; `crates/testbed` runs them together under failures.

mod config;
mod core;
mod exchange;
mod relay;

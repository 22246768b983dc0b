//! Unit tests of the modules; `crates/testbed` tests them together under failures.

mod config;
mod core;
mod exchange;
mod relay;

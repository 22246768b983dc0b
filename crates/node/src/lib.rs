//! The drumshore daemons and the operators' commands.
//!
//! A daemon is one thread that runs the actors ([`event_loop`]), links to other processes
//! ([`links`]), and an HTTP edge whose threads ask the actors and carry the bytes.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

mod cli;
pub mod control;
pub mod event_loop;
pub mod links;
mod logs;
pub mod metrics;
pub mod operator;
pub mod router;
mod settings_file;

pub use cli::main;
pub use settings_file::{load, LoadError};

#[cfg(test)]
mod tests;

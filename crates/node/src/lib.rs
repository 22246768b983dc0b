//! The drumshore daemons and the operators' commands.
//!
//! A daemon runs its actor on one thread ([`event_loop`]). Other threads serve the links to other
//! processes ([`links`]) and the HTTP connections; they post tasks to the actor's thread, and
//! transfer request and response bodies themselves.
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

//! Stand-ins, load and experiments for drumshore.
//!
//! [`engine`] and [`platform`] are the outside systems, [`workload`] is what callers ask,
//! [`load`] asks it and checks every answer, [`fleet`] runs everything as processes, [`sim`] on a
//! virtual clock, [`bench`] measures single parts.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

pub mod bench;
mod cli;
pub mod engine;
pub mod fleet;
pub mod load;
pub mod platform;
pub mod replay;
pub mod sim;
pub mod workload;

pub use cli::main;

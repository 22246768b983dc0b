//! Mock services, load generation, simulation and benchmarks for drumshore.
//!
//! [`engine`] and [`platform`] are mocks of the external systems. [`workload`] generates requests,
//! and [`load`] sends them and checks every answer. [`fleet`] runs a deployment as processes, and
//! [`sim`] runs one on a virtual clock. [`mod@bench`] measures single components, and [`replay`]
//! compares a recorded trace with its expected decisions.
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

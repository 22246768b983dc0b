//! Simulated clusters of replicas with in-memory disks, under random and scripted failures.
//!
//! The tests of `drumshore-consensus` and the simulator share it. [`run_schedule`] runs a random
//! sequence of messages, ticks, crashes and network partitions; [`scripts`] reproduces single
//! failures of the protocol step by step.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod cluster;
pub mod scripts;

pub use cluster::{run_schedule, Cluster, Node, Violation};

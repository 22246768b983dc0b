//! The control plane at the target's size: real control machines and a few real routers, with
//! hollow routers and workers in one process, at several sizes; slopes fitted over them.

mod fit;
mod hollow;
mod measure;
mod page;
mod stage;

pub(crate) mod cli;

pub use fit::Line;
pub use measure::{Reading, Usage};
pub use stage::{StageReport, StageSize};

use serde::{Deserialize, Serialize};

/// What came of a scale run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleReport {
    /// One report for each size, smallest first.
    pub stages: Vec<StageReport>,
    /// Control machines.
    pub controls: usize,
    /// Seconds that each size was measured.
    pub seconds: f64,
}

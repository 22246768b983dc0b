//! `drumshore-lab replay`: replays a recorded trace and compares its decisions with expected ones.

use std::path::{Path, PathBuf};

use drumshore_routing::recorder::{replay, TraceDecision, TraceLine};
use pico_args::Arguments;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::cli::{finish, LabError};

/// The first decision of a replay that differs from the expected one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Number of the decision, from 1.
    pub position: usize,
    /// The expected decision; `None` when the replay made more decisions than expected.
    pub expected: Option<TraceDecision>,
    /// The decision of the replay; `None` when it made fewer decisions than expected.
    pub found: Option<TraceDecision>,
}

/// Returns the first difference between expected and replayed decisions, if any.
pub fn first_difference(expected: &[TraceDecision], found: &[TraceDecision]) -> Option<Difference> {
    let longest = expected.len().max(found.len());
    (0..longest)
        .find(|position| expected.get(*position) != found.get(*position))
        .map(|position| Difference {
            position: position + 1,
            expected: expected.get(position).cloned(),
            found: found.get(position).cloned(),
        })
}

/// Reads a file with one JSON document per line.
pub fn read_lines<T: DeserializeOwned>(file: &Path) -> Result<Vec<T>, std::io::Error> {
    let text = std::fs::read_to_string(file)?;
    text.lines()
        .map(|line| serde_json::from_str(line).map_err(std::io::Error::other))
        .collect()
}

/// Writes a file with one JSON document per line.
pub(crate) fn write_lines<T: Serialize>(file: &Path, items: &[T]) -> Result<(), LabError> {
    let mut text = String::new();
    for item in items {
        text += &serde_json::to_string(item)?;
        text.push('\n');
    }
    std::fs::write(file, text)?;
    Ok(())
}

pub(crate) fn main(mut arguments: Arguments) -> Result<bool, LabError> {
    let expect: Option<PathBuf> = arguments.opt_value_from_str("--expect")?;
    let write: Option<PathBuf> = arguments.opt_value_from_str("--write-expect")?;
    let trace: PathBuf = arguments.free_from_str()?;
    finish(arguments)?;
    let lines: Vec<TraceLine> = read_lines(&trace)?;
    let found = replay(&lines).map_err(|error| LabError::Usage(error.to_string()))?;
    println!("{} events, {} decisions", lines.len(), found.len());
    if let Some(file) = write {
        write_lines(&file, &found)?;
    }
    let Some(file) = expect else {
        return Ok(true);
    };
    let expected: Vec<TraceDecision> = read_lines(&file)?;
    match first_difference(&expected, &found) {
        None => {
            println!("all decisions as expected");
            Ok(true)
        }
        Some(difference) => {
            println!("decision {} differs", difference.position);
            println!("  expected: {:?}", difference.expected);
            println!("  found:    {:?}", difference.found);
            Ok(false)
        }
    }
}

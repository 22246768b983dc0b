//! `drumshore-lab replay`: recorded traces against stated outcomes.

use std::path::{Path, PathBuf};

use drumshore_routing::recorder::{replay, TraceDecision, TraceLine};
use pico_args::Arguments;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::cli::{finish, LabError};

/// The first place at which a replay differs from what was stated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The decision's place, counted from 1.
    pub position: usize,
    /// What was stated; `None` when nothing more was.
    pub expected: Option<TraceDecision>,
    /// What the replay gave; `None` when it gave nothing more.
    pub found: Option<TraceDecision>,
}

/// Compares decisions with stated ones.
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

/// Reads a file of JSON documents, one a line.
pub fn read_lines<T: DeserializeOwned>(file: &Path) -> Result<Vec<T>, std::io::Error> {
    let text = std::fs::read_to_string(file)?;
    text.lines()
        .map(|line| serde_json::from_str(line).map_err(std::io::Error::other))
        .collect()
}

/// Writes a file of JSON documents, one a line.
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
            println!("all as stated");
            Ok(true)
        }
        Some(difference) => {
            println!("decision {} differs", difference.position);
            println!("  stated: {:?}", difference.expected);
            println!("  found:  {:?}", difference.found);
            Ok(false)
        }
    }
}

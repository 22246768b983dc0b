//! Loads settings files.

use std::path::{Path, PathBuf};

use drumshore_core::settings::{parse, Settings, SettingsError};

/// Why a settings file cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error("{path}: {source}", path = path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid.
    #[error("{path}: {source}", path = path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Names the key and line, the value found and the values allowed.
        source: SettingsError,
    },
}

/// Reads and validates a settings file.
pub fn load<S: Settings>(path: &Path) -> Result<S, LoadError> {
    let text = std::fs::read_to_string(path).map_err(|source| LoadError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(&text).map_err(|source| LoadError::Invalid {
        path: path.to_owned(),
        source,
    })
}

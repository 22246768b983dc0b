//! Reads settings files.

use std::path::{Path, PathBuf};

use drumshore_core::settings::{parse, Settings, SettingsError};

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// It cannot be read.
    #[error("{path}: {source}", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It is not valid.
    #[error("{path}: {source}", path = path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The key, the line, what was found and what is allowed.
        source: SettingsError,
    },
}

/// Reads and checks a settings file.
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

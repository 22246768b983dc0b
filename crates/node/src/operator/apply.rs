//! `drumshore apply`: writes the resources in a file.

use std::io::Read;

use drumshore_core::{Resource, ResourceKey, ResourceSpec, Revision};
use serde::Deserialize;

use super::client::{resource_path, Client, ClientError};
use super::{print_outcome, ExitStatus};

/// A resource in an operator's file.
#[derive(Debug, Deserialize)]
struct Document {
    name: String,
    #[serde(flatten)]
    spec: ResourceSpec,
    /// The resource version that the document is based on. Defaults to the current version.
    #[serde(default)]
    version: Option<Revision>,
}

/// The content of a file: `[[resource]]` tables in TOML, or a JSON object with a list `resource`.
#[derive(Debug, Deserialize)]
struct DocumentFile {
    resource: Vec<Document>,
}

pub(super) fn apply_file(client: &Client, file: &str) -> Result<ExitStatus, ClientError> {
    let text =
        read_text(file).map_err(|error| ClientError::Unreadable(format!("{file}: {error}")))?;
    let documents =
        parse(&text).map_err(|error| ClientError::Unreadable(format!("{file}: {error}")))?;
    let mut exit_status = ExitStatus::Done;
    for document in documents {
        let status = apply(client, &document)?;
        if status != ExitStatus::Done {
            exit_status = status;
        }
    }
    Ok(exit_status)
}

fn read_text(file: &str) -> std::io::Result<String> {
    if file == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    std::fs::read_to_string(file)
}

fn parse(text: &str) -> Result<Vec<Document>, String> {
    if text.trim_start().starts_with('{') {
        let file: DocumentFile = serde_json::from_str(text).map_err(|error| error.to_string())?;
        return Ok(file.resource);
    }
    let file: DocumentFile = toml::from_str(text).map_err(|error| error.to_string())?;
    Ok(file.resource)
}

fn apply(client: &Client, document: &Document) -> Result<ExitStatus, ClientError> {
    let key = ResourceKey {
        kind: document.spec.kind(),
        name: document.name.clone(),
    };
    let current = match client.get::<Resource>(&resource_path(&key)) {
        Ok(current) => Some(current),
        Err(ClientError::Refused { status: 404, .. }) => None,
        Err(error) => return Err(error),
    };
    if current
        .as_ref()
        .is_some_and(|current| current.spec == document.spec)
    {
        println!("{}/{}: unchanged", key.kind.as_str(), key.name);
        return Ok(ExitStatus::Done);
    }
    let found = current.map_or(Revision(0), |current| current.version);
    let expected = document.version.unwrap_or(found);
    let outcome = client.put(&key, expected, &document.spec)?;
    Ok(print_outcome(&key, &outcome))
}

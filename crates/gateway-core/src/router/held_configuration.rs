//! The body of the configuration in force at a router, from which patches lead to later ones.

use crate::{Changes, ConfigurationHash, PatchError};

/// The body of a configuration.
#[derive(Debug, Default)]
pub(super) struct HeldConfiguration {
    body: Vec<u8>,
    hash: ConfigurationHash,
    /// Whether the last patch that started from this configuration failed.
    has_failed: bool,
}

impl HeldConfiguration {
    /// What control machines may base patches on; `None` after a patch failed, so that they send the whole body.
    pub fn patch_base(&self) -> Option<ConfigurationHash> {
        (!self.has_failed).then_some(self.hash)
    }

    /// The body of the configuration in changes, if there is one.
    pub fn body_in(&mut self, changes: &Changes) -> Result<Option<Vec<u8>>, PatchError> {
        let Some(patch) = &changes.patch else {
            let body = changes.configuration.items.first();
            return Ok(body.map(|body| body.bytes.clone()));
        };
        let body = patch.apply(&self.body);
        self.has_failed |= body
            .as_ref()
            .is_err_and(|error| *error != PatchError::OtherBase);
        body.map(Some)
    }

    /// Replaces the body.
    pub fn set(&mut self, body: Vec<u8>) {
        *self = Self {
            hash: ConfigurationHash::of(&body),
            body,
            has_failed: false,
        };
    }
}

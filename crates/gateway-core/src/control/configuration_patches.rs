//! Replaces the configuration in responses to routers by its difference from the one that they hold.

use std::collections::{BTreeMap, VecDeque};

use crate::{Changes, ConfigurationHash, ConfigurationPatch};

/// Configurations that are kept as the start of patches. Routers that hold an earlier one are sent a patch that
/// starts from nothing.
const MAX_KEPT: usize = 8;
const MAX_KEPT_BYTES: usize = 16 << 20;

/// The latest configurations, and the patches to the newest one.
#[derive(Debug, Default)]
pub(super) struct ConfigurationPatches {
    /// The newest is the last.
    kept: VecDeque<(ConfigurationHash, Vec<u8>)>,
    /// By the configuration that they start from.
    to_newest: BTreeMap<ConfigurationHash, ConfigurationPatch>,
}

impl ConfigurationPatches {
    /// Records the configuration in force.
    pub fn note(&mut self, body: &[u8]) {
        let hash = ConfigurationHash::of(body);
        if self.kept.back().is_some_and(|(newest, _)| *newest == hash) {
            return;
        }
        self.kept.retain(|(kept, _)| *kept != hash);
        self.kept.push_back((hash, body.to_vec()));
        self.to_newest.clear();
        while self.kept.len() > 1 && self.is_too_large() {
            self.kept.pop_front();
        }
    }

    /// Replaces the configuration in changes, if there is one, by a patch for a router that holds `held`.
    pub fn apply_to(&mut self, changes: &mut Changes, held: ConfigurationHash) {
        let Some(body) = changes.configuration.items.pop() else {
            return;
        };
        self.note(&body.bytes);
        match self.patch_from(held) {
            Some(patch) => changes.patch = Some(patch),
            None => changes.configuration.items.push(body),
        }
    }

    fn is_too_large(&self) -> bool {
        let bytes: usize = self.kept.iter().map(|(_, body)| body.len()).sum();
        self.kept.len() > MAX_KEPT || bytes > MAX_KEPT_BYTES
    }

    /// The patch to the newest configuration; `None` if it cannot be made.
    fn patch_from(&mut self, held: ConfigurationHash) -> Option<ConfigurationPatch> {
        let base = self.kept.iter().find(|(kept, _)| *kept == held);
        let (hash, base) = base.map_or((ConfigurationHash::NONE, &[][..]), |(hash, body)| {
            (*hash, body.as_slice())
        });
        if let Some(patch) = self.to_newest.get(&hash) {
            return Some(patch.clone());
        }
        let (_, newest) = self.kept.back()?;
        let patch = ConfigurationPatch::between(base, newest).ok()?;
        self.to_newest.insert(hash, patch.clone());
        Some(patch)
    }
}

#[cfg(test)]
#[path = "configuration_patches_tests.rs"]
mod tests;

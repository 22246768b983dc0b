//! Asks engines what they hold of an expensive prompt before it is placed.
//!
//! Beliefs and homes answer for most requests. Where they expect much to be computed, a question
//! of a millisecond may find the prefix somewhere, or a shorter queue. The budget keeps these
//! questions within a node's share of control traffic.

use drumshore_core::RequestId;
use drumshore_routing::{LookupAnswer, PrefixChain};

use super::{AdmitOutcome, Lookup, LookupTarget, Phase, RouterCore};
use crate::engine_api::LookupRequest;

impl RouterCore {
    /// Lets a request's owner ask engines.
    pub(super) fn look_up(
        &mut self,
        id: RequestId,
        chain: &PrefixChain,
        targets: Vec<LookupTarget>,
    ) {
        self.metrics.lookups += 1;
        let patience = self.params.lookup_patience;
        // Twice the patience: the owner keeps the first, this core only cares that it ends.
        let until = self.now.plus(patience * 2);
        if let Some(request) = self.active.get_mut(&id) {
            request.phase = Phase::LookingUp { until };
        }
        let lookup = Lookup {
            targets,
            request: LookupRequest::of(chain),
            block_tokens: chain.block_tokens(),
            patience,
        };
        self.answer(id, AdmitOutcome::LookUp(lookup));
    }

    /// Engines have answered, as far as they did in time. The owner waits for an outcome.
    pub fn on_looked_up(&mut self, id: RequestId, answers: &[LookupAnswer]) {
        let waits = self
            .active
            .get(&id)
            .is_some_and(|request| matches!(request.phase, Phase::LookingUp { .. }));
        if !waits {
            return;
        }
        if !self.place_informed(id, answers) {
            self.queue_or_place(id);
        }
    }
}

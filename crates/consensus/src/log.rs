//! The in-memory log after the last snapshot.

use std::collections::VecDeque;

use crate::{Entry, LogIndex, Snapshot, Term};

/// Entries after the last snapshot, with the persisted, committed and applied positions.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    /// The last position that the snapshot covers.
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// The last position that is durable on this replica's disk.
    pub persisted: LogIndex,
    /// The last position known to be committed.
    pub committed: LogIndex,
    /// The last position returned to the caller for applying.
    pub applied: LogIndex,
}

impl Log {
    pub fn new(snapshot: &Snapshot, entries: Vec<Entry>, commit: LogIndex) -> Self {
        let mut log = Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            entries: entries.into(),
            persisted: snapshot.index,
            committed: snapshot.index,
            applied: snapshot.index,
        };
        log.persisted = log.last_index();
        log.committed = commit.min(log.last_index()).max(snapshot.index);
        log
    }

    pub fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// The term at a position; `None` for positions before the snapshot or after the end.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let position = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(position as usize)
    }

    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on. Panics if any of them is committed.
    pub fn truncate_from(&mut self, index: LogIndex) {
        assert!(
            index > self.committed,
            "committed entries cannot be removed"
        );
        let keep = (index.0 - self.base_index.0 - 1) as usize;
        self.entries.truncate(keep);
        self.persisted = self.persisted.min(index.previous());
    }

    /// Copies the entries from `from` to `to` up to `max_bytes` of data, but at least one entry if
    /// there is one.
    pub fn slice(&self, from: LogIndex, to: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut slice = Vec::new();
        let mut index = from;
        while index <= to {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.data.len();
            if !slice.is_empty() && bytes > max_bytes {
                break;
            }
            slice.push(entry.clone());
            index = index.next();
        }
        slice
    }

    /// Drops the entries up to `index`, which a snapshot now covers.
    pub fn compact(&mut self, index: LogIndex, term: Term) {
        while self.base_index < index && self.entries.pop_front().is_some() {
            self.base_index = self.base_index.next();
        }
        self.base_index = index;
        self.base_term = term;
    }

    /// Discards all entries in favour of a received snapshot that ends at `index`.
    pub fn reset(&mut self, index: LogIndex, term: Term) {
        self.entries.clear();
        self.base_index = index;
        self.base_term = term;
        self.persisted = index;
        self.committed = index;
        self.applied = index;
    }

    pub fn entries_from(&self, index: LogIndex) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(move |entry| entry.index >= index)
    }
}

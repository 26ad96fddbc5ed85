//! Table of all flow records on a VM.

use std::collections::HashMap;
use std::sync::Mutex;

use slotmap::{SlotMap, new_key_type};

use super::{Key, Record};
use crate::clock;
use crate::refusal::Reason;

new_key_type! {
    /// Identifies a record in the slot map.
    pub struct Handle;
}

/// Flow records in a slot map, indexed by flow key.
///
/// Every method holds the lock only while it accesses the records, never across an await.
#[derive(Debug)]
pub struct Table {
    inner: Mutex<Inner>,
    max_records: usize,
}

#[derive(Debug, Default)]
struct Inner {
    records: SlotMap<Handle, Record>,
    /// Index of `records`, with exactly one entry for each record.
    by_key: HashMap<Key, Handle>,
}

/// Record counts for the status output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Totals {
    /// Records of flows that this VM serves.
    pub owned: usize,
    /// Replicas of records that other VMs own.
    pub replicas: usize,
    /// Feeds in owned records.
    pub feeds: usize,
}

impl Table {
    /// Returns an empty table for at most `max_records` records.
    pub fn new(max_records: usize) -> Self {
        Self {
            inner: Mutex::default(),
            max_records,
        }
    }

    /// Calls `action` with the flow's record; returns `None` when there is none.
    pub fn with<R>(&self, key: Key, action: impl FnOnce(&mut Record) -> R) -> Option<R> {
        let mut inner = self.inner.lock().unwrap();
        let handle = *inner.by_key.get(&key)?;
        inner.records.get_mut(handle).map(action)
    }

    /// Calls `action` with the flow's record, which is created as an owned one if there is
    /// none. The record's idle time starts again.
    ///
    /// # Errors
    ///
    /// [`Reason::FlowsFull`] when a new record would exceed the limit.
    pub fn with_or_insert<R>(
        &self,
        key: Key,
        action: impl FnOnce(&mut Record) -> R,
    ) -> Result<R, Reason> {
        let mut inner = self.inner.lock().unwrap();
        let known = inner.by_key.get(&key).copied();
        let handle = match known {
            Some(handle) => handle,
            None if inner.records.len() >= self.max_records => return Err(Reason::FlowsFull),
            None => inner.insert(key),
        };
        let record = &mut inner.records[handle];
        record.last_used_at_ms = clock::monotonic_ms();
        Ok(action(record))
    }

    /// Removes the flow's record; returns `None` when there is none.
    pub fn remove(&self, key: Key) -> Option<Record> {
        let mut inner = self.inner.lock().unwrap();
        let handle = inner.by_key.remove(&key)?;
        inner.records.remove(handle)
    }

    /// Returns the keys of the records for which `select` returns true.
    pub fn keys(&self, mut select: impl FnMut(&Record) -> bool) -> Vec<Key> {
        let inner = self.inner.lock().unwrap();
        let selected = inner.records.values().filter(|record| select(record));
        selected.map(|record| record.key).collect()
    }

    /// Removes records that were idle for `idle_ms` milliseconds, except those with feeds or
    /// with exchanges that the caller may still repeat; returns how many were removed.
    pub fn drop_idle(&self, idle_ms: u64) -> usize {
        let now_ms = clock::monotonic_ms();
        let mut inner = self.inner.lock().unwrap();
        let before = inner.records.len();
        inner.records.retain(|_, record| {
            record.is_exempt_from_expiry(now_ms)
                || now_ms.saturating_sub(record.last_used_at_ms) < idle_ms
        });
        let Inner { records, by_key } = &mut *inner;
        by_key.retain(|_, handle| records.contains_key(*handle));
        before - inner.records.len()
    }

    /// Returns the record counts.
    pub fn totals(&self) -> Totals {
        let inner = self.inner.lock().unwrap();
        let mut totals = Totals::default();
        for record in inner.records.values() {
            if record.is_owned {
                totals.owned += 1;
                totals.feeds += record
                    .coap_state
                    .as_ref()
                    .map_or(0, |coap_state| coap_state.feeds.len());
            } else {
                totals.replicas += 1;
            }
        }
        totals
    }
}

impl Inner {
    fn insert(&mut self, key: Key) -> Handle {
        let handle = self.records.insert(Record::new(key));
        self.by_key.insert(key, handle);
        handle
    }
}

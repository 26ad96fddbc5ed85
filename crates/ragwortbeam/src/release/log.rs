//! The release in force on this VM and the recent notes that led to it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use metrics::{counter, gauge};
use spdlog::{info, warn};
use tokio::sync::watch;

use super::{State, ValidationError};
use crate::document;
use crate::message;

/// Number of notes kept for VMs whose release is older. A VM that lacks more gets a snapshot.
const MAX_RETAINED_NOTES: usize = 1024;

/// Number of rejections kept for the status report.
const MAX_RETAINED_REJECTIONS: usize = 16;

/// The release in force, the latest notes that led to it and the latest rejections.
///
/// The number in force never decreases.
#[derive(Debug)]
pub struct ReleaseLog {
    state: watch::Sender<Arc<State>>,
    history: Mutex<History>,
}

#[derive(Debug, Default)]
struct History {
    notes: VecDeque<document::Note>,
    rejections: VecDeque<ValidationError>,
}

impl Default for ReleaseLog {
    fn default() -> Self {
        Self {
            state: watch::Sender::new(Arc::default()),
            history: Mutex::default(),
        }
    }
}

impl ReleaseLog {
    /// Returns the configuration as of the release in force.
    pub fn state(&self) -> Arc<State> {
        self.state.borrow().clone()
    }

    /// Returns the number of the release in force, or 0 before the first one.
    pub fn number(&self) -> u64 {
        self.state.borrow().number
    }

    /// Returns a receiver that is notified when the state changes; changes in quick succession may
    /// be notified as one.
    pub fn watch(&self) -> watch::Receiver<Arc<State>> {
        self.state.subscribe()
    }

    /// Returns the errors of the latest 16 rejected notes and snapshots, oldest first.
    pub fn rejections(&self) -> Vec<ValidationError> {
        let history = self.history.lock().unwrap();
        history.rejections.iter().cloned().collect()
    }

    /// Replaces the state by a snapshot if the snapshot is newer than the release in force.
    ///
    /// Returns whether the state changed.
    pub fn install_snapshot(&self, snapshot: &document::Snapshot) -> bool {
        let mut history = self.history.lock().unwrap();
        if snapshot.number <= self.number() {
            return false;
        }
        match State::from_snapshot(snapshot) {
            Ok(state) => {
                history.notes.clear();
                self.activate(state);
                true
            }
            Err(error) => {
                history.record_rejection(error);
                false
            }
        }
    }

    /// Applies the notes that follow the release in force and ignores the others; `notes` has
    /// them in increasing order.
    ///
    /// Returns whether the state changed. A rejected note changes only the number.
    pub fn apply_notes(&self, notes: &[document::Note]) -> bool {
        let mut history = self.history.lock().unwrap();
        let number_before = self.number();
        for note in notes {
            let state = self.state();
            if note.number != state.number + 1 {
                continue;
            }
            let next = state.apply(note).unwrap_or_else(|error| {
                history.record_rejection(error);
                state.skip()
            });
            history.retain_note(note.clone());
            self.activate(next);
        }
        self.number() > number_before
    }

    /// Returns the notes or the snapshot that a VM at release `after` lacks, or `None` if it is
    /// up to date.
    pub fn changes_since(&self, after: u64) -> Option<message::ReleaseAnswer> {
        let history = self.history.lock().unwrap();
        let state = self.state();
        if after >= state.number {
            return None;
        }
        let first_retained = history.notes.front().map(|note| note.number);
        if first_retained.is_none_or(|first| first > after + 1) {
            return Some(message::ReleaseAnswer {
                snapshot: Some(state.to_snapshot()),
                ..Default::default()
            });
        }
        let missing_notes = history.notes.iter().filter(|note| note.number > after);
        Some(message::ReleaseAnswer {
            notes: missing_notes.cloned().collect(),
            ..Default::default()
        })
    }

    /// Applies the snapshot and the notes of another VM; returns whether the state changed.
    pub fn apply_answer(&self, answer: &message::ReleaseAnswer) -> bool {
        let has_installed_snapshot = answer
            .snapshot
            .as_ref()
            .is_some_and(|snapshot| self.install_snapshot(snapshot));
        let has_applied_notes = self.apply_notes(&answer.notes);
        has_installed_snapshot || has_applied_notes
    }

    fn activate(&self, state: State) {
        info!(
            "event=release_in_force number={} services={}",
            state.number,
            state.services.len()
        );
        gauge!("ragwortbeam_release_number").set(state.number as f64);
        self.state.send_replace(Arc::new(state));
    }
}

impl History {
    fn retain_note(&mut self, note: document::Note) {
        if self.notes.len() == MAX_RETAINED_NOTES {
            self.notes.pop_front();
        }
        self.notes.push_back(note);
    }

    fn record_rejection(&mut self, error: ValidationError) {
        warn!(
            "event=release_rejected number={} error=\"{error}\"",
            error.number
        );
        counter!("ragwortbeam_releases_rejected_total").increment(1);
        if self.rejections.len() == MAX_RETAINED_REJECTIONS {
            self.rejections.pop_front();
        }
        self.rejections.push_back(error);
    }
}

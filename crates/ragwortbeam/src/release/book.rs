//! The release in force on this VM.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use metrics::{counter, gauge};
use spdlog::{info, warn};
use tokio::sync::watch;

use super::{Fault, State};
use crate::document;
use crate::message;

/// Notes kept for VMs that lag; one further behind gets a snapshot.
const NOTES_KEPT: usize = 1024;

/// Rejections kept for the status page.
const REJECTIONS_KEPT: usize = 16;

/// The release in force, the notes that led there and the rejections on the way.
///
/// The number in force never goes back.
#[derive(Debug)]
pub struct Book {
    state: watch::Sender<Arc<State>>,
    history: Mutex<History>,
}

#[derive(Debug, Default)]
struct History {
    notes: VecDeque<document::Note>,
    rejections: VecDeque<Fault>,
}

impl Default for Book {
    fn default() -> Self {
        Self {
            state: watch::Sender::new(Arc::default()),
            history: Mutex::default(),
        }
    }
}

impl Book {
    /// Returns the state in force.
    pub fn state(&self) -> Arc<State> {
        self.state.borrow().clone()
    }

    /// Returns the number in force.
    pub fn number(&self) -> u64 {
        self.state.borrow().number
    }

    /// Returns a receiver that sees every change of the state.
    pub fn watch(&self) -> watch::Receiver<Arc<State>> {
        self.state.subscribe()
    }

    /// Returns the most recent rejections.
    pub fn rejections(&self) -> Vec<Fault> {
        let history = self.history.lock().unwrap();
        history.rejections.iter().cloned().collect()
    }

    /// Takes a snapshot when it is newer than the state in force.
    ///
    /// Returns whether the state changed.
    pub fn take_snapshot(&self, snapshot: &document::Snapshot) -> bool {
        let mut history = self.history.lock().unwrap();
        if snapshot.number <= self.number() {
            return false;
        }
        match State::from_snapshot(snapshot) {
            Ok(state) => {
                history.notes.clear();
                self.enforce(state);
                true
            }
            Err(fault) => {
                history.reject(fault);
                false
            }
        }
    }

    /// Takes the notes that follow the number in force and ignores the others.
    ///
    /// Returns whether the state changed. A rejected note advances the number alone.
    pub fn take_notes(&self, notes: &[document::Note]) -> bool {
        let mut history = self.history.lock().unwrap();
        let before = self.number();
        for note in notes {
            let state = self.state();
            if note.number != state.number + 1 {
                continue;
            }
            let next = state.apply(note).unwrap_or_else(|fault| {
                history.reject(fault);
                state.skip()
            });
            history.keep(note.clone());
            self.enforce(next);
        }
        self.number() > before
    }

    /// Returns what a VM at `after` lacks, or `None` when it lacks nothing.
    pub fn since(&self, after: u64) -> Option<message::ReleaseAnswer> {
        let history = self.history.lock().unwrap();
        let state = self.state();
        if after >= state.number {
            return None;
        }
        let first_kept = history.notes.front().map(|note| note.number);
        if first_kept.is_none_or(|first| first > after + 1) {
            return Some(message::ReleaseAnswer {
                snapshot: Some(state.to_snapshot()),
                ..Default::default()
            });
        }
        let missing = history.notes.iter().filter(|note| note.number > after);
        Some(message::ReleaseAnswer {
            notes: missing.cloned().collect(),
            ..Default::default()
        })
    }

    /// Takes what another VM sent; returns whether the state changed.
    pub fn take_answer(&self, answer: &message::ReleaseAnswer) -> bool {
        let from_snapshot = answer
            .snapshot
            .as_ref()
            .is_some_and(|snapshot| self.take_snapshot(snapshot));
        let from_notes = self.take_notes(&answer.notes);
        from_snapshot || from_notes
    }

    fn enforce(&self, state: State) {
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
    fn keep(&mut self, note: document::Note) {
        if self.notes.len() == NOTES_KEPT {
            self.notes.pop_front();
        }
        self.notes.push_back(note);
    }

    fn reject(&mut self, fault: Fault) {
        warn!(
            "event=release_rejected number={} fault=\"{fault}\"",
            fault.number
        );
        counter!("ragwortbeam_releases_rejected_total").increment(1);
        if self.rejections.len() == REJECTIONS_KEPT {
            self.rejections.pop_front();
        }
        self.rejections.push_back(fault);
    }
}

//! Pace of an endpoint: the number of requests that it may hold, found from its answers.
//!
//! Load answered: an endpoint that starts, recovers or comes back slow while its service is under
//! full load, so that with nothing outstanding it looks like the best choice. See
//! `docs/design/pace.md`.

use crate::prelude::*;

/// Requests that an endpoint with a proven pace may hold for each slot: one that runs and three
/// whose wait is a few service times.
pub const MAX_PER_SLOT: u32 = 4;

/// Service time, in multiples of the usual one, up to which an answer raises the pace.
const PROMPT_FACTOR: u32 = 2;

/// Service time, in multiples of the usual one, from which an answer halves the pace.
const LATE_FACTOR: u32 = 4;

/// Opening packets without an answer in a row from which an endpoint is silent: a single one may
/// have been lost in the network.
const SILENT_THRESHOLD: u32 = 2;

/// Time after which a silent endpoint is tried again; doubles with each try.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest time between two tries of a silent endpoint.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Change of an endpoint's pace that an operator would want to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint is silent and gets no requests for a time.
    Silenced,
    /// The endpoint answers again and begins a ramp.
    Recovered,
    /// Late answers cut the pace to this many requests.
    Cut(u32),
    /// The ramp ended at the full pace.
    Reached,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The endpoint may hold its full pace.
    Proven,
    /// The endpoint may hold this many requests; at least 1.
    Ramp(u32),
    /// The endpoint gets one request at the given time, and none before.
    Silent { retry_at: Moment, delay: Duration },
}

/// Pace of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    state: State,
    /// Opening packets without an answer since the last answer.
    unanswered: u32,
}

impl Pace {
    /// Returns the pace of an endpoint that has been in use.
    pub fn proven() -> Self {
        Self {
            state: State::Proven,
            unanswered: 0,
        }
    }

    /// Returns the pace of an endpoint that has just started.
    pub fn starting() -> Self {
        Self {
            state: State::Ramp(1),
            unanswered: 0,
        }
    }

    /// Returns the number of requests that the endpoint may hold now.
    pub fn limit(&self, slots: u32, now: Moment) -> u32 {
        let full = slots * MAX_PER_SLOT;
        match self.state {
            State::Proven => full,
            State::Ramp(limit) => limit.min(full),
            State::Silent { retry_at, .. } => u32::from(now >= retry_at),
        }
    }

    /// Returns whether the endpoint has its full pace.
    pub fn is_proven(&self) -> bool {
        self.state == State::Proven
    }

    /// Returns whether the endpoint leaves opening packets unanswered.
    pub fn is_silent(&self) -> bool {
        matches!(self.state, State::Silent { .. })
    }

    /// Records that a request was sent. A silent endpoint gets the next one after a longer delay.
    pub fn record_sent(&mut self, now: Moment) {
        if let State::Silent { retry_at, delay } = &mut self.state {
            *delay = (*delay * 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
            *retry_at = now + *delay;
        }
    }

    /// Records an answer after `taken`, where `usual` is the service time of comparable endpoints.
    pub fn record_answer(
        &mut self,
        taken: Duration,
        usual: Duration,
        slots: u32,
    ) -> Option<Change> {
        self.unanswered = 0;
        let full = slots * MAX_PER_SLOT;
        let limit = match self.state {
            State::Silent { .. } => {
                self.state = State::Ramp(1);
                return Some(Change::Recovered);
            }
            State::Proven => full,
            State::Ramp(limit) => limit,
        };
        if taken >= usual * LATE_FACTOR && !self.is_proven() {
            let cut = (limit / 2).max(1);
            self.state = State::Ramp(cut);
            return (cut < limit).then_some(Change::Cut(cut));
        }
        if taken > usual * PROMPT_FACTOR || self.is_proven() {
            return None;
        }
        if limit + 1 >= full {
            self.state = State::Proven;
            return Some(Change::Reached);
        }
        self.state = State::Ramp(limit + 1);
        None
    }

    /// Records an opening packet without an answer.
    pub fn record_unanswered(&mut self, now: Moment) -> Option<Change> {
        self.unanswered += 1;
        if self.unanswered < SILENT_THRESHOLD || self.is_silent() {
            return None;
        }
        self.state = State::Silent {
            retry_at: now + MIN_RETRY_DELAY,
            delay: Duration::ZERO,
        };
        Some(Change::Silenced)
    }
}

//! What callers and backend servers saw, in one list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Instant;

use ragwortbeam::verdict::Verdict;

/// Names one request or feed of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A non-idempotent record.
    Post,
    /// An idempotent read of a large answer.
    Fetch,
    /// A feed.
    Feed,
}

/// One observation of a caller or backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller sent a request for the first time.
    Invoked {
        /// Request.
        id: Id,
        /// What it asks for.
        kind: RequestKind,
        /// Service it was sent to.
        service: &'static str,
    },
    /// A caller got an answer.
    Answered {
        /// Request.
        id: Id,
        /// Verdict, from the option or else from the code.
        verdict: Verdict,
        /// False when the answer is not whole or belongs to another request.
        is_whole: bool,
    },
    /// A caller gave up waiting.
    Unanswered {
        /// Request.
        id: Id,
    },
    /// A backend server ran a request.
    Executed {
        /// Request, as named in it.
        id: Id,
        /// What it was.
        kind: RequestKind,
        /// Service of the backend server.
        service: &'static str,
        /// Service named in the request.
        meant_for: String,
        /// Backend server.
        endpoint: SocketAddr,
    },
    /// A caller got a notification that is newer than the ones before.
    Notified {
        /// Feed.
        id: Id,
        /// Value of the reading.
        value: u64,
    },
    /// A caller of a `datagrams` service got an echo.
    Echoed {
        /// Flow.
        id: Id,
        /// Port of the server.
        server: u16,
        /// Whether the payload is what this flow sent.
        is_own: bool,
    },
    /// A release that takes a backend server out of new work was published.
    Drained {
        /// Backend server.
        endpoint: SocketAddr,
    },
    /// A VM reported its release number.
    Release {
        /// VM.
        vm: usize,
        /// Start of its process.
        incarnation: u64,
        /// Number in force.
        number: u64,
    },
    /// The run begins to close; feeds may end from here on.
    Closing,
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// When it was seen.
    pub at: Instant,
    /// What was seen.
    pub event: Event,
}

/// Append-only list of events.
#[derive(Debug, Default)]
pub struct History {
    entries: Mutex<Vec<Entry>>,
    next_id: Mutex<u64>,
}

impl History {
    /// Appends an event.
    pub fn add(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap();
        // Taken under the lock, so that the list is in order of time.
        let at = Instant::now();
        entries.push(Entry { at, event });
    }

    /// Returns a fresh id.
    pub fn next_id(&self) -> Id {
        let mut next = self.next_id.lock().unwrap();
        *next += 1;
        Id(*next)
    }

    /// Returns all events so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap().clone()
    }
}

/// Counts of executions by backend server.
pub fn executions_by_endpoint(entries: &[Entry]) -> HashMap<SocketAddr, u64> {
    let mut counts = HashMap::new();
    for entry in entries {
        if let Event::Executed { endpoint, .. } = entry.event {
            *counts.entry(endpoint).or_default() += 1;
        }
    }
    counts
}

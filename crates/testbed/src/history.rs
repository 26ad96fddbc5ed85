//! Record of everything that callers, backend servers and VMs observe during a run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Instant;

use ragwortbeam::verdict::Verdict;

/// Identifies one request, feed or datagram flow within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// Kind of a request that a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// Non-idempotent POST of a record.
    Post,
    /// Idempotent GET of a response that spans several blocks.
    Fetch,
    /// Registration of a feed, that is, an observation of RFC 7641.
    Feed,
}

/// One observation of a caller, a backend server or the testbed itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller sent a request for the first time.
    Invoked {
        /// Request that was sent.
        id: OperationId,
        /// Kind of the request.
        kind: RequestKind,
        /// Service that the request was sent to.
        service: &'static str,
    },
    /// A caller received the final response to a request.
    Answered {
        /// Request that was answered.
        id: OperationId,
        /// Verdict from the verdict option, or derived from the response code without it.
        verdict: Verdict,
        /// False when the response is incomplete or belongs to another request.
        is_correct: bool,
    },
    /// A caller received no response to any transmission of a request.
    Unanswered {
        /// Request that was given up.
        id: OperationId,
    },
    /// A backend server ran a request.
    Executed {
        /// Request, identified by its `id` query.
        id: OperationId,
        /// Kind of the request, derived from its method and Observe option.
        kind: RequestKind,
        /// Service of the backend server.
        service: &'static str,
        /// Service in the `service` query of the request; empty without that query.
        requested_service: String,
        /// Address of the backend server.
        endpoint: SocketAddr,
    },
    /// A caller received a notification that is newer than all earlier ones.
    Notified {
        /// Feed that the notification belongs to.
        id: OperationId,
        /// Value of the reading; 0 when the payload is not a number.
        value: u64,
    },
    /// A caller of a `datagrams` service received an echo.
    Echoed {
        /// Datagram flow of the caller.
        id: OperationId,
        /// Port of the echo server; 0 when the datagram is too short to carry one.
        server_port: u16,
        /// Whether the payload equals the one that this flow sends.
        is_own_payload: bool,
    },
    /// A release that drains a backend server was published.
    Drained {
        /// Address of the draining backend server.
        endpoint: SocketAddr,
    },
    /// A VM reported its release number.
    Release {
        /// Index of the VM.
        vm: usize,
        /// Incarnation of the VM's process; it changes with each start.
        incarnation: u64,
        /// Number of the release in force at the VM.
        number: u64,
    },
    /// The run is being shut down; feeds may end from here on.
    Closing,
}

/// Timestamped event.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Time at which the event was appended to the history.
    pub at: Instant,
    /// Event that was recorded.
    pub event: Event,
}

/// Append-only list of events, in order of time.
#[derive(Debug, Default)]
pub struct History {
    entries: Mutex<Vec<Entry>>,
    next_id: Mutex<u64>,
}

impl History {
    /// Appends an event.
    pub fn add(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap();
        // The timestamp is taken under the lock, so that entries are in order of time.
        let at = Instant::now();
        entries.push(Entry { at, event });
    }

    /// Returns an id that no earlier call has returned; the first one is 1.
    pub fn next_id(&self) -> OperationId {
        let mut next = self.next_id.lock().unwrap();
        *next += 1;
        OperationId(*next)
    }

    /// Returns a copy of all entries recorded so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap().clone()
    }
}

/// Returns the number of executed requests by backend server.
pub fn executions_by_endpoint(entries: &[Entry]) -> HashMap<SocketAddr, u64> {
    let mut counts = HashMap::new();
    for entry in entries {
        if let Event::Executed { endpoint, .. } = entry.event {
            *counts.entry(endpoint).or_default() += 1;
        }
    }
    counts
}

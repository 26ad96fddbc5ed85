//! Exchanges: the requests of a flow by message id, for the detection of duplicates.

use std::sync::Arc;

use crate::id;

/// Time for which a caller may repeat a message id (EXCHANGE_LIFETIME of RFC 7252,
/// section 4.8.2), milliseconds.
pub const LIFETIME_MS: u64 = 247_000;

/// Request of a flow, identified by its message id.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Message id that the caller chose.
    pub message_id: u16,
    /// True if the request may be executed more than once.
    pub is_idempotent: bool,
    /// Progress as this VM knows it.
    pub progress: Progress,
    /// Monotonic time at which the exchange started, milliseconds.
    pub started_at_ms: u64,
}

/// Progress of an exchange, as one VM knows it.
#[derive(Clone, Debug)]
pub enum Progress {
    /// The request is idempotent and in progress on this VM.
    Running,
    /// The request is not idempotent, and this process is reserving it at its peers.
    Reserving(id::Process),
    /// The request is not idempotent and has no known answer; only the given process may
    /// dispatch it.
    Held(id::Process),
    /// The request is not idempotent and has this encoded answer.
    Answered(Arc<[u8]>),
}

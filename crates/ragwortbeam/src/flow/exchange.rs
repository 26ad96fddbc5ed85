//! Requests of a flow, by which duplicates are found.

use std::sync::Arc;

use crate::id;

/// Time for which a caller may repeat a message id (EXCHANGE_LIFETIME of RFC 7252,
/// section 4.8.2), milliseconds.
pub const LIFETIME_MS: u64 = 247_000;

/// A request of a flow, named by its message id.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Caller's message id.
    pub message_id: u16,
    /// True where the request may run twice.
    pub is_idempotent: bool,
    /// How far it has come.
    pub progress: Progress,
    /// Monotonic time of the first packet, milliseconds.
    pub started_at_ms: u64,
}

/// How far an exchange has come.
#[derive(Clone, Debug)]
pub enum Progress {
    /// Idempotent and in progress here.
    Running,
    /// Non-idempotent, of this process, while it asks the witnesses.
    Reserving(id::Process),
    /// Non-idempotent, without a known answer; this process alone may dispatch it.
    Held(id::Process),
    /// Non-idempotent and answered with these bytes.
    Answered(Arc<[u8]>),
}

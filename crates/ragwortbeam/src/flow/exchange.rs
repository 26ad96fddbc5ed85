//! Detection of duplicate requests and the at-most-once rule for non-idempotent ones.

use std::sync::Arc;

use super::record::Record;
use crate::clock;
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
    /// Non-idempotent, without a known answer; this VM alone may dispatch it.
    Held(id::Vm),
    /// Non-idempotent and answered with these bytes.
    Answered(Arc<[u8]>),
}

/// What to do with a request.
#[derive(Clone, Debug)]
pub enum Start {
    /// Not seen before; in progress from now on.
    New,
    /// In progress here; its answer is on the way.
    Duplicate,
    /// Held by another VM and without an answer.
    HeldBy(id::Vm),
    /// Answered before with these bytes.
    Answered(Arc<[u8]>),
}

impl Record {
    /// Starts an exchange or finds the earlier one with the same message id.
    pub fn start(&mut self, message_id: u16, is_idempotent: bool, me: id::Vm) -> Start {
        let now_ms = clock::monotonic_ms();
        let soft = self.soft_mut();
        soft.exchanges
            .retain(|exchange| now_ms.saturating_sub(exchange.started_at_ms) < LIFETIME_MS);
        let known = soft
            .exchanges
            .iter()
            .find(|exchange| exchange.message_id == message_id);
        match known.map(|exchange| &exchange.progress) {
            Some(Progress::Running) => return Start::Duplicate,
            Some(Progress::Held(holder)) if *holder == me => return Start::Duplicate,
            Some(Progress::Held(holder)) => return Start::HeldBy(*holder),
            Some(Progress::Answered(answer)) => return Start::Answered(answer.clone()),
            None => {}
        }
        let progress = if is_idempotent {
            Progress::Running
        } else {
            Progress::Held(me)
        };
        soft.exchanges.push(Exchange {
            message_id,
            is_idempotent,
            progress,
            started_at_ms: now_ms,
        });
        Start::New
    }

    /// Records the answer of a non-idempotent exchange, or forgets an idempotent one.
    pub fn finish(&mut self, message_id: u16, answer: &Arc<[u8]>) {
        if let Some(soft) = &mut self.soft {
            soft.exchanges
                .retain(|exchange| exchange.message_id != message_id || !exchange.is_idempotent);
            let exchange = soft
                .exchanges
                .iter_mut()
                .find(|exchange| exchange.message_id == message_id);
            if let Some(exchange) = exchange {
                exchange.progress = Progress::Answered(answer.clone());
            }
        }
        self.trim();
    }

    /// Forgets an exchange that this VM did not dispatch and answers nothing for.
    pub fn abandon(&mut self, message_id: u16) {
        if let Some(soft) = &mut self.soft {
            soft.exchanges
                .retain(|exchange| exchange.message_id != message_id);
        }
        self.trim();
    }
}

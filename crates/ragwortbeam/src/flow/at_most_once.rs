//! Detection of duplicate requests and the at-most-once rule for non-idempotent ones.

use std::sync::Arc;

use super::exchange::{Exchange, LIFETIME_MS, Progress};
use super::record::Record;
use crate::clock;
use crate::id;

/// Status of an exchange when it is to be started or reserved.
#[derive(Clone, Debug)]
pub enum ExchangeStatus {
    /// The exchange was not known; it is now started, or reserved for the requesting process.
    New,
    /// The exchange is in progress on this VM, which will send the answer.
    Duplicate,
    /// Another process holds the exchange, and no answer is known.
    HeldBy(id::Process),
    /// The exchange has been answered with this encoded message.
    Answered(Arc<[u8]>),
}

impl Record {
    /// Starts an exchange, or returns the status of the earlier one with the same message id.
    pub fn start_exchange(
        &mut self,
        message_id: u16,
        is_idempotent: bool,
        local: id::Process,
    ) -> ExchangeStatus {
        self.expire_exchanges();
        match self.progress_mut(message_id) {
            None => {}
            Some(Progress::Running | Progress::Reserving(_)) => return ExchangeStatus::Duplicate,
            Some(Progress::Held(holder)) if *holder == local => return ExchangeStatus::Duplicate,
            Some(Progress::Held(holder)) => return ExchangeStatus::HeldBy(*holder),
            Some(Progress::Answered(answer)) => return ExchangeStatus::Answered(answer.clone()),
        }
        let progress = if is_idempotent {
            Progress::Running
        } else {
            Progress::Reserving(local)
        };
        self.add_exchange(message_id, is_idempotent, progress);
        ExchangeStatus::New
    }

    /// Reserves an exchange for another process; returns `New` when the reservation is granted.
    ///
    /// Of two processes that send each other a reservation at the same time, the one with the
    /// higher VM id is granted it and the other yields. A repeated reservation is granted
    /// again.
    pub fn reserve_for(&mut self, message_id: u16, holder: id::Process) -> ExchangeStatus {
        self.expire_exchanges();
        match self.progress_mut(message_id) {
            None => {}
            Some(Progress::Running) => return ExchangeStatus::Duplicate,
            Some(progress @ Progress::Reserving(_)) => {
                if let Progress::Reserving(own) = *progress
                    && own.vm > holder.vm
                {
                    return ExchangeStatus::HeldBy(own);
                }
                *progress = Progress::Held(holder);
                return ExchangeStatus::New;
            }
            Some(Progress::Held(known)) if *known == holder => return ExchangeStatus::New,
            Some(Progress::Held(known)) => return ExchangeStatus::HeldBy(*known),
            Some(Progress::Answered(answer)) => return ExchangeStatus::Answered(answer.clone()),
        }
        self.add_exchange(message_id, false, Progress::Held(holder));
        ExchangeStatus::New
    }

    /// Confirms a reservation that all peers have granted. Returns whether this process may
    /// dispatch the request; it may not if it has yielded in the meantime.
    pub fn confirm_reservation(&mut self, message_id: u16, local: id::Process) -> bool {
        match self.progress_mut(message_id) {
            Some(progress @ Progress::Reserving(_)) => {
                *progress = Progress::Held(local);
                true
            }
            Some(Progress::Held(holder)) => *holder == local,
            _ => false,
        }
    }

    /// Records that another process holds an exchange that this one has started.
    pub fn yield_to(&mut self, message_id: u16, holder: id::Process) {
        if let Some(progress) = self.progress_mut(message_id) {
            *progress = Progress::Held(holder);
        }
    }

    /// Removes an exchange that this process did not dispatch.
    pub fn remove_exchange(&mut self, message_id: u16) {
        if let Some(coap_state) = &mut self.coap_state {
            coap_state
                .exchanges
                .retain(|exchange| exchange.message_id != message_id);
        }
        self.drop_empty_state();
    }

    fn expire_exchanges(&mut self) {
        let now_ms = clock::monotonic_ms();
        if let Some(coap_state) = &mut self.coap_state {
            coap_state
                .exchanges
                .retain(|exchange| now_ms.saturating_sub(exchange.started_at_ms) < LIFETIME_MS);
        }
    }

    fn progress_mut(&mut self, message_id: u16) -> Option<&mut Progress> {
        let exchanges = &mut self.coap_state.as_mut()?.exchanges;
        let known = exchanges
            .iter_mut()
            .find(|exchange| exchange.message_id == message_id)?;
        Some(&mut known.progress)
    }

    fn add_exchange(&mut self, message_id: u16, is_idempotent: bool, progress: Progress) {
        self.coap_state_mut().exchanges.push(Exchange {
            message_id,
            is_idempotent,
            progress,
            started_at_ms: clock::monotonic_ms(),
        });
    }

    /// Stores the answer of a non-idempotent exchange, or removes an idempotent one.
    pub fn finish_exchange(&mut self, message_id: u16, answer: &Arc<[u8]>) {
        if let Some(coap_state) = &mut self.coap_state {
            coap_state
                .exchanges
                .retain(|exchange| exchange.message_id != message_id || !exchange.is_idempotent);
            let exchange = coap_state
                .exchanges
                .iter_mut()
                .find(|exchange| exchange.message_id == message_id);
            if let Some(exchange) = exchange {
                exchange.progress = Progress::Answered(answer.clone());
            }
        }
        self.drop_empty_state();
    }
}

//! Detection of duplicate requests and the at-most-once rule for non-idempotent ones.

use std::sync::Arc;

use super::exchange::{Exchange, LIFETIME_MS, Progress};
use super::record::Record;
use crate::clock;
use crate::id;

/// What to do with a request.
#[derive(Clone, Debug)]
pub enum ExchangeStatus {
    /// Not seen before; in progress from now on.
    New,
    /// In progress here; its answer is on the way.
    Duplicate,
    /// Held by another process and without an answer.
    HeldBy(id::Process),
    /// Answered before with these bytes.
    Answered(Arc<[u8]>),
}

impl Record {
    /// Starts an exchange or finds the earlier one with the same message id.
    pub fn start_exchange(
        &mut self,
        message_id: u16,
        is_idempotent: bool,
        me: id::Process,
    ) -> ExchangeStatus {
        self.expire_exchanges();
        match self.progress_mut(message_id) {
            None => {}
            Some(Progress::Running | Progress::Reserving(_)) => return ExchangeStatus::Duplicate,
            Some(Progress::Held(holder)) if *holder == me => return ExchangeStatus::Duplicate,
            Some(Progress::Held(holder)) => return ExchangeStatus::HeldBy(*holder),
            Some(Progress::Answered(answer)) => return ExchangeStatus::Answered(answer.clone()),
        }
        let progress = if is_idempotent {
            Progress::Running
        } else {
            Progress::Reserving(me)
        };
        self.add_exchange(message_id, is_idempotent, progress);
        ExchangeStatus::New
    }

    /// Records a reservation of another process, `New` where it is granted.
    ///
    /// Of two processes that ask each other at the same time, the one of the higher VM
    /// id is granted and the other yields. A repeated reservation is granted again.
    pub fn reserve_for(&mut self, message_id: u16, holder: id::Process) -> ExchangeStatus {
        self.expire_exchanges();
        match self.progress_mut(message_id) {
            None => {}
            Some(Progress::Running) => return ExchangeStatus::Duplicate,
            Some(progress @ Progress::Reserving(_)) => {
                if let Progress::Reserving(mine) = *progress
                    && mine.vm > holder.vm
                {
                    return ExchangeStatus::HeldBy(mine);
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

    /// Takes the grants of all witnesses; returns whether this process may dispatch,
    /// which it may not when it has yielded in the meantime.
    pub fn confirm_reservation(&mut self, message_id: u16, me: id::Process) -> bool {
        match self.progress_mut(message_id) {
            Some(progress @ Progress::Reserving(_)) => {
                *progress = Progress::Held(me);
                true
            }
            Some(Progress::Held(holder)) => *holder == me,
            _ => false,
        }
    }

    /// Notes that another process holds an exchange that this one has started.
    pub fn yield_to(&mut self, message_id: u16, holder: id::Process) {
        if let Some(progress) = self.progress_mut(message_id) {
            *progress = Progress::Held(holder);
        }
    }

    /// Forgets an exchange that this process did not dispatch.
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

    /// Records the answer of a non-idempotent exchange, or forgets an idempotent one.
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

//! Record of one flow, as its owner and its replica hold it.

use std::sync::Arc;

use crate::clock;
use crate::flow::Key;
use crate::flow::exchange::{self, Exchange, Progress};
use crate::id;
use crate::message::{ExchangeRecord, FeedRecord, FlowRecord, Process, TransferRecord};
use crate::wire::coap::Token;

/// Number of message ids that are skipped when a replica takes over, so that ids that the lost
/// owner used after its last replication are not used again.
const TAKEOVER_MESSAGE_ID_GAP: u16 = 4096;

/// Record of one flow, on its owner or its replica.
///
/// An idle flow consists of this record only; it has no task, timer or socket.
#[derive(Debug)]
pub struct Record {
    /// Service and caller's address.
    pub key: Key,
    /// True on the VM that serves the flow; false on its replica.
    pub is_owned: bool,
    /// Endpoint that a datagram flow is bound to; `None` while it is not bound.
    pub endpoint: Option<id::Endpoint>,
    /// Monotonic time of the last packet or replicated change, milliseconds.
    pub last_used_at_ms: u64,
    /// Message id of the next message to the caller.
    pub next_message_id: u16,
    /// CoAP state, which a new owner cannot derive from the packets; `None` when there is none.
    pub coap_state: Option<Box<CoapState>>,
}

/// CoAP state of a flow, which has to reach the flow's next owner.
#[derive(Debug, Default)]
pub struct CoapState {
    /// Observations, unique by the caller's token.
    pub feeds: Vec<Feed>,
    /// Exchanges in progress, and non-idempotent ones until their lifetime ends.
    pub exchanges: Vec<Exchange>,
    /// Block-wise transfers, unique by resource.
    pub transfers: Vec<Transfer>,
}

/// Observation of a resource by a caller (RFC 7641).
#[derive(Clone, Debug)]
pub struct Feed {
    /// Token of the caller's registration.
    pub token: Token,
    /// Caller's registration request, as an encoded CoAP message.
    pub request: Arc<[u8]>,
    /// Endpoint whose notifications are forwarded to the caller.
    pub endpoint: id::Endpoint,
    /// Token of the registration at the endpoint; `None` while no registration is active.
    pub endpoint_token: Option<u64>,
    /// Last value of the Observe option that was sent to the caller.
    pub sequence: u32,
    /// Message id of the last notification to the caller.
    pub last_message_id: u16,
    /// Monotonic time of the caller's last acknowledgement of a notification, milliseconds;
    /// before the first one, the time at which this VM recorded the feed.
    pub confirmed_at_ms: u64,
    /// Encoded confirmable notification that awaits its acknowledgement; `None` when there is
    /// none.
    pub unconfirmed: Option<Arc<[u8]>>,
}

/// Block-wise transfer (RFC 7959), all blocks of which come from one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Hash of the resource's path and query.
    pub resource: u64,
    /// Endpoint that served the first block.
    pub endpoint: id::Endpoint,
}

impl Record {
    /// Returns an owned record without an endpoint or CoAP state.
    pub fn new(key: Key) -> Self {
        Self {
            key,
            is_owned: true,
            endpoint: None,
            last_used_at_ms: clock::monotonic_ms(),
            next_message_id: rand::random(),
            coap_state: None,
        }
    }

    /// Returns the CoAP state, which is created if there is none.
    pub fn coap_state_mut(&mut self) -> &mut CoapState {
        self.coap_state.get_or_insert_default()
    }

    /// Returns whether the record is kept however long the flow is idle, because it holds a
    /// feed or an exchange that the caller may still repeat.
    pub fn is_exempt_from_expiry(&self, now_ms: u64) -> bool {
        let Some(coap_state) = &self.coap_state else {
            return false;
        };
        let is_unexpired = |exchange: &Exchange| {
            now_ms.saturating_sub(exchange.started_at_ms) < exchange::LIFETIME_MS
        };
        !coap_state.feeds.is_empty() || coap_state.exchanges.iter().any(is_unexpired)
    }

    /// Frees the CoAP state when it is empty.
    pub fn drop_empty_state(&mut self) {
        if self
            .coap_state
            .as_ref()
            .is_some_and(|coap_state| coap_state.is_empty())
        {
            self.coap_state = None;
        }
    }

    /// Returns the feed that the caller registered with this token.
    pub fn feed_mut(&mut self, token: Token) -> Option<&mut Feed> {
        let feeds = &mut self.coap_state.as_mut()?.feeds;
        feeds.iter_mut().find(|feed| feed.token == token)
    }

    /// Returns the feed that is registered at its endpoint with this token.
    pub fn feed_by_endpoint_token_mut(&mut self, endpoint_token: u64) -> Option<&mut Feed> {
        let feeds = &mut self.coap_state.as_mut()?.feeds;
        feeds
            .iter_mut()
            .find(|feed| feed.endpoint_token == Some(endpoint_token))
    }

    /// Removes the feed that the caller registered with this token; `None` when there is none.
    pub fn remove_feed(&mut self, token: Token) -> Option<Feed> {
        let feeds = &mut self.coap_state.as_mut()?.feeds;
        let position = feeds.iter().position(|feed| feed.token == token)?;
        let feed = feeds.swap_remove(position);
        self.drop_empty_state();
        Some(feed)
    }

    /// Allocates the message id of the next message to the caller.
    pub fn allocate_message_id(&mut self) -> u16 {
        let id = self.next_message_id;
        self.next_message_id = id.wrapping_add(1);
        id
    }

    /// Encodes the record for another VM. Idempotent exchanges are left out, since the caller's
    /// retransmission starts them again.
    pub fn to_message(&self) -> FlowRecord {
        let empty = CoapState::default();
        let coap_state = self.coap_state.as_deref().unwrap_or(&empty);
        let now_ms = clock::monotonic_ms();
        FlowRecord {
            key: Some(self.key.to_message()),
            endpoint: self.endpoint.map_or(0, |endpoint| endpoint.0),
            next_message_id: u32::from(self.next_message_id),
            feeds: coap_state.feeds.iter().map(Feed::to_message).collect(),
            exchanges: coap_state
                .exchanges
                .iter()
                .filter(|exchange| !exchange.is_idempotent)
                .map(|exchange| exchange.to_message(now_ms))
                .collect(),
            transfers: coap_state
                .transfers
                .iter()
                .copied()
                .map(Transfer::to_message)
                .collect(),
            exchanges_only: !self.is_owned,
        }
    }

    /// Merges a record that another VM sent: feeds and transfers are replaced, exchanges are
    /// merged one by one.
    pub fn merge(&mut self, message: &FlowRecord) {
        if message.endpoint != 0 {
            self.endpoint = Some(id::Endpoint(message.endpoint));
        }
        self.next_message_id =
            (message.next_message_id as u16).wrapping_add(TAKEOVER_MESSAGE_ID_GAP);
        let now_ms = clock::monotonic_ms();
        let coap_state = self.coap_state_mut();
        coap_state.feeds = message.feeds.iter().map(Feed::from_message).collect();
        coap_state.transfers = message
            .transfers
            .iter()
            .map(Transfer::from_message)
            .collect();
        for exchange in &message.exchanges {
            coap_state.merge_exchange(Exchange::from_message(exchange, now_ms));
        }
        self.drop_empty_state();
    }
}

impl CoapState {
    fn is_empty(&self) -> bool {
        self.feeds.is_empty() && self.exchanges.is_empty() && self.transfers.is_empty()
    }

    /// Adds an exchange; if it is known already, adds only an answer that was missing.
    pub fn merge_exchange(&mut self, exchange: Exchange) {
        let known = self
            .exchanges
            .iter_mut()
            .find(|known| known.message_id == exchange.message_id);
        match known {
            None => self.exchanges.push(exchange),
            Some(known) => {
                let is_answered = matches!(known.progress, Progress::Answered(_));
                if !is_answered && matches!(exchange.progress, Progress::Answered(_)) {
                    known.progress = exchange.progress;
                }
            }
        }
    }
}

impl Feed {
    fn to_message(&self) -> FeedRecord {
        FeedRecord {
            token: self.token.as_bytes().to_vec(),
            request: self.request.to_vec(),
            endpoint: self.endpoint.0,
            sequence: self.sequence,
        }
    }

    fn from_message(message: &FeedRecord) -> Self {
        Self {
            token: Token::new(&message.token),
            request: message.request.clone().into(),
            endpoint: id::Endpoint(message.endpoint),
            endpoint_token: None,
            sequence: message.sequence,
            last_message_id: 0,
            confirmed_at_ms: clock::monotonic_ms(),
            unconfirmed: None,
        }
    }
}

impl Transfer {
    fn to_message(self) -> TransferRecord {
        TransferRecord {
            resource: self.resource,
            endpoint: self.endpoint.0,
        }
    }

    fn from_message(message: &TransferRecord) -> Self {
        Self {
            resource: message.resource,
            endpoint: id::Endpoint(message.endpoint),
        }
    }
}

impl id::Process {
    /// Encodes the process for a message to another VM.
    pub fn to_message(self) -> Process {
        Process {
            vm: self.vm.0,
            incarnation: self.incarnation,
        }
    }

    /// Decodes a process from another VM's message.
    pub fn from_message(message: Process) -> Self {
        Self {
            vm: id::Vm(message.vm),
            incarnation: message.incarnation,
        }
    }
}

impl Exchange {
    fn to_message(&self, now_ms: u64) -> ExchangeRecord {
        let (answer, holder) = match &self.progress {
            // Only idempotent exchanges run without a holder, and they are not sent.
            Progress::Running => (Vec::new(), None),
            Progress::Reserving(holder) | Progress::Held(holder) => {
                (Vec::new(), Some(holder.to_message()))
            }
            Progress::Answered(answer) => (answer.to_vec(), None),
        };
        ExchangeRecord {
            message_id: u32::from(self.message_id),
            answer,
            holder,
            age_ms: now_ms.saturating_sub(self.started_at_ms) as u32,
        }
    }

    pub(super) fn from_message(message: &ExchangeRecord, now_ms: u64) -> Self {
        let progress = if message.answer.is_empty() {
            Progress::Held(id::Process::from_message(
                message.holder.unwrap_or_default(),
            ))
        } else {
            Progress::Answered(message.answer.clone().into())
        };
        Self {
            message_id: message.message_id as u16,
            is_idempotent: false,
            progress,
            started_at_ms: now_ms.saturating_sub(u64::from(message.age_ms)),
        }
    }
}

//! Simulated callers: CoAP clients that retransmit as RFC 7252 says.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType};
use ragwortbeam::dispatch::feed;
use ragwortbeam::verdict::Verdict;
use ragwortbeam::wire::coap;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout_at};

use crate::fabric::Fabric;
use crate::history::{Event, History, OperationId, RequestKind};
use crate::server::LARGE_RESPONSE_BLOCKS;

/// ACK_TIMEOUT of RFC 7252, section 4.8.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// MAX_RETRANSMIT of RFC 7252, section 4.8.
const MAX_RETRANSMIT: u32 = 4;

/// Number of times that a fetch is attempted while its blocks come from different representations,
/// which their ETags show (RFC 7959, section 2.4).
const MAX_FETCH_ATTEMPTS: usize = 3;

/// Longest delay before a refused feed is registered again, seconds.
const MAX_FEED_RETRY_DELAY_S: u64 = 2;

/// Service that a caller sends its requests to.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Name of the service, which each request carries in its `service` query.
    pub service: &'static str,
    /// UDP port of the service's address.
    pub port: u16,
}

/// Caller that sends all its requests from one address.
#[derive(Debug)]
pub struct Caller {
    socket: Arc<UdpSocket>,
    fabric: Arc<Fabric>,
    history: Arc<History>,
    target: Target,
    next_message_id: AtomicU16,
    /// Channels to the tasks that wait for a response, by token.
    response_senders: Mutex<HashMap<Vec<u8>, mpsc::UnboundedSender<Packet>>>,
    receive_task: Mutex<Option<JoinHandle<()>>>,
}

impl Caller {
    /// Binds a free port of 127.0.0.1 for a caller of one service.
    pub async fn open(
        target: Target,
        fabric: Arc<Fabric>,
        history: Arc<History>,
    ) -> std::io::Result<Arc<Self>> {
        let caller = Arc::new(Self {
            socket: Arc::new(UdpSocket::bind("127.0.0.1:0").await?),
            fabric,
            history,
            target,
            next_message_id: AtomicU16::new(rand::random()),
            response_senders: Mutex::default(),
            receive_task: Mutex::default(),
        });
        let task = tokio::spawn(receive_packets(
            caller.socket.clone(),
            Arc::downgrade(&caller),
        ));
        *caller.receive_task.lock().unwrap() = Some(task);
        Ok(caller)
    }

    /// Posts a record, which is not idempotent, and returns the time until its response; `None`
    /// when it is refused or not answered.
    pub async fn post(&self) -> Option<Duration> {
        let id = self.record_invocation(RequestKind::Post);
        let request = self.build_request(RequestType::Post, "records", id);
        let started_at = Instant::now();
        let response = self.exchange(request).await;
        let is_own_response = |response: &Packet| response.payload == id.0.to_string().into_bytes();
        let verdict = response.as_ref().map(response_verdict);
        let is_correct =
            verdict != Some(Verdict::Ran) || response.as_ref().is_some_and(is_own_response);
        self.record_outcome(id, verdict, is_correct);
        (verdict == Some(Verdict::Ran)).then(|| started_at.elapsed())
    }

    /// Fetches a large response block by block and returns the time that this took; `None` when it
    /// is refused, not answered or never complete.
    pub async fn fetch(&self) -> Option<Duration> {
        let id = self.record_invocation(RequestKind::Fetch);
        let started_at = Instant::now();
        for attempt in 0..MAX_FETCH_ATTEMPTS {
            match self.fetch_blocks(id).await {
                FetchOutcome::Complete(is_correct) => {
                    self.record_outcome(id, Some(Verdict::Ran), is_correct);
                    return Some(started_at.elapsed());
                }
                FetchOutcome::Refused(verdict) => {
                    // The requests of earlier attempts have run, so this verdict does not hold for
                    // the whole fetch, which is recorded as unanswered instead.
                    let verdict = verdict.filter(|_| attempt == 0);
                    self.record_outcome(id, verdict, true);
                    return None;
                }
                FetchOutcome::MixedBlocks => {}
            }
        }
        self.record_outcome(id, Some(Verdict::MayHaveRun), true);
        None
    }

    /// Keeps a feed open until the future is dropped and records each notification that is newer
    /// than all earlier ones; returns only when the registration is not answered.
    pub async fn observe(&self) {
        let id = self.record_invocation(RequestKind::Feed);
        let mut request = self.build_request(RequestType::Get, "reading", id);
        request.set_observe_value(0);
        let token = request.get_token().to_vec();
        let (sender, mut responses) = mpsc::unbounded_channel();
        self.response_senders
            .lock()
            .unwrap()
            .insert(token.clone(), sender.clone());
        loop {
            let Some(response) = self.transmit(&request, &mut responses).await else {
                return self.record_outcome(id, None, true);
            };
            if response.get_observe_value().is_some() {
                // The response to the registration counts as the first notification.
                let _ = sender.send(response);
                break;
            }
            // The registration was refused and is repeated after the Max-Age of the refusal.
            let retry_delay_s = coap::max_age_s(&response).min(MAX_FEED_RETRY_DELAY_S);
            sleep(Duration::from_secs(retry_delay_s)).await;
            request.header.message_id = self.next_message_id.fetch_add(1, Ordering::Relaxed);
        }
        let mut last_sequence = None;
        while let Some(packet) = responses.recv().await {
            let Some(Ok(sequence)) = packet.get_observe_value() else {
                continue;
            };
            if last_sequence.is_some_and(|last| !feed::is_newer(sequence, last)) {
                continue;
            }
            last_sequence = Some(sequence);
            let value = String::from_utf8_lossy(&packet.payload)
                .parse()
                .unwrap_or(0);
            self.history.add(Event::Notified { id, value });
        }
    }

    /// Requests all blocks in order, up to the first that is refused or has another ETag.
    async fn fetch_blocks(&self, id: OperationId) -> FetchOutcome {
        let mut etag = None;
        let mut is_correct = true;
        for number in 0..LARGE_RESPONSE_BLOCKS {
            let mut request = self.build_request(RequestType::Get, "certificate", id);
            // Size exponent 5 requests blocks of 512 bytes (RFC 7959, section 2.2).
            let block = (number as u8) << 4 | 5;
            request.add_option(CoapOption::Block2, vec![block]);
            let Some(response) = self.exchange(request).await else {
                return FetchOutcome::Refused(None);
            };
            let verdict = response_verdict(&response);
            if verdict != Verdict::Ran {
                let has_earlier_blocks = number > 0;
                let verdict = if has_earlier_blocks {
                    Verdict::MayHaveRun
                } else {
                    verdict
                };
                return FetchOutcome::Refused(Some(verdict));
            }
            let next_etag = response.get_first_option(CoapOption::ETag).cloned();
            if number > 0 && next_etag != etag {
                return FetchOutcome::MixedBlocks;
            }
            etag = next_etag;
            let prefix = format!("{}/", id.0);
            is_correct &= response.payload.starts_with(prefix.as_bytes());
            is_correct &= crate::server::block_number(&response) == number;
        }
        FetchOutcome::Complete(is_correct)
    }

    fn record_invocation(&self, kind: RequestKind) -> OperationId {
        let id = self.history.next_id();
        self.history.add(Event::Invoked {
            id,
            kind,
            service: self.target.service,
        });
        id
    }

    fn record_outcome(&self, id: OperationId, verdict: Option<Verdict>, is_correct: bool) {
        self.history.add(match verdict {
            Some(verdict) => Event::Answered {
                id,
                verdict,
                is_correct,
            },
            None => Event::Unanswered { id },
        });
    }

    fn build_request(&self, method: RequestType, path: &str, id: OperationId) -> Packet {
        let mut packet = Packet::new();
        packet.header.set_type(MessageType::Confirmable);
        packet.header.code = MessageClass::Request(method);
        packet.header.message_id = self.next_message_id.fetch_add(1, Ordering::Relaxed);
        packet.set_token(rand::random::<[u8; 6]>().to_vec());
        packet.add_option(CoapOption::UriPath, path.as_bytes().to_vec());
        let queries = [
            format!("id={}", id.0),
            format!("service={}", self.target.service),
        ];
        for query in queries {
            packet.add_option(CoapOption::UriQuery, query.into_bytes());
        }
        packet
    }

    /// Sends a request and waits for its response; `None` when no transmission is answered.
    async fn exchange(&self, request: Packet) -> Option<Packet> {
        let token = request.get_token().to_vec();
        let (sender, mut responses) = mpsc::unbounded_channel();
        self.response_senders
            .lock()
            .unwrap()
            .insert(token.clone(), sender);
        let response = self.transmit(&request, &mut responses).await;
        self.response_senders.lock().unwrap().remove(&token);
        response
    }

    /// Sends a confirmable request and its retransmissions; `None` when none is answered.
    async fn transmit(
        &self,
        request: &Packet,
        responses: &mut mpsc::UnboundedReceiver<Packet>,
    ) -> Option<Packet> {
        let datagram = request.to_bytes().expect("a built request encodes");
        let mut retransmit_timeout = ACK_TIMEOUT.mul_f64(rand::rng().random_range(1.0..1.5));
        for _ in 0..=MAX_RETRANSMIT {
            self.fabric.send(&self.socket, self.target.port, &datagram);
            let deadline = Instant::now() + retransmit_timeout;
            if let Ok(response) = timeout_at(deadline.into(), responses.recv()).await {
                return response;
            }
            retransmit_timeout *= 2;
        }
        None
    }

    fn handle_packet(&self, packet: Packet) {
        if packet.header.get_type() == MessageType::Confirmable {
            let mut ack = Packet::new();
            ack.header.set_type(MessageType::Acknowledgement);
            ack.header.code = MessageClass::Empty;
            ack.header.message_id = packet.header.message_id;
            let datagram = ack.to_bytes().expect("an empty message encodes");
            self.fabric.send(&self.socket, self.target.port, &datagram);
        }
        let response_senders = self.response_senders.lock().unwrap();
        if let Some(sender) = response_senders.get(packet.get_token()) {
            // Sending fails when the request has been given up in the meantime.
            let _ = sender.send(packet);
        }
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        if let Some(task) = self.receive_task.lock().unwrap().take() {
            task.abort();
        }
    }
}

/// Result of one attempt to fetch all blocks of a response.
enum FetchOutcome {
    /// All blocks of one response; false when a block is not the one that was requested.
    Complete(bool),
    /// A block request was refused with this verdict; `None` when it was not answered.
    Refused(Option<Verdict>),
    /// The ETags of two blocks differ.
    MixedBlocks,
}

async fn receive_packets(socket: Arc<UdpSocket>, caller: std::sync::Weak<Caller>) {
    let mut buffer = vec![0; 65_535];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(caller) = caller.upgrade() else {
            return;
        };
        if !caller.fabric.delivers_to_caller() {
            continue;
        }
        if let Ok(packet) = Packet::from_bytes(&buffer[..len]) {
            caller.handle_packet(packet);
        }
    }
}

/// Returns the verdict option, or the verdict that the response code implies without it.
fn response_verdict(response: &Packet) -> Verdict {
    if let Some(verdict) = coap::verdict(response) {
        return verdict;
    }
    match response.header.code {
        MessageClass::Response(ResponseType::ServiceUnavailable) => Verdict::NotRun,
        MessageClass::Response(ResponseType::GatewayTimeout) => Verdict::MayHaveRun,
        _ => Verdict::Ran,
    }
}

//! The link to one endpoint: its socket, pending requests and registered feeds.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::time::Instant;

use coap_lite::{MessageClass, MessageType, Packet};
use metrics::counter;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout_at};

use crate::clock;
use crate::entry::bind_udp;
use crate::flow::Key;
use crate::prelude::*;
use crate::wire::coap;

/// ACK_TIMEOUT of RFC 7252 towards backend servers. It is below the default of 2 s, as the
/// backend servers are nearby.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a received datagram, bytes: a message of 1,280 bytes and headroom.
const MAX_DATAGRAM_LEN: usize = 2048;

/// Reason why a request got no answer from the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request was not sent.
    NotSent,
    /// The endpoint answered with a reset, or its port is closed.
    Reset,
    /// The deadline passed without an answer.
    TimedOut,
}

/// Connected UDP socket to one endpoint of one service, with its CoAP state.
#[derive(Debug)]
pub struct Link {
    /// Id of the endpoint.
    pub endpoint: id::Endpoint,
    socket: UdpSocket,
    next_message_id: AtomicU16,
    /// Requests that wait for an answer, by token.
    pending: Mutex<HashMap<u64, PendingRequest>>,
    /// Feeds registered at the endpoint, by token.
    feeds: Mutex<HashMap<u64, FeedRegistration>>,
    /// Monotonic time of the last datagram from the endpoint, milliseconds.
    pub(super) last_received_at_ms: AtomicU64,
    /// True from a receive error, which a closed port causes, until the next datagram.
    pub(super) is_port_unreachable: AtomicBool,
}

#[derive(Debug)]
struct PendingRequest {
    message_id: u16,
    /// True if the endpoint has acknowledged the message.
    is_acknowledged: bool,
    answer_sender: oneshot::Sender<Result<Packet, Failure>>,
}

/// A feed's registration at the endpoint.
#[derive(Clone, Copy, Debug)]
struct FeedRegistration {
    key: Key,
    /// Observe value of the newest notification; `None` before the first one or if it had none.
    sequence: Option<u32>,
    /// Monotonic time by which the next notification is due, milliseconds.
    due_at_ms: u64,
}

impl Link {
    /// Opens a socket on a fresh port of the address `local` and connects it to `address`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the socket cannot be opened or connected.
    pub fn open(
        local: std::net::IpAddr,
        endpoint: id::Endpoint,
        address: SocketAddr,
    ) -> std::io::Result<Self> {
        let socket = bind_udp(SocketAddr::new(local, 0))?;
        socket.connect(address)?;
        Ok(Self {
            endpoint,
            socket: UdpSocket::from_std(socket)?,
            next_message_id: AtomicU16::new(rand::random()),
            pending: Mutex::default(),
            feeds: Mutex::default(),
            last_received_at_ms: AtomicU64::new(clock::monotonic_ms()),
            is_port_unreachable: AtomicBool::new(false),
        })
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns the reason if the exchange fails or the deadline passes.
    pub async fn exchange(&self, request: Packet, deadline: Instant) -> Result<Packet, Failure> {
        self.exchange_with_token(rand::random(), request, deadline)
            .await
    }

    /// Registers an observation and returns its token and the first answer. The feed is kept
    /// only if that answer has an Observe option.
    ///
    /// # Errors
    ///
    /// Returns the reason if the exchange fails or the deadline passes.
    pub async fn register(
        &self,
        key: Key,
        request: Packet,
        deadline: Instant,
    ) -> Result<(u64, Packet), Failure> {
        let token = rand::random();
        let registration = FeedRegistration {
            key,
            sequence: None,
            due_at_ms: u64::MAX,
        };
        self.feeds.lock().unwrap().insert(token, registration);
        let result = self.exchange_with_token(token, request, deadline).await;
        let is_registered = result
            .as_ref()
            .is_ok_and(|answer| coap::observe(answer).is_some());
        if is_registered {
            self.record_notification(token, result.as_ref().ok());
        } else {
            self.feeds.lock().unwrap().remove(&token);
        }
        result.map(|answer| (token, answer))
    }

    /// Ends an observation. The next notification is answered with a reset, which the server
    /// treats as a deregistration (RFC 7641, section 3.6).
    pub fn deregister(&self, token: u64) {
        self.feeds.lock().unwrap().remove(&token);
    }

    /// Returns the token and flow of each feed registered at the endpoint.
    pub fn registered_feeds(&self) -> Vec<(u64, Key)> {
        let feeds = self.feeds.lock().unwrap();
        feeds
            .iter()
            .map(|(token, registration)| (*token, registration.key))
            .collect()
    }

    /// Returns the token and flow of each feed whose newest notification is older than its
    /// Max-Age.
    pub(super) fn overdue_feeds(&self, now_ms: u64) -> Vec<(u64, Key)> {
        let feeds = self.feeds.lock().unwrap();
        let overdue = feeds
            .iter()
            .filter(|(_, registration)| registration.due_at_ms <= now_ms);
        overdue
            .map(|(token, registration)| (*token, registration.key))
            .collect()
    }

    /// Returns the number of feeds registered at the endpoint.
    pub fn feed_count(&self) -> usize {
        self.feeds.lock().unwrap().len()
    }

    /// Sends a CoAP ping, which a live server answers with a reset (RFC 7252, section 4.3).
    pub(super) fn ping(&self) {
        let id = self.next_message_id.fetch_add(1, Ordering::Relaxed);
        let ping = coap::empty(MessageType::Confirmable, id);
        let _ = self.socket.try_send(&coap::encode(&ping));
    }

    /// Receives and handles datagrams until the task is aborted, when the link is closed.
    pub(super) async fn run(self: Arc<Self>, node: Arc<Node>) {
        let mut buffer = vec![0; MAX_DATAGRAM_LEN];
        loop {
            match self.socket.recv(&mut buffer).await {
                Ok(len) => {
                    let now_ms = clock::monotonic_ms();
                    self.last_received_at_ms.store(now_ms, Ordering::Relaxed);
                    self.is_port_unreachable.store(false, Ordering::Relaxed);
                    self.handle_datagram(&node, &buffer[..len]);
                }
                // The port is closed, so the requests that were not acknowledged are lost.
                Err(_) => {
                    self.is_port_unreachable.store(true, Ordering::Relaxed);
                    self.fail_unacknowledged();
                }
            }
        }
    }

    async fn exchange_with_token(
        &self,
        token: u64,
        mut request: Packet,
        deadline: Instant,
    ) -> Result<Packet, Failure> {
        let id = self.next_message_id.fetch_add(1, Ordering::Relaxed);
        request.header.message_id = id;
        request.header.set_type(MessageType::Confirmable);
        request.set_token(token.to_be_bytes().to_vec());
        let datagram = coap::encode(&request);
        let (answer_sender, mut answer_receiver) = oneshot::channel();
        let pending = PendingRequest {
            message_id: id,
            is_acknowledged: false,
            answer_sender,
        };
        self.pending.lock().unwrap().insert(token, pending);
        let _guard = PendingRequestGuard { link: self, token };
        // A send fails if an earlier datagram has caused an ICMP error, so it is repeated once.
        if self.socket.send(&datagram).await.is_err() && self.socket.send(&datagram).await.is_err()
        {
            return Err(Failure::NotSent);
        }
        let mut ack_timeout = ACK_TIMEOUT.mul_f64(rand::rng().random_range(1.0..1.5));
        loop {
            let retransmit_at = Instant::now() + ack_timeout;
            ack_timeout *= 2;
            let wait_until = retransmit_at.min(deadline);
            if let Ok(result) = timeout_at(wait_until.into(), &mut answer_receiver).await {
                return result.unwrap_or(Err(Failure::Reset));
            }
            if Instant::now() >= deadline {
                return Err(Failure::TimedOut);
            }
            if !self.is_acknowledged(token) {
                counter!("ragwortbeam_backend_retransmissions_total").increment(1);
                let _ = self.socket.try_send(&datagram);
            }
            sleep_until(retransmit_at.into()).await;
        }
    }

    fn is_acknowledged(&self, token: u64) -> bool {
        let pending = self.pending.lock().unwrap();
        pending
            .get(&token)
            .is_some_and(|pending| pending.is_acknowledged)
    }

    fn handle_datagram(&self, node: &Arc<Node>, datagram: &[u8]) {
        let Ok(packet) = Packet::from_bytes(datagram) else {
            counter!("ragwortbeam_backend_malformed_total").increment(1);
            return;
        };
        match (packet.header.code, packet.header.get_type()) {
            (MessageClass::Empty, MessageType::Acknowledgement) => {
                self.handle_acknowledgement(packet.header.message_id);
            }
            (MessageClass::Empty, MessageType::Reset) => {
                self.handle_reset(packet.header.message_id)
            }
            (MessageClass::Response(_), _) => self.handle_response(node, packet),
            _ => {}
        }
    }

    fn handle_response(&self, node: &Arc<Node>, packet: Packet) {
        let kind = packet.header.get_type();
        let id = packet.header.message_id;
        let has_receiver = self.deliver(node, packet);
        if kind == MessageType::Confirmable {
            let reply_type = if has_receiver {
                MessageType::Acknowledgement
            } else {
                MessageType::Reset
            };
            self.reply(reply_type, id);
        } else if kind == MessageType::NonConfirmable && !has_receiver {
            self.reply(MessageType::Reset, id);
        }
    }

    /// Delivers a response to the pending request or the feed that has its token; returns
    /// whether there is one. A notification that is out of order is dropped, but counts as
    /// delivered, so that the endpoint gets no reset for it.
    fn deliver(&self, node: &Arc<Node>, packet: Packet) -> bool {
        let Ok(token) = <[u8; 8]>::try_from(packet.get_token()) else {
            return false;
        };
        let token = u64::from_be_bytes(token);
        let pending_request = self.pending.lock().unwrap().remove(&token);
        if let Some(pending) = pending_request {
            // The send fails if the request has reached its deadline in the meantime.
            return pending.answer_sender.send(Ok(packet)).is_ok();
        }
        let Some(key) = self.record_notification(token, Some(&packet)) else {
            return self.feeds.lock().unwrap().contains_key(&token);
        };
        node.handle_notification(key, token, packet)
    }

    /// Records a notification's Observe value and the time when the next one is due. Returns
    /// the feed's flow, or `None` if the feed is unknown or the notification is out of order.
    fn record_notification(&self, token: u64, packet: Option<&Packet>) -> Option<Key> {
        let packet = packet?;
        let mut feeds = self.feeds.lock().unwrap();
        let registration = feeds.get_mut(&token)?;
        let next = coap::observe(packet);
        if let (Some(last), Some(next)) = (registration.sequence, next)
            && !crate::dispatch::feed::is_newer(next, last)
        {
            return None;
        }
        registration.sequence = next;
        let age_ms = coap::max_age_s(packet).saturating_mul(1000);
        registration.due_at_ms = clock::monotonic_ms().saturating_add(age_ms);
        Some(registration.key)
    }

    fn handle_acknowledgement(&self, message_id: u16) {
        let mut pending = self.pending.lock().unwrap();
        let acknowledged = pending
            .values_mut()
            .find(|pending| pending.message_id == message_id);
        if let Some(pending) = acknowledged {
            pending.is_acknowledged = true;
        }
    }

    fn handle_reset(&self, message_id: u16) {
        self.fail_matching(|pending| pending.message_id == message_id);
    }

    fn fail_unacknowledged(&self) {
        self.fail_matching(|pending| !pending.is_acknowledged);
    }

    fn fail_matching(&self, should_fail: impl Fn(&PendingRequest) -> bool) {
        let mut pending = self.pending.lock().unwrap();
        let failed: Vec<u64> = pending
            .iter()
            .filter(|(_, pending)| should_fail(pending))
            .map(|(token, _)| *token)
            .collect();
        for token in failed {
            if let Some(pending) = pending.remove(&token) {
                let _ = pending.answer_sender.send(Err(Failure::Reset));
            }
        }
    }

    fn reply(&self, kind: MessageType, message_id: u16) {
        let _ = self
            .socket
            .try_send(&coap::encode(&coap::empty(kind, message_id)));
    }
}

/// Removes a pending request when its waiting task ends or is dropped, so that the endpoint
/// gets a reset for a late answer.
struct PendingRequestGuard<'a> {
    link: &'a Link,
    token: u64,
}

impl Drop for PendingRequestGuard<'_> {
    fn drop(&mut self) {
        self.link.pending.lock().unwrap().remove(&self.token);
    }
}

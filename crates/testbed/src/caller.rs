//! Stand-in for callers: CoAP clients with the retransmission of RFC 7252.

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

/// Times a fetch starts anew when blocks turn out to come from different answers
/// (RFC 7959, section 2.4).
const MAX_RESTARTS: usize = 3;

/// Longest wait before a refused feed is asked for again, seconds.
const MAX_WAIT_S: u64 = 2;

/// A service as callers reach it.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Name.
    pub service: &'static str,
    /// Port of its address.
    pub port: u16,
}

/// One caller with one address.
#[derive(Debug)]
pub struct Caller {
    socket: Arc<UdpSocket>,
    fabric: Arc<Fabric>,
    history: Arc<History>,
    target: Target,
    next_message_id: AtomicU16,
    /// Who waits for an answer, by token.
    waiting: Mutex<HashMap<Vec<u8>, mpsc::UnboundedSender<Packet>>>,
    receiver: Mutex<Option<JoinHandle<()>>>,
}

impl Caller {
    /// Opens a caller of one service.
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
            waiting: Mutex::default(),
            receiver: Mutex::default(),
        });
        let task = tokio::spawn(receive(caller.socket.clone(), Arc::downgrade(&caller)));
        *caller.receiver.lock().unwrap() = Some(task);
        Ok(caller)
    }

    /// Sends a non-idempotent record and returns the time until its answer.
    pub async fn post(&self) -> Option<Duration> {
        let id = self.invoke(RequestKind::Post);
        let request = self.request(RequestType::Post, "records", id);
        let begun = Instant::now();
        let answer = self.exchange(request).await;
        let is_own = |answer: &Packet| answer.payload == id.0.to_string().into_bytes();
        let verdict = answer.as_ref().map(verdict_of);
        let is_correct = verdict != Some(Verdict::Ran) || answer.as_ref().is_some_and(is_own);
        self.conclude(id, verdict, is_correct);
        (verdict == Some(Verdict::Ran)).then(|| begun.elapsed())
    }

    /// Fetches a large answer block by block and returns the time it took.
    pub async fn fetch(&self) -> Option<Duration> {
        let id = self.invoke(RequestKind::Fetch);
        let begun = Instant::now();
        for restart in 0..MAX_RESTARTS {
            match self.fetch_blocks(id).await {
                Fetched::Whole(is_own) => {
                    self.conclude(id, Some(Verdict::Ran), is_own);
                    return Some(begun.elapsed());
                }
                Fetched::Refused(verdict) => {
                    // The attempts before a restart have run.
                    let verdict = verdict.filter(|_| restart == 0);
                    self.conclude(id, verdict, true);
                    return None;
                }
                Fetched::Mixed => {}
            }
        }
        self.conclude(id, Some(Verdict::MayHaveRun), true);
        None
    }

    /// Keeps a feed open until dropped, noting each newer notification.
    pub async fn watch(&self) {
        let id = self.invoke(RequestKind::Feed);
        let mut request = self.request(RequestType::Get, "reading", id);
        request.set_observe_value(0);
        let token = request.get_token().to_vec();
        let (sender, mut answers) = mpsc::unbounded_channel();
        self.waiting
            .lock()
            .unwrap()
            .insert(token.clone(), sender.clone());
        loop {
            let Some(first) = self.transmit(&request, &mut answers).await else {
                return self.conclude(id, None, true);
            };
            if first.get_observe_value().is_some() {
                // The first answer counts like the ones that follow.
                let _ = sender.send(first);
                break;
            }
            // Refused: asked again after the time that the refusal names.
            let wait_s = coap::max_age_s(&first).min(MAX_WAIT_S);
            sleep(Duration::from_secs(wait_s)).await;
            request.header.message_id = self.next_message_id.fetch_add(1, Ordering::Relaxed);
        }
        let mut last = None;
        while let Some(packet) = answers.recv().await {
            let Some(Ok(next)) = packet.get_observe_value() else {
                continue;
            };
            if last.is_some_and(|last| !feed::is_newer(next, last)) {
                continue;
            }
            last = Some(next);
            let value = String::from_utf8_lossy(&packet.payload)
                .parse()
                .unwrap_or(0);
            self.history.add(Event::Notified { id, value });
        }
    }

    async fn fetch_blocks(&self, id: OperationId) -> Fetched {
        let mut tag = None;
        let mut is_own = true;
        for number in 0..LARGE_RESPONSE_BLOCKS {
            let mut request = self.request(RequestType::Get, "certificate", id);
            let block = (number as u8) << 4 | 5;
            request.add_option(CoapOption::Block2, vec![block]);
            let Some(answer) = self.exchange(request).await else {
                return Fetched::Refused(None);
            };
            let verdict = verdict_of(&answer);
            if verdict != Verdict::Ran {
                let is_partial = number > 0;
                let verdict = if is_partial {
                    Verdict::MayHaveRun
                } else {
                    verdict
                };
                return Fetched::Refused(Some(verdict));
            }
            let next = answer.get_first_option(CoapOption::ETag).cloned();
            if number > 0 && next != tag {
                return Fetched::Mixed;
            }
            tag = next;
            let prefix = format!("{}/", id.0);
            is_own &= answer.payload.starts_with(prefix.as_bytes());
            is_own &= crate::server::block_number(&answer) == number;
        }
        Fetched::Whole(is_own)
    }

    fn invoke(&self, kind: RequestKind) -> OperationId {
        let id = self.history.next_id();
        self.history.add(Event::Invoked {
            id,
            kind,
            service: self.target.service,
        });
        id
    }

    fn conclude(&self, id: OperationId, verdict: Option<Verdict>, is_correct: bool) {
        self.history.add(match verdict {
            Some(verdict) => Event::Answered {
                id,
                verdict,
                is_correct,
            },
            None => Event::Unanswered { id },
        });
    }

    fn request(&self, kind: RequestType, path: &str, id: OperationId) -> Packet {
        let mut packet = Packet::new();
        packet.header.set_type(MessageType::Confirmable);
        packet.header.code = MessageClass::Request(kind);
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

    async fn exchange(&self, request: Packet) -> Option<Packet> {
        let token = request.get_token().to_vec();
        let (sender, mut answers) = mpsc::unbounded_channel();
        self.waiting.lock().unwrap().insert(token.clone(), sender);
        let answer = self.transmit(&request, &mut answers).await;
        self.waiting.lock().unwrap().remove(&token);
        answer
    }

    /// Sends a confirmable request until it is answered or given up.
    async fn transmit(
        &self,
        request: &Packet,
        answers: &mut mpsc::UnboundedReceiver<Packet>,
    ) -> Option<Packet> {
        let datagram = request.to_bytes().expect("a built request encodes");
        let mut wait = ACK_TIMEOUT.mul_f64(rand::rng().random_range(1.0..1.5));
        for _ in 0..=MAX_RETRANSMIT {
            self.fabric.send(&self.socket, self.target.port, &datagram);
            let until = Instant::now() + wait;
            if let Ok(answer) = timeout_at(until.into(), answers.recv()).await {
                return answer;
            }
            wait *= 2;
        }
        None
    }

    fn take(&self, packet: Packet) {
        if packet.header.get_type() == MessageType::Confirmable {
            let mut ack = Packet::new();
            ack.header.set_type(MessageType::Acknowledgement);
            ack.header.code = MessageClass::Empty;
            ack.header.message_id = packet.header.message_id;
            let datagram = ack.to_bytes().expect("an empty message encodes");
            self.fabric.send(&self.socket, self.target.port, &datagram);
        }
        let waiting = self.waiting.lock().unwrap();
        if let Some(sender) = waiting.get(packet.get_token()) {
            // The request may have been given up in the meantime.
            let _ = sender.send(packet);
        }
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        if let Some(task) = self.receiver.lock().unwrap().take() {
            task.abort();
        }
    }
}

enum Fetched {
    /// All blocks of one answer, which was the caller's own or not.
    Whole(bool),
    /// Refused, or not answered.
    Refused(Option<Verdict>),
    /// Blocks of two answers.
    Mixed,
}

async fn receive(socket: Arc<UdpSocket>, caller: std::sync::Weak<Caller>) {
    let mut buffer = vec![0; 65_535];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(caller) = caller.upgrade() else {
            return;
        };
        if !caller.fabric.delivers() {
            continue;
        }
        if let Ok(packet) = Packet::from_bytes(&buffer[..len]) {
            caller.take(packet);
        }
    }
}

fn verdict_of(answer: &Packet) -> Verdict {
    if let Some(verdict) = coap::verdict(answer) {
        return verdict;
    }
    match answer.header.code {
        MessageClass::Response(ResponseType::ServiceUnavailable) => Verdict::NotRun,
        MessageClass::Response(ResponseType::GatewayTimeout) => Verdict::MayHaveRun,
        _ => Verdict::Ran,
    }
}

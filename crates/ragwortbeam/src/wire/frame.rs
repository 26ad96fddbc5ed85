//! Encoding and authentication of frames between VMs: a protobuf message followed by a keyed MAC.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use prost::Message;

use crate::clock;
use crate::id;
use crate::message::Frame;
use crate::message::frame::Body;
use crate::refusal::Reason;

/// Length of the MAC, bytes.
pub const MAC_LEN: usize = 16;

/// Maximum length of a frame with its MAC, bytes.
pub const MAX_FRAME_LEN: usize = 2048;

/// Maximum difference between a frame's send time and the receiver's wall clock, milliseconds.
pub const MAX_SKEW_MS: u64 = 30_000;

/// Length of the replay window: how far a sequence number may lie below the highest one received
/// and still be accepted once.
const REPLAY_WINDOW_LEN: u64 = 1024;

const REPLAY_WINDOW_WORDS: usize = (REPLAY_WINDOW_LEN / 64) as usize;

/// MAC key shared by all VMs.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the contents of the key file.
    pub fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key("ragwortbeam peer v1", secret))
    }

    /// Returns the MAC of `data`.
    pub fn mac(&self, data: &[u8]) -> [u8; MAC_LEN] {
        let hash = blake3::keyed_hash(&self.0, data);
        let mut mac = [0; MAC_LEN];
        mac.copy_from_slice(&hash.as_bytes()[..MAC_LEN]);
        mac
    }

    /// Returns whether `mac` is the MAC of `data`; compares in constant time.
    pub fn verify(&self, data: &[u8], mac: &[u8]) -> bool {
        let expected = self.mac(data);
        let mut difference = (mac.len() != MAC_LEN) as u8;
        for (left, right) in expected.iter().zip(mac) {
            difference |= left ^ right;
        }
        difference == 0
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Key(..)")
    }
}

/// Encodes and authenticates the frames that this process sends.
#[derive(Debug)]
pub struct Sealer {
    key: Key,
    sender: id::Vm,
    incarnation: u64,
    /// Next sequence number; none is used twice within an incarnation.
    sequence: AtomicU64,
}

impl Sealer {
    /// Returns a sealer for frames of the VM `sender` in this incarnation.
    pub fn new(key: Key, sender: id::Vm, incarnation: u64) -> Self {
        Self {
            key,
            sender,
            incarnation,
            sequence: AtomicU64::new(1),
        }
    }

    /// Encodes a frame with the next sequence number and appends its MAC.
    pub fn seal(&self, body: Body) -> Vec<u8> {
        let frame = Frame {
            sender: self.sender.0,
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            sent_at_ms: clock::wall_ms(),
            body: Some(body),
        };
        let mut datagram = Vec::with_capacity(frame.encoded_len() + MAC_LEN);
        frame
            .encode(&mut datagram)
            .expect("a vector has no length limit");
        let mac = self.key.mac(&datagram);
        datagram.extend_from_slice(&mac);
        datagram
    }
}

/// Verifies and decodes the frames of all senders; accepts each frame at most once.
#[derive(Debug)]
pub struct Opener {
    key: Key,
    windows: Mutex<HashMap<id::Vm, ReplayWindow>>,
}

/// Replay window: the sequence numbers received from one sender.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `n % REPLAY_WINDOW_LEN` is set if sequence number `n` was received.
    received: [u64; REPLAY_WINDOW_WORDS],
}

impl Opener {
    /// Returns an opener with an empty replay window for each sender.
    pub fn new(key: Key) -> Self {
        Self {
            key,
            windows: Mutex::default(),
        }
    }

    /// Verifies and decodes a datagram that arrived at the wall-clock time `now_ms`, milliseconds
    /// since the Unix epoch. `is_member` returns whether the sender is in the VM list with the
    /// address that the datagram came from.
    ///
    /// # Errors
    ///
    /// The reason of the refusal. A refused frame leaves the replay windows unchanged, so that
    /// neither a sender that is not a member nor an old frame can cause later frames of a member
    /// to be refused.
    pub fn open(
        &self,
        datagram: &[u8],
        now_ms: u64,
        is_member: impl FnOnce(id::Vm) -> bool,
    ) -> Result<Frame, Reason> {
        if datagram.len() > MAX_FRAME_LEN {
            return Err(Reason::FrameLong);
        }
        if datagram.len() <= MAC_LEN {
            return Err(Reason::FrameShort);
        }
        let (encoded, mac) = datagram.split_at(datagram.len() - MAC_LEN);
        if !self.key.verify(encoded, mac) {
            return Err(Reason::FrameMac);
        }
        let frame = Frame::decode(encoded).map_err(|_| Reason::FrameMalformed)?;
        if frame.body.is_none() {
            return Err(Reason::FrameUnknownKind);
        }
        if frame.sent_at_ms.abs_diff(now_ms) > MAX_SKEW_MS {
            return Err(Reason::FrameStale);
        }
        if !is_member(id::Vm(frame.sender)) {
            return Err(Reason::FrameStranger);
        }
        let mut windows = self.windows.lock().unwrap();
        let window = windows
            .entry(id::Vm(frame.sender))
            .or_insert_with(|| ReplayWindow::new(frame.incarnation));
        if !window.accept(frame.incarnation, frame.sequence) {
            return Err(Reason::FrameReplayed);
        }
        Ok(frame)
    }
}

impl ReplayWindow {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            highest: 0,
            received: [0; REPLAY_WINDOW_WORDS],
        }
    }

    /// Returns whether a frame is to be accepted, and if so, records its sequence number. A higher
    /// incarnation starts an empty window.
    fn accept(&mut self, incarnation: u64, sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self::new(incarnation);
        }
        if self.highest.saturating_sub(sequence) >= REPLAY_WINDOW_LEN {
            return false;
        }
        self.advance(sequence);
        let bit = sequence % REPLAY_WINDOW_LEN;
        let word = &mut self.received[(bit / 64) as usize];
        let mask = 1 << (bit % 64);
        let is_new = *word & mask == 0;
        *word |= mask;
        is_new
    }

    /// Moves the window up to `sequence` and clears the bits of the numbers that enter it.
    fn advance(&mut self, sequence: u64) {
        if sequence <= self.highest {
            return;
        }
        if sequence - self.highest >= REPLAY_WINDOW_LEN {
            self.received = [0; REPLAY_WINDOW_WORDS];
        } else {
            for number in self.highest + 1..=sequence {
                let bit = number % REPLAY_WINDOW_LEN;
                self.received[(bit / 64) as usize] &= !(1 << (bit % 64));
            }
        }
        self.highest = sequence;
    }
}

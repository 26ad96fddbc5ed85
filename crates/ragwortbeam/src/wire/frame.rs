//! Sealing and opening of peer frames: protobuf followed by a keyed MAC.

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

/// Largest frame, bytes.
pub const MAX_FRAME_LEN: usize = 2048;

/// Largest difference between the sender's wall clock and the receiver's, milliseconds.
pub const MAX_SKEW_MS: u64 = 30_000;

/// Sequence numbers below the highest one seen that are still accepted once.
const WINDOW_LEN: u64 = 1024;

const WINDOW_WORDS: usize = (WINDOW_LEN / 64) as usize;

/// Key shared by all VMs.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the frame key from the contents of the key file.
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

    /// Compares in constant time.
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

/// Seals frames of one process.
#[derive(Debug)]
pub struct Sealer {
    key: Key,
    sender: id::Vm,
    incarnation: u64,
    /// Never used twice within the incarnation.
    sequence: AtomicU64,
}

impl Sealer {
    /// Returns a sealer for this VM and incarnation.
    pub fn new(key: Key, sender: id::Vm, incarnation: u64) -> Self {
        Self {
            key,
            sender,
            incarnation,
            sequence: AtomicU64::new(1),
        }
    }

    /// Encodes a frame and appends its MAC.
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
            .expect("a vector grows as needed");
        let mac = self.key.mac(&datagram);
        datagram.extend_from_slice(&mac);
        datagram
    }
}

/// Opens frames of all senders; accepts each at most once.
#[derive(Debug)]
pub struct Opener {
    key: Key,
    windows: Mutex<HashMap<id::Vm, Window>>,
}

/// Sequence numbers seen from one sender.
#[derive(Debug)]
struct Window {
    incarnation: u64,
    highest: u64,
    /// Bit `n % WINDOW_LEN` is set when `n` was seen.
    seen: [u64; WINDOW_WORDS],
}

impl Opener {
    /// Returns an opener with no sender seen yet.
    pub fn new(key: Key) -> Self {
        Self {
            key,
            windows: Mutex::default(),
        }
    }

    /// Verifies and decodes a datagram of a sender that `is_member` accepts.
    ///
    /// # Errors
    ///
    /// The reason to count. A refused frame changes nothing, so that neither a stranger
    /// nor an old frame can shut out a member's next one.
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
            .or_insert_with(|| Window::new(frame.incarnation));
        if !window.accept(frame.incarnation, frame.sequence) {
            return Err(Reason::FrameReplayed);
        }
        Ok(frame)
    }
}

impl Window {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            highest: 0,
            seen: [0; WINDOW_WORDS],
        }
    }

    fn accept(&mut self, incarnation: u64, sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self::new(incarnation);
        }
        if sequence + WINDOW_LEN <= self.highest {
            return false;
        }
        self.advance(sequence);
        let bit = sequence % WINDOW_LEN;
        let word = &mut self.seen[(bit / 64) as usize];
        let mask = 1 << (bit % 64);
        let is_new = *word & mask == 0;
        *word |= mask;
        is_new
    }

    /// Clears the bits of the numbers that enter the window.
    fn advance(&mut self, sequence: u64) {
        if sequence <= self.highest {
            return;
        }
        if sequence - self.highest >= WINDOW_LEN {
            self.seen = [0; WINDOW_WORDS];
        } else {
            for number in self.highest + 1..=sequence {
                let bit = number % WINDOW_LEN;
                self.seen[(bit / 64) as usize] &= !(1 << (bit % 64));
            }
        }
        self.highest = sequence;
    }
}

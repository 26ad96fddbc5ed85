//! News waiting to be piggybacked on probes.

use crate::id;
use crate::message::Rumour;

/// Most rumours carried by one probe.
pub const RUMOURS_PER_FRAME: usize = 6;

/// Multiplies the logarithm of the member count to give how often a rumour is sent.
const REPEAT_FACTOR: u32 = 3;

/// Rumours with the number of times each was sent, at most one for each VM.
#[derive(Debug, Default)]
pub struct Rumours {
    waiting: Vec<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    rumour: Rumour,
    sent: u32,
}

impl Rumours {
    /// Queues a rumour in place of an older one about the same VM.
    pub fn push(&mut self, rumour: Rumour) {
        self.waiting
            .retain(|waiting| waiting.rumour.vm != rumour.vm);
        self.waiting.push(Waiting { rumour, sent: 0 });
    }

    /// Takes the least sent rumours for one frame; rumours sent often enough are dropped.
    pub fn take(&mut self, members: usize) -> Vec<Rumour> {
        let limit = REPEAT_FACTOR * (members as u32 + 2).ilog2().max(1);
        self.waiting.sort_by_key(|waiting| waiting.sent);
        let mut taken = Vec::new();
        for waiting in self.waiting.iter_mut().take(RUMOURS_PER_FRAME) {
            waiting.sent += 1;
            taken.push(waiting.rumour);
        }
        self.waiting.retain(|waiting| waiting.sent < limit);
        taken
    }

    /// Drops what is queued about a VM.
    pub fn forget(&mut self, vm: id::Vm) {
        self.waiting.retain(|waiting| waiting.rumour.vm != vm.0);
    }
}

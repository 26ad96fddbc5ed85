//! Queue of rumours that are piggybacked on probes.

use crate::id;
use crate::message::Rumour;

/// Maximum number of queued rumours in one frame.
pub const RUMOURS_PER_FRAME: usize = 6;

/// A rumour is sent this many times the binary logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;

/// Queued rumours with the number of times that each was sent, at most one for each VM.
#[derive(Debug, Default)]
pub struct Rumours {
    queue: Vec<QueuedRumour>,
}

#[derive(Debug)]
struct QueuedRumour {
    rumour: Rumour,
    send_count: u32,
}

impl Rumours {
    /// Queues a rumour in place of an older one about the same VM.
    pub fn push(&mut self, rumour: Rumour) {
        self.queue.retain(|queued| queued.rumour.vm != rumour.vm);
        self.queue.push(QueuedRumour {
            rumour,
            send_count: 0,
        });
    }

    /// Returns the rumours for one frame, the least often sent ones first; those that were sent
    /// often enough for `member_count` members are removed from the queue.
    pub fn take(&mut self, member_count: usize) -> Vec<Rumour> {
        let limit = RETRANSMIT_FACTOR * (member_count as u32 + 2).ilog2().max(1);
        self.queue.sort_by_key(|queued| queued.send_count);
        let mut taken = Vec::new();
        for queued in self.queue.iter_mut().take(RUMOURS_PER_FRAME) {
            queued.send_count += 1;
            taken.push(queued.rumour);
        }
        self.queue.retain(|queued| queued.send_count < limit);
        taken
    }

    /// Removes the queued rumour about a VM.
    pub fn remove(&mut self, vm: id::Vm) {
        self.queue.retain(|queued| queued.rumour.vm != vm.0);
    }
}

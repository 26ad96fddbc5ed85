//! Countable costs stay within the users' budgets at the target's size.

use ragwortbeam::flow::Record;
use ragwortbeam::flow::record::{CoapState, Feed};
use ragwortbeam::id;
use ragwortbeam::message::frame::Body;
use ragwortbeam::message::{Health, Ping, Rumour};
use ragwortbeam::wire::frame::{Key, Sealer};

/// Control bytes a second of one VM.
const BYTES_BUDGET: usize = 8 * 1024;

/// Control memory of one VM, bytes.
const MEMORY_BUDGET: usize = 128 * 1024 * 1024;

/// Open flows of one VM: 89 million on 4,400 VMs.
const FLOWS: usize = 89_000_000 / 4400;

/// Probes and answers a VM sends in ten seconds, at one probe each 400 ms.
const FRAMES_PER_10_S: usize = 2 * 25;

/// Most rumours of one frame: six queued ones, the receiver's and the sender's own.
const MOST_RUMOURS: usize = 8;

#[test]
fn flows_with_a_feed_each_and_as_many_copies_fit_half_the_memory() {
    let bytes = size_of::<Record>() + size_of::<CoapState>() + size_of::<Feed>();
    assert!(
        2 * FLOWS * bytes <= MEMORY_BUDGET / 2,
        "{bytes} bytes a flow"
    );
}

#[test]
fn probes_with_all_rumours_fit_the_bytes() {
    let rumour = Rumour {
        vm: u64::MAX,
        incarnation: u64::MAX,
        revision: u32::MAX,
        health: Health::Left.into(),
    };
    let ping = Ping {
        nonce: u64::MAX,
        release: u64::MAX,
        vm_list: u64::MAX,
        rumours: vec![rumour; MOST_RUMOURS],
    };
    let sealer = Sealer::new(Key::derive(&[1; 32]), id::Vm::of("vm"), u64::MAX);
    let frame = sealer.seal(Body::Ping(ping)).len();
    assert!(
        frame * FRAMES_PER_10_S / 10 <= BYTES_BUDGET,
        "{frame} bytes a frame"
    );
}

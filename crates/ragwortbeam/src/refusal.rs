//! Reasons for refusing packets and requests, each with a counter.

use std::collections::BTreeMap;
use std::sync::Mutex;

use derive_more::Display;
use metrics::counter;
use serde::{Deserialize, Serialize};

use crate::verdict::Verdict;

/// Why a packet, frame or request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Caller datagram shorter than a CoAP header.
    #[display("datagram_short")]
    DatagramShort,
    /// Caller datagram above the size limit.
    #[display("datagram_long")]
    DatagramLong,
    /// Caller datagram that is no CoAP message.
    #[display("datagram_malformed")]
    DatagramMalformed,
    /// Caller message with a code that is no request.
    #[display("message_unexpected")]
    MessageUnexpected,
    /// Request with an option that must not be forwarded unknown.
    #[display("option_unknown")]
    OptionUnknown,
    /// Request for forward proxying.
    #[display("proxying")]
    Proxying,
    /// Peer frame too short to carry a MAC.
    #[display("frame_short")]
    FrameShort,
    /// Peer frame above the size limit.
    #[display("frame_long")]
    FrameLong,
    /// Peer frame whose MAC does not fit.
    #[display("frame_mac")]
    FrameMac,
    /// Peer frame that does not decode.
    #[display("frame_malformed")]
    FrameMalformed,
    /// Peer frame of no known kind.
    #[display("frame_unknown_kind")]
    FrameUnknownKind,
    /// Peer frame sent too long ago.
    #[display("frame_stale")]
    FrameStale,
    /// Peer frame seen before.
    #[display("frame_replayed")]
    FrameReplayed,
    /// Peer frame from an address that is no VM's.
    #[display("frame_stranger")]
    FrameStranger,
    /// Peer call without a valid proof of the key.
    #[display("call_unproved")]
    CallUnproved,
    /// Packet for a service not known here.
    #[display("service_unknown")]
    ServiceUnknown,
    /// No endpoint of the service takes new work.
    #[display("no_endpoint")]
    NoEndpoint,
    /// The service's queue is full.
    #[display("queue_full")]
    QueueFull,
    /// The deadline passed before dispatch.
    #[display("deadline_queued")]
    DeadlineQueued,
    /// The deadline passed after dispatch.
    #[display("deadline_dispatched")]
    DeadlineDispatched,
    /// Backend servers shed the request.
    #[display("shed")]
    Shed,
    /// The backend server reset the request or its port was closed.
    #[display("backend_reset")]
    BackendReset,
    /// The replica VM did not record a non-idempotent request in time.
    #[display("replica_unreachable")]
    ReplicaUnreachable,
    /// This VM sees no majority of the data centre's VMs, so another part may serve
    /// non-idempotent requests.
    #[display("minority")]
    Minority,
    /// An earlier owner died between dispatch and answer.
    #[display("owner_lost")]
    OwnerLost,
    /// The flow table is full.
    #[display("flows_full")]
    FlowsFull,
    /// This VM stops.
    #[display("stopping")]
    Stopping,
    /// Too many hops between VMs.
    #[display("hop_limit")]
    HopLimit,
}

/// Refusal of a request, with what is known about its execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display)]
#[display("reason={reason} verdict={verdict}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// `NotRun` only where no backend server can have received the request.
    pub verdict: Verdict,
}

impl Refusal {
    /// Returns a refusal of a request that no backend server has received.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
        }
    }

    /// Returns a refusal of a request that a backend server may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            reason,
            verdict: Verdict::MayHaveRun,
        }
    }
}

/// Refusals counted by reason since the process started.
#[derive(Debug, Default)]
pub struct Counts {
    by_reason: Mutex<BTreeMap<Reason, u64>>,
}

impl Counts {
    /// Counts one refusal, here and in the metrics.
    pub fn add(&self, reason: Reason) {
        counter!("ragwortbeam_refusals_total", "reason" => reason.to_string()).increment(1);
        *self.by_reason.lock().unwrap().entry(reason).or_default() += 1;
    }

    /// Returns a copy of all counts.
    pub fn all(&self) -> BTreeMap<Reason, u64> {
        self.by_reason.lock().unwrap().clone()
    }
}

//! Messages about slots between claiming VMs and allocators.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

use super::PeerLink;
use crate::catalog::{Traffic, saturating_ms};
use crate::message::{self, answer, frame};
use crate::placement::{
    Answer, Claim, ClaimId, Denial, Dispatch, Knowledge, MAX_AVOIDED, Message, Outcome, Reply,
};
use crate::prelude::*;

/// Interval at which leases and waiting claims are checked for their end.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

/// Answer to a claim of this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedAnswer {
    /// Allocator that answered.
    pub allocator: Ipv4Addr,
    /// Number of the claim.
    pub number: u64,
    /// Its answer.
    pub answer: Answer,
}

impl PeerLink {
    /// Sets the channel for the answers to this VM's claims.
    pub fn set_answer_channel(&self, channel: UnboundedSender<ReceivedAnswer>) {
        *self.answers.lock().unwrap() = Some(channel);
    }

    /// Sends messages about slots, those for one VM in one frame; those to this VM itself are
    /// handled at once.
    pub fn dispatch(&self, dispatches: Vec<Dispatch>, now: Moment) {
        if dispatches.is_empty() {
            return;
        }
        let own_ip = self.members.lock().unwrap().ip();
        let mut placements: BTreeMap<Ipv4Addr, message::Placement> = BTreeMap::new();
        for Dispatch { to, message } in dispatches {
            if to == own_ip {
                self.handle_message(own_ip, message, now);
            } else {
                add_to_wire(placements.entry(to).or_default(), message);
            }
        }
        for (to, placement) in placements {
            let frame = self.build_frame(frame::Body::Placement(placement), now);
            self.send(to, &frame);
        }
    }

    /// Handles the messages about slots in a peer's frame. One that cannot be decoded is ignored,
    /// as if it had been lost.
    pub(super) fn handle_placement(
        &self,
        from: Ipv4Addr,
        placement: &message::Placement,
        now: Moment,
    ) {
        let messages = from_wire(from, placement).into_iter();
        let replies = messages.flat_map(|message| self.apply(from, message, now));
        let replies = replies.collect();
        self.reply(replies, now);
    }

    /// Denies the claims that wait here; further ones are denied too.
    pub(super) fn stop_allocating(&self, now: Moment) {
        let replies = self.allocator.lock().unwrap().stop();
        self.reply(replies, now);
    }

    fn handle_message(&self, from: Ipv4Addr, message: Message, now: Moment) {
        let replies = self.apply(from, message, now);
        self.reply(replies, now);
    }

    /// Applies a message; returns the answers to claims that it leads to.
    fn apply(&self, from: Ipv4Addr, message: Message, now: Moment) -> Vec<Reply> {
        match message {
            Message::Claim(claim) => self.with_allocator(|allocator, knowledge| {
                vec![allocator.claim(claim, knowledge, now)]
            }),
            Message::Release(number, outcome) => {
                let id = ClaimId { vm: from, number };
                self.with_allocator(|allocator, knowledge| {
                    allocator.release(id, outcome, knowledge, now)
                })
            }
            Message::Answer(number, answer) => {
                if let Some(channel) = &*self.answers.lock().unwrap() {
                    // The receiver ends with the process.
                    let _ = channel.send(ReceivedAnswer {
                        allocator: from,
                        number,
                        answer,
                    });
                }
                Vec::new()
            }
        }
    }

    fn with_allocator<T>(
        &self,
        action: impl FnOnce(&mut crate::placement::Allocator, &mut Knowledge<'_>) -> T,
    ) -> T {
        let catalog = self.catalog.lock().unwrap();
        let mut loads = self.endpoint_loads.lock().unwrap();
        let mut allocator = self.allocator.lock().unwrap();
        let mut knowledge = Knowledge {
            catalog: &catalog,
            loads: &mut loads,
        };
        action(&mut allocator, &mut knowledge)
    }

    fn reply(&self, replies: Vec<Reply>, now: Moment) {
        let dispatches = replies.into_iter().map(|reply| Dispatch {
            to: reply.claim.vm,
            message: Message::Answer(reply.claim.number, reply.answer),
        });
        self.dispatch(dispatches.collect(), now);
    }
}

/// Ends leases and waiting claims in time until the process ends.
pub async fn expire_leases(link: Arc<PeerLink>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let now = Moment::now();
        let replies = link.with_allocator(|allocator, knowledge| allocator.expire(knowledge, now));
        link.reply(replies, now);
    }
}

fn add_to_wire(placement: &mut message::Placement, message: Message) {
    match message {
        Message::Claim(claim) => placement.claims.push(message::Claim {
            number: claim.id.number,
            shard: claim.shard,
            traffic: message::Traffic::from(claim.traffic).into(),
            priority: claim.priority,
            patience_ms: saturating_ms(claim.patience),
            avoid: claim.avoid.into_iter().filter(|tag| *tag != 0).collect(),
            may_wait: claim.may_wait,
        }),
        Message::Answer(number, answer) => {
            let content = match answer {
                Answer::Leased(tag) => answer::Content::Leased(tag),
                Answer::Waiting(limit) => answer::Content::WaitingMs(saturating_ms(limit)),
                Answer::Denied(denial) => answer::Content::Denied(match denial {
                    Denial::Full => message::Denial::Full.into(),
                    Denial::Overloaded => message::Denial::Overloaded.into(),
                    Denial::NoEndpoint => message::Denial::NoEndpoint.into(),
                    Denial::Stopping => message::Denial::Stopping.into(),
                }),
            };
            placement.answers.push(message::Answer {
                number,
                content: Some(content),
            });
        }
        Message::Release(number, outcome) => placement.releases.push(message::Release {
            number,
            outcome: match outcome {
                Outcome::Answered => message::Outcome::Answered.into(),
                Outcome::Unanswered => message::Outcome::Unanswered.into(),
                Outcome::Unused => message::Outcome::Unused.into(),
            },
        }),
    }
}

fn from_wire(from: Ipv4Addr, placement: &message::Placement) -> Vec<Message> {
    let claims = placement.claims.iter().map(|it| {
        let mut avoid = [0; MAX_AVOIDED];
        for (slot, tag) in avoid.iter_mut().zip(&it.avoid) {
            *slot = *tag;
        }
        Message::Claim(Claim {
            id: ClaimId {
                vm: from,
                number: it.number,
            },
            shard: it.shard,
            traffic: Traffic::from(it.traffic()),
            priority: it.priority,
            patience: Duration::from_millis(it.patience_ms.into()),
            avoid,
            may_wait: it.may_wait,
        })
    });
    let answers = placement.answers.iter().filter_map(|it| {
        let answer = match it.content? {
            answer::Content::Leased(tag) => Answer::Leased(tag),
            answer::Content::WaitingMs(limit_ms) => {
                Answer::Waiting(Duration::from_millis(limit_ms.into()))
            }
            answer::Content::Denied(denial) => {
                Answer::Denied(match message::Denial::try_from(denial).ok()? {
                    message::Denial::Full => Denial::Full,
                    message::Denial::Overloaded => Denial::Overloaded,
                    message::Denial::NoEndpoint => Denial::NoEndpoint,
                    message::Denial::Stopping => Denial::Stopping,
                })
            }
        };
        Some(Message::Answer(it.number, answer))
    });
    let releases = placement.releases.iter().map(|it| {
        let outcome = match it.outcome() {
            message::Outcome::Answered => Outcome::Answered,
            message::Outcome::Unanswered => Outcome::Unanswered,
            message::Outcome::Unused => Outcome::Unused,
        };
        Message::Release(it.number, outcome)
    });
    claims.chain(answers).chain(releases).collect()
}

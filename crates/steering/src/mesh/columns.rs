//! Columnar encoding of endpoint loads. The endpoints are identified by tags in the message or
//! by an order that both sides derive from a subset.

use crate::load::{Loads, ReportedLoad};
use crate::message;

/// Encodes loads together with the tags of their endpoints.
pub fn encode_with_tags(loads: &Loads) -> message::Loads {
    let values: Vec<ReportedLoad> = loads.values().copied().collect();
    message::Loads {
        tags: loads.keys().copied().collect(),
        ..encode_without_tags(&values)
    }
}

/// Encodes loads without tags; the receiver knows the endpoints in the order of `loads`.
pub fn encode_without_tags(loads: &[ReportedLoad]) -> message::Loads {
    message::Loads {
        count: loads.len() as u32,
        tags: Vec::new(),
        open: column(loads, |load| load.open),
        busy: column(loads, |load| load.busy),
        unanswered: column(loads, |load| load.unanswered),
        alive: column(loads, |load| load.is_alive.into()),
        subset_check: 0,
    }
}

/// Decodes loads; `implied_tags` identify the endpoints when the message has no tags. Returns
/// `None` when the number of tags or the length of a column differs from the message's count.
pub fn decode(loads: &message::Loads, implied_tags: &[u32]) -> Option<Loads> {
    let tags = if loads.tags.is_empty() {
        implied_tags
    } else {
        &loads.tags
    };
    let count = loads.count as usize;
    let columns = [&loads.open, &loads.busy, &loads.unanswered, &loads.alive];
    let has_valid_len = |column: &&Vec<u32>| column.is_empty() || column.len() == count;
    if tags.len() != count || !columns.iter().all(has_valid_len) {
        return None;
    }
    let value_at = |column: &[u32], index: usize| column.get(index).copied().unwrap_or_default();
    let decoded = tags.iter().enumerate().map(|(index, tag)| {
        let load = ReportedLoad {
            open: value_at(&loads.open, index),
            busy: value_at(&loads.busy, index),
            unanswered: value_at(&loads.unanswered, index),
            is_alive: value_at(&loads.alive, index) != 0,
        };
        (*tag, load)
    });
    Some(decoded.collect())
}

/// Returns one value of all loads; empty when it is 0 in each of them.
fn column(loads: &[ReportedLoad], value: impl Fn(&ReportedLoad) -> u32) -> Vec<u32> {
    if loads.iter().all(|load| value(load) == 0) {
        return Vec::new();
    }
    loads.iter().map(value).collect()
}

//! Loads as messages: columns by endpoint, with tags or in an order that both sides know.

use crate::load::{Loads, ReportedLoad};
use crate::message;

/// Returns loads with their tags.
pub fn tagged(loads: &Loads) -> message::Loads {
    let reports: Vec<ReportedLoad> = loads.values().copied().collect();
    message::Loads {
        tags: loads.keys().copied().collect(),
        ..untagged(&reports)
    }
}

/// Returns loads in an order that the receiver knows.
pub fn untagged(reports: &[ReportedLoad]) -> message::Loads {
    message::Loads {
        count: reports.len() as u32,
        tags: Vec::new(),
        open: column(reports, |report| report.open),
        busy: column(reports, |report| report.busy),
        unanswered: column(reports, |report| report.unanswered),
        alive: column(reports, |report| report.is_alive.into()),
        subset_check: 0,
    }
}

/// Reads loads; `known` are the tags when the message has none. Returns `None` when the
/// message does not fit them.
pub fn read(loads: &message::Loads, known: &[u32]) -> Option<Loads> {
    let tags = if loads.tags.is_empty() {
        known
    } else {
        &loads.tags
    };
    let count = loads.count as usize;
    let columns = [&loads.open, &loads.busy, &loads.unanswered, &loads.alive];
    let fits = |column: &&Vec<u32>| column.is_empty() || column.len() == count;
    if tags.len() != count || !columns.iter().all(fits) {
        return None;
    }
    let at = |column: &[u32], index: usize| column.get(index).copied().unwrap_or_default();
    let reports = tags.iter().enumerate().map(|(index, tag)| {
        let report = ReportedLoad {
            open: at(&loads.open, index),
            busy: at(&loads.busy, index),
            unanswered: at(&loads.unanswered, index),
            is_alive: at(&loads.alive, index) != 0,
        };
        (*tag, report)
    });
    Some(reports.collect())
}

fn column(reports: &[ReportedLoad], value: impl Fn(&ReportedLoad) -> u32) -> Vec<u32> {
    if reports.iter().all(|report| value(report) == 0) {
        return Vec::new();
    }
    reports.iter().map(value).collect()
}

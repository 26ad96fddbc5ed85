//! Stand-in for the platform's store, with its faults.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::get;
use ragwortbeam_platform_standin::{self as wire, RangeQuery, WatchQuery};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::promises::{Promises, Routes};

/// Items on a page of a range.
const PAGE: usize = 5;

/// Longest time that a call hangs.
const HANG: Duration = Duration::from_secs(60);

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    #[default]
    Well,
    /// Not at all.
    Silent,
    /// With a refusal.
    Busy,
    /// Late.
    Slow,
    /// With a body that breaks off.
    Torn,
}

#[derive(Debug, Default)]
struct Contents {
    mode: Mode,
    revision: u64,
    forgotten: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Changes in order; a removal has no value.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    /// Its address.
    pub address: SocketAddrV4,
    contents: Mutex<Contents>,
    changed: Notify,
    promises: Arc<Promises>,
}

impl Store {
    /// Starts the store.
    pub async fn start(ip: Ipv4Addr, promises: Arc<Promises>) -> std::io::Result<Arc<Self>> {
        let address = SocketAddrV4::new(ip, super::port::STORE);
        let listener = TcpListener::bind(address).await?;
        let store = Arc::new(Self {
            address,
            contents: Mutex::default(),
            changed: Notify::new(),
            promises,
        });
        let router = Router::new()
            .route("/kv-range", get(range))
            .route("/kv-watch", get(watch))
            .with_state(store.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(store)
    }

    /// Changes how it answers.
    pub fn set_mode(&self, mode: Mode) {
        self.promises.note_fault();
        self.contents.lock().unwrap().mode = mode;
        self.changed.notify_waiters();
    }

    /// Returns whether it answers as it should.
    pub fn is_well(&self) -> bool {
        self.contents.lock().unwrap().mode == Mode::Well
    }

    /// Drops its history.
    pub fn forget(&self) {
        self.promises.note_fault();
        let mut contents = self.contents.lock().unwrap();
        contents.history.clear();
        contents.forgotten = contents.revision;
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        self.change(key, Some(value.into()));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Writes a configuration.
    pub fn configure(&self, version: u64, routes: &Routes) {
        let listed = routes.iter().map(|(address, service)| {
            let is_even = address.port().is_multiple_of(2);
            (
                *address,
                if is_even { "safe" } else { "unsafe" },
                &**service,
            )
        });
        let value = wire::configuration_value(version, listed);
        self.put("op/config", value);
        self.promises.note_configuration(routes.clone());
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        match &value {
            Some(value) => contents
                .items
                .insert(key.to_owned(), (revision, value.clone())),
            None => contents.items.remove(key),
        };
        contents.history.push((revision, key.to_owned(), value));
        drop(contents);
        self.changed.notify_waiters();
    }

    /// Waits as the mode says; returns the refusal of a mode that has one.
    async fn meet(&self) -> Option<(StatusCode, String)> {
        let mode = self.contents.lock().unwrap().mode;
        match mode {
            Mode::Well => None,
            Mode::Silent => {
                sleep(HANG).await;
                None
            }
            Mode::Busy => Some((StatusCode::SERVICE_UNAVAILABLE, "{}".to_owned())),
            Mode::Slow => {
                sleep(Duration::from_millis(300)).await;
                None
            }
            Mode::Torn => Some((StatusCode::OK, "{\"items\":[".to_owned())),
        }
    }
}

async fn range(
    State(store): State<Arc<Store>>,
    Query(query): Query<RangeQuery>,
) -> (StatusCode, String) {
    if let Some(refusal) = store.meet().await {
        return refusal;
    }
    let contents = store.contents.lock().unwrap();
    let mut rest = contents.items.iter().filter(|(key, _)| **key > query.after);
    let page = rest.by_ref().take(PAGE);
    let items = page.map(|(key, (revision, value))| wire::item_json(key, *revision, value));
    let items: Vec<Value> = items.collect();
    let body = wire::page_body(&items, rest.next().is_some(), contents.revision);
    (StatusCode::OK, body)
}

async fn watch(
    State(store): State<Arc<Store>>,
    Query(query): Query<WatchQuery>,
) -> (StatusCode, String) {
    let changed = store.changed.notified();
    if store.contents.lock().unwrap().revision <= query.after {
        // The time running out is an answer without events.
        let _ = timeout(Duration::from_millis(query.wait_ms), changed).await;
    }
    if let Some(refusal) = store.meet().await {
        return refusal;
    }
    let contents = store.contents.lock().unwrap();
    if query.after < contents.forgotten {
        return (StatusCode::GONE, "{}".to_owned());
    }
    let events = contents
        .history
        .iter()
        .filter(|(revision, ..)| *revision > query.after);
    let events = events.map(|(revision, key, value)| match value {
        Some(value) => wire::item_json(key, *revision, value),
        None => wire::removal_event(key, *revision),
    });
    let events: Vec<Value> = events.collect();
    (
        StatusCode::OK,
        wire::events_body(&events, contents.revision),
    )
}

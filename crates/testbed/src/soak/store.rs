//! Stand-in for the platform's store, with its faults.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::get;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
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

type Parameters = Query<HashMap<String, String>>;

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
            let kind = if address.port().is_multiple_of(2) {
                "safe"
            } else {
                "unsafe"
            };
            json!({"name": address.to_string(), "host": address.ip().to_string(),
                "prefix": format!("/{}/", address.port()), "type": kind, "service": service})
        });
        let value = json!({"version": version, "routes": listed.collect::<Vec<Value>>(),
            "limits": {"idleTimeoutMs": 15000}});
        self.put("op/config", value.to_string());
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
    Query(parameters): Parameters,
) -> (StatusCode, String) {
    if let Some(refusal) = store.meet().await {
        return refusal;
    }
    let after = parameters.get("after").cloned().unwrap_or_default();
    let contents = store.contents.lock().unwrap();
    let mut rest = contents.items.iter().filter(|(key, _)| **key > after);
    let page = rest.by_ref().take(PAGE);
    let items = page.map(|(key, (revision, value))| event(key, *revision, Some(value)));
    let items: Vec<Value> = items.collect();
    let body = json!({"items": items, "truncated": rest.next().is_some(),
        "storeRevision": contents.revision});
    (StatusCode::OK, body.to_string())
}

async fn watch(
    State(store): State<Arc<Store>>,
    Query(parameters): Parameters,
) -> (StatusCode, String) {
    let number = |name| {
        parameters
            .get(name)
            .and_then(|text: &String| text.parse::<u64>().ok())
    };
    let (after, wait_ms) = (number("after").unwrap_or(0), number("waitMs").unwrap_or(0));
    let changed = store.changed.notified();
    let is_behind = || store.contents.lock().unwrap().revision > after;
    if !is_behind() {
        // The time running out is an answer without events.
        let _ = timeout(Duration::from_millis(wait_ms), changed).await;
    }
    if let Some(refusal) = store.meet().await {
        return refusal;
    }
    let contents = store.contents.lock().unwrap();
    if after < contents.forgotten {
        return (StatusCode::GONE, "{}".to_owned());
    }
    let events = contents
        .history
        .iter()
        .filter(|(revision, ..)| *revision > after);
    let events = events.map(|(revision, key, value)| event(key, *revision, value.as_deref()));
    let body = json!({"events": events.collect::<Vec<Value>>(),
        "storeRevision": contents.revision});
    (StatusCode::OK, body.to_string())
}

fn event(key: &str, revision: u64, value: Option<&[u8]>) -> Value {
    match value {
        Some(value) => json!({"key": key, "revision": revision, "createRevision": 1,
            "lease": 0, "value": STANDARD.encode(value)}),
        None => json!({"key": key, "revision": revision, "tombstone": true}),
    }
}

//! Stand-in for the platform's store, with injected faults.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::get;
use ragwortbeam_platform_standin::{
    self as wire, CONFIGURATION_KEY, Contents, ENDPOINT_PREFIX, ERA_HEADER, OPERATOR_PREFIX,
    RangeQuery, WatchQuery,
};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::endpoint;
use super::guarantees::{GuaranteeChecker, Routes};

/// Largest number of items on a page of a range query.
const PAGE_SIZE: usize = 5;

/// Time for which a call hangs when the store is unresponsive.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(60);

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// Responds correctly and at once.
    #[default]
    Normal,
    /// Lets calls hang.
    Unresponsive,
    /// Rejects calls with status 503.
    Unavailable,
    /// Responds correctly after 300 ms.
    Slow,
    /// Responds with an incomplete body.
    Truncated,
}

/// Versioned key-value store that serves range and watch queries over HTTP.
#[derive(Debug)]
pub struct Store {
    /// Loopback address that the store listens on.
    pub address: SocketAddrV4,
    mode: Mutex<ResponseMode>,
    contents: Mutex<Contents>,
    changed: Notify,
    checker: Arc<GuaranteeChecker>,
}

impl Store {
    /// Starts the store.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the store's address cannot be bound.
    pub async fn start(ip: Ipv4Addr, checker: Arc<GuaranteeChecker>) -> std::io::Result<Arc<Self>> {
        let address = SocketAddrV4::new(ip, super::port::STORE);
        let listener = TcpListener::bind(address).await?;
        let store = Arc::new(Self {
            address,
            mode: Mutex::default(),
            contents: Mutex::default(),
            changed: Notify::new(),
            checker,
        });
        let router = Router::new()
            .route("/kv-range", get(range))
            .route("/kv-watch", get(watch))
            .with_state(store.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(store)
    }

    /// Sets how the store responds to calls, including watches that are pending.
    pub fn set_mode(&self, mode: ResponseMode) {
        self.checker.record_fault();
        *self.mode.lock().unwrap() = mode;
        self.changed.notify_waiters();
    }

    /// Returns whether the store responds without a fault.
    pub fn responds_normally(&self) -> bool {
        *self.mode.lock().unwrap() == ResponseMode::Normal
    }

    /// Drops the history, so that watches from an earlier revision fail with status 410.
    pub fn compact_history(&self) {
        self.checker.record_fault();
        self.contents.lock().unwrap().compact_history();
    }

    /// Returns a copy from which the store can be restored.
    pub fn copy(&self) -> Contents {
        self.contents.lock().unwrap().clone()
    }

    /// Replaces the contents by those of a copy. What the operator has written since is written again.
    pub fn restore(&self, copy: Contents) {
        self.checker.record_fault();
        {
            let mut contents = self.contents.lock().unwrap();
            let lost = contents.clone();
            contents.restore(copy);
            let mut keys = contents.keys(OPERATOR_PREFIX);
            keys.extend(lost.keys(OPERATOR_PREFIX));
            keys.sort_unstable();
            keys.dedup();
            for key in keys {
                if contents.value(&key) != lost.value(&key) {
                    contents.change(&key, lost.value(&key).map(<[u8]>::to_vec));
                }
            }
        }
        self.changed.notify_waiters();
    }

    /// Returns the keys of all endpoint entries.
    pub fn entry_keys(&self) -> Vec<String> {
        let contents = self.contents.lock().unwrap();
        contents.keys(ENDPOINT_PREFIX)
    }

    /// Writes an item as a new revision; pending watches return.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        self.change(key, Some(value.into()));
    }

    /// Removes an item as a new revision, even if there is none with this key; pending watches
    /// return.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Writes a configuration, in which routes of even ports are idempotent, and records it for
    /// the checks of guarantees.
    pub fn write_configuration(&self, version: u64, routes: &Routes) {
        let listed = routes.iter().map(|(address, service)| {
            let is_even = address.port().is_multiple_of(2);
            (
                *address,
                if is_even { "safe" } else { "unsafe" },
                &**service,
            )
        });
        let warmups = [wire::Warmup {
            service: "ledger",
            duration_s: endpoint::WARMUP_TIME.as_secs_f64(),
            rate_per_s: endpoint::WARMUP_RATE_PER_S,
        }];
        let value = wire::configuration_value(version, listed, &warmups);
        self.put(CONFIGURATION_KEY, value);
        self.checker.record_configuration(routes.clone());
    }

    /// Orders the evacuation of a data centre or ends it.
    pub fn set_evacuated(&self, data_centre: &'static str, is_evacuated: bool) {
        let key = wire::evacuation_key(data_centre);
        if is_evacuated {
            self.put(&key, wire::EVACUATION_VALUE);
        } else {
            self.remove(&key);
        }
        self.checker.record_evacuation(data_centre, is_evacuated);
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        self.contents.lock().unwrap().change(key, value);
        self.changed.notify_waiters();
    }

    /// Waits as the mode requires. Returns the response to send instead of the regular one, or
    /// `None` if the mode does not replace it.
    async fn apply_mode(&self) -> Option<(StatusCode, String)> {
        let mode = *self.mode.lock().unwrap();
        match mode {
            ResponseMode::Normal => None,
            ResponseMode::Unresponsive => {
                sleep(UNRESPONSIVE_TIME).await;
                None
            }
            ResponseMode::Unavailable => Some((StatusCode::SERVICE_UNAVAILABLE, "{}".to_owned())),
            ResponseMode::Slow => {
                sleep(Duration::from_millis(300)).await;
                None
            }
            ResponseMode::Truncated => Some((StatusCode::OK, "{\"items\":[".to_owned())),
        }
    }
}

/// A response with the header that tells how often the store was restored.
type Response = (StatusCode, [(&'static str, String); 1], String);

fn respond(store: &Store, status: StatusCode, body: String) -> Response {
    let era = store.contents.lock().unwrap().era();
    (status, [(ERA_HEADER, era.to_string())], body)
}

async fn range(State(store): State<Arc<Store>>, Query(query): Query<RangeQuery>) -> Response {
    if let Some((status, body)) = store.apply_mode().await {
        return respond(&store, status, body);
    }
    let body = store.contents.lock().unwrap().page(&query.after, PAGE_SIZE);
    respond(&store, StatusCode::OK, body)
}

async fn watch(State(store): State<Arc<Store>>, Query(query): Query<WatchQuery>) -> Response {
    let changed = store.changed.notified();
    if store.contents.lock().unwrap().is_current(query.after) {
        // A watch that times out returns no events.
        let _ = timeout(Duration::from_millis(query.wait_ms), changed).await;
    }
    if let Some((status, body)) = store.apply_mode().await {
        return respond(&store, status, body);
    }
    let events = store.contents.lock().unwrap().events(query.after);
    match events {
        Some(body) => respond(&store, StatusCode::OK, body),
        None => respond(&store, StatusCode::GONE, "{}".to_owned()),
    }
}

//! Simulated configuration service of the platform.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use ragwortbeam::document::{Note, Notes, Snapshot, VmEntry, VmList};
use ragwortbeam::release;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// HTTP server for the published snapshot, notes and list of VMs.
#[derive(Debug)]
pub struct Platform {
    published: Mutex<Published>,
    latest_number: watch::Sender<u64>,
    is_down: AtomicBool,
    read_count: AtomicU64,
    /// Address that the HTTP server listens on.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Published {
    initial_snapshot: Snapshot,
    notes: Vec<Note>,
    vms: VmList,
}

#[derive(Deserialize)]
struct NotesQuery {
    /// Number of the release that the reader has; only later notes are returned.
    after: u64,
    /// Longest time that the reply waits for a later note; 0 replies at once.
    wait_ms: u64,
}

type JsonReply<T> = Result<Json<T>, StatusCode>;

impl Platform {
    /// Starts a platform on a free port of 127.0.0.1 with this snapshot, no notes and no VMs.
    pub async fn start(initial_snapshot: Snapshot) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let platform = Arc::new(Self {
            latest_number: watch::Sender::new(initial_snapshot.number),
            published: Mutex::new(Published {
                initial_snapshot,
                notes: Vec::new(),
                vms: VmList::default(),
            }),
            is_down: AtomicBool::new(false),
            read_count: AtomicU64::new(0),
            address: listener.local_addr()?,
        });
        let router = Router::new()
            .route("/v1/snapshot", get(snapshot))
            .route("/v1/notes", get(notes))
            .route("/v1/vms", get(vms))
            .with_state(platform.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(platform)
    }

    /// Publishes a note under the next release number, which replaces the note's own, and returns
    /// that number.
    pub fn publish(&self, note: Note) -> u64 {
        let mut published = self.published.lock().unwrap();
        let number = published.initial_snapshot.number + published.notes.len() as u64 + 1;
        published.notes.push(Note { number, ..note });
        self.latest_number.send_replace(number);
        number
    }

    /// Replaces the list of VMs and increments its version.
    pub fn publish_vms(&self, vms: Vec<VmEntry>) {
        let mut published = self.published.lock().unwrap();
        published.vms = VmList {
            version: published.vms.version + 1,
            vms,
        };
    }

    /// Sets whether all reads fail with 503.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Returns the number of reads so far, including failed ones.
    pub fn reads(&self) -> u64 {
        self.read_count.load(Ordering::Relaxed)
    }

    /// Counts a read; returns 503 as the error while the platform is down.
    fn begin_read(&self) -> Result<(), StatusCode> {
        self.read_count.fetch_add(1, Ordering::Relaxed);
        if self.is_down.load(Ordering::Relaxed) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }

    /// Returns the notes with higher numbers than `after`; `None` when `after` is older than the
    /// initial snapshot, so that notes before it are missing.
    fn notes_after(&self, after: u64) -> Option<Notes> {
        let published = self.published.lock().unwrap();
        if after < published.initial_snapshot.number {
            return None;
        }
        let notes = published.notes.iter().filter(|note| note.number > after);
        Some(Notes {
            notes: notes.cloned().collect(),
        })
    }
}

async fn snapshot(State(platform): State<Arc<Platform>>) -> JsonReply<Snapshot> {
    platform.begin_read()?;
    let published = platform.published.lock().unwrap();
    let mut state = release::State::from_snapshot(&published.initial_snapshot)
        .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    // A note that does not apply only increments the number, as it does at the nodes.
    for note in &published.notes {
        state = state.apply(note).unwrap_or_else(|_| state.skip());
    }
    Ok(Json(state.to_snapshot()))
}

async fn notes(
    State(platform): State<Arc<Platform>>,
    Query(query): Query<NotesQuery>,
) -> JsonReply<Notes> {
    platform.begin_read()?;
    let mut latest_number = platform.latest_number.subscribe();
    let wait = Duration::from_millis(query.wait_ms);
    // A long poll that times out returns an empty list.
    let _ =
        tokio::time::timeout(wait, latest_number.wait_for(|number| *number > query.after)).await;
    let notes = platform.notes_after(query.after);
    notes.map(Json).ok_or(StatusCode::GONE)
}

async fn vms(State(platform): State<Arc<Platform>>) -> JsonReply<VmList> {
    platform.begin_read()?;
    Ok(Json(platform.published.lock().unwrap().vms.clone()))
}

//! Stand-in for the platform's configuration service.

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

/// Published documents, readable over HTTP.
#[derive(Debug)]
pub struct Platform {
    published: Mutex<Published>,
    number: watch::Sender<u64>,
    is_down: AtomicBool,
    reads: AtomicU64,
    /// Where it listens.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Published {
    first: Snapshot,
    notes: Vec<Note>,
    vms: VmList,
}

#[derive(Deserialize)]
struct NotesQuery {
    after: u64,
    wait_ms: u64,
}

type Reply<T> = Result<Json<T>, StatusCode>;

impl Platform {
    /// Starts a platform with this snapshot.
    pub async fn start(first: Snapshot) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let platform = Arc::new(Self {
            number: watch::Sender::new(first.number),
            published: Mutex::new(Published {
                first,
                notes: Vec::new(),
                vms: VmList::default(),
            }),
            is_down: AtomicBool::new(false),
            reads: AtomicU64::new(0),
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

    /// Publishes a note; its number is set here. Returns the number.
    pub fn publish(&self, note: Note) -> u64 {
        let mut published = self.published.lock().unwrap();
        let number = published.first.number + published.notes.len() as u64 + 1;
        published.notes.push(Note { number, ..note });
        self.number.send_replace(number);
        number
    }

    /// Publishes a list of VMs.
    pub fn publish_vms(&self, vms: Vec<VmEntry>) {
        let mut published = self.published.lock().unwrap();
        published.vms = VmList {
            version: published.vms.version + 1,
            vms,
        };
    }

    /// Makes all reads fail, or work again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Returns the number of reads so far.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    fn read(&self) -> Result<(), StatusCode> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        if self.is_down.load(Ordering::Relaxed) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }

    fn notes_after(&self, after: u64) -> Option<Notes> {
        let published = self.published.lock().unwrap();
        if after < published.first.number {
            return None;
        }
        let notes = published.notes.iter().filter(|note| note.number > after);
        Some(Notes {
            notes: notes.cloned().collect(),
        })
    }
}

async fn snapshot(State(platform): State<Arc<Platform>>) -> Reply<Snapshot> {
    platform.read()?;
    let published = platform.published.lock().unwrap();
    let mut state = release::State::from_snapshot(&published.first)
        .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    for note in &published.notes {
        state = state.apply(note).unwrap_or_else(|_| state.skip());
    }
    Ok(Json(state.to_snapshot()))
}

async fn notes(
    State(platform): State<Arc<Platform>>,
    Query(query): Query<NotesQuery>,
) -> Reply<Notes> {
    platform.read()?;
    let mut number = platform.number.subscribe();
    let wait = Duration::from_millis(query.wait_ms);
    // A watch that ends without news answers with an empty list.
    let _ = tokio::time::timeout(wait, number.wait_for(|number| *number > query.after)).await;
    let notes = platform.notes_after(query.after);
    notes.map(Json).ok_or(StatusCode::GONE)
}

async fn vms(State(platform): State<Arc<Platform>>) -> Reply<VmList> {
    platform.read()?;
    Ok(Json(platform.published.lock().unwrap().vms.clone()))
}

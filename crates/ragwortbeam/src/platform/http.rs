//! The platform over HTTP and JSON.

use std::time::Duration;

use ragwortbeam_base::http::Client;
use serde::de::DeserializeOwned;

use super::{Platform, Reply};
use crate::document;
use crate::errors::{Error, Result};

/// Time allowed for a read beyond what it asks the platform to wait.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Status of an answer whose document is no longer kept.
const GONE: u16 = 410;

/// Platform reached at a base URL; each kind of document has a connection of its own, so
/// that a waiting read holds up no other.
#[derive(Debug)]
pub struct Http {
    path: String,
    snapshot: Client,
    notes: Client,
    vms: Client,
}

impl Http {
    /// Returns a client for the platform at `base`, an `http://` URL without a trailing
    /// slash.
    pub fn new(base: &str) -> Self {
        let rest = base.strip_prefix("http://").unwrap_or(base);
        let (server, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        Self {
            path: path.to_owned(),
            snapshot: Client::new(server),
            notes: Client::new(server),
            vms: Client::new(server),
        }
    }

    async fn get<T: DeserializeOwned>(
        &self,
        client: &Client,
        path: &str,
        wait: Duration,
    ) -> Result<Option<T>> {
        let path = format!("{}{path}", self.path);
        let answer = client
            .get(&path, wait + READ_TIMEOUT)
            .await
            .map_err(Error::platform)?;
        if answer.status == GONE {
            return Ok(None);
        }
        if !answer.status.is_success() {
            return Err(Error::platform(format!("{path}: status {}", answer.status)));
        }
        serde_json::from_slice(&answer.body)
            .map(Some)
            .map_err(Error::platform)
    }

    async fn get_present<T: DeserializeOwned>(&self, client: &Client, path: &str) -> Result<T> {
        let answer = self.get(client, path, Duration::ZERO).await?;
        answer.ok_or_else(|| Error::platform(format!("{path} is gone")))
    }
}

impl Platform for Http {
    fn snapshot(&self) -> Reply<'_, document::Snapshot> {
        Box::pin(self.get_present(&self.snapshot, "/v1/snapshot"))
    }

    fn notes(&self, after: u64, wait: Duration) -> Reply<'_, Option<document::Notes>> {
        let path = format!("/v1/notes?after={after}&wait_ms={}", wait.as_millis());
        Box::pin(async move { self.get(&self.notes, &path, wait).await })
    }

    fn vms(&self) -> Reply<'_, document::VmList> {
        Box::pin(self.get_present(&self.vms, "/v1/vms"))
    }
}

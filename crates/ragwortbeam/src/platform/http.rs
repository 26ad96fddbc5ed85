//! Client of the platform's HTTP interface with JSON documents.

use std::time::Duration;

use ragwortbeam_base::http::Client;
use serde::de::DeserializeOwned;

use super::{Platform, Reply};
use crate::document;
use crate::errors::{Error, Result};

/// Time allowed for a read of a whole document.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time allowed for the response with notes, in addition to the time that the platform is asked to
/// wait for them.
const NOTES_TIMEOUT: Duration = Duration::from_millis(600);

/// HTTP status 410 (Gone): the platform no longer keeps the requested notes or document.
const STATUS_GONE: u16 = 410;

/// Platform at a base URL. Each kind of document has its own connection, so that a read that
/// waits does not delay the others.
#[derive(Debug)]
pub struct Http {
    base_path: String,
    snapshot: Client,
    notes: Client,
    vms: Client,
}

impl Http {
    /// Returns a client for the platform at `base_url`, an `http://` URL without a trailing slash.
    pub fn new(base_url: &str) -> Self {
        let rest = base_url.strip_prefix("http://").unwrap_or(base_url);
        let (server, base_path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        Self {
            base_path: base_path.to_owned(),
            snapshot: Client::new(server),
            notes: Client::new(server),
            vms: Client::new(server),
        }
    }

    async fn get<T: DeserializeOwned>(
        &self,
        client: &Client,
        path: &str,
        time_limit: Duration,
    ) -> Result<Option<T>> {
        let path = format!("{}{path}", self.base_path);
        let answer = client
            .get(&path, time_limit)
            .await
            .map_err(Error::platform)?;
        if answer.status == STATUS_GONE {
            return Ok(None);
        }
        if !answer.status.is_success() {
            return Err(Error::platform(format!("{path}: status {}", answer.status)));
        }
        serde_json::from_slice(&answer.body)
            .map(Some)
            .map_err(Error::platform)
    }

    async fn get_existing<T: DeserializeOwned>(&self, client: &Client, path: &str) -> Result<T> {
        let answer = self.get(client, path, READ_TIMEOUT).await?;
        answer
            .ok_or_else(|| Error::platform(format!("{path}: the document is no longer available")))
    }
}

impl Platform for Http {
    fn snapshot(&self) -> Reply<'_, document::Snapshot> {
        Box::pin(self.get_existing(&self.snapshot, "/v1/snapshot"))
    }

    fn notes(&self, after: u64, wait: Duration) -> Reply<'_, Option<document::Notes>> {
        let path = format!("/v1/notes?after={after}&wait_ms={}", wait.as_millis());
        let time_limit = wait + NOTES_TIMEOUT;
        Box::pin(async move { self.get(&self.notes, &path, time_limit).await })
    }

    fn vms(&self) -> Reply<'_, document::VmList> {
        Box::pin(self.get_existing(&self.vms, "/v1/vms"))
    }
}

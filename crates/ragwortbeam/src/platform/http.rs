//! The platform over HTTP and JSON.

use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::de::DeserializeOwned;

use super::{Platform, Reply};
use crate::document;
use crate::errors::{Error, Result};

/// Time allowed for a read beyond what it asks the platform to wait.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Platform reached at a base URL.
#[derive(Debug)]
pub struct Http {
    base: String,
    client: Client,
}

impl Http {
    /// Returns a client for the platform at `base`, without a trailing slash.
    pub fn new(base: &str) -> Self {
        Self {
            base: base.to_owned(),
            client: Client::new(),
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<Option<T>> {
        let response = self
            .client
            .get(format!("{}{path}", self.base))
            .timeout(wait + READ_TIMEOUT)
            .send()
            .await
            .map_err(Error::platform)?;
        if response.status() == StatusCode::GONE {
            return Ok(None);
        }
        let response = response.error_for_status().map_err(Error::platform)?;
        response.json().await.map(Some).map_err(Error::platform)
    }

    async fn get_present<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let answer = self.get(path, Duration::ZERO).await?;
        answer.ok_or_else(|| Error::platform(format!("{path} is gone")))
    }
}

impl Platform for Http {
    fn snapshot(&self) -> Reply<'_, document::Snapshot> {
        Box::pin(self.get_present("/v1/snapshot"))
    }

    fn notes(&self, after: u64, wait: Duration) -> Reply<'_, Option<document::Notes>> {
        let path = format!("/v1/notes?after={after}&wait_ms={}", wait.as_millis());
        Box::pin(async move { self.get(&path, wait).await })
    }

    fn vms(&self) -> Reply<'_, document::VmList> {
        Box::pin(self.get_present("/v1/vms"))
    }
}

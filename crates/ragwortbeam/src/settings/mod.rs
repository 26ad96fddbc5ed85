//! Settings of one VM: reading and validating the JSON file.

mod check;

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::errors::{Error, Result};
use crate::generated::ragwortbeam::settings::v1 as document;

pub use ragwortbeam_base::document::{ValidationError, decode};

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM in the platform's VM list.
    pub vm: String,
    /// Name of the data centre that this VM is in.
    pub data_centre: String,
    /// IP that the service listeners bind. `None` binds the address of each service.
    pub entry_ip: Option<IpAddr>,
    /// Address for other VMs: frames over UDP and gRPC calls over TCP.
    pub peer_address: SocketAddr,
    /// Address of the operators' HTTP interface.
    pub admin_address: SocketAddr,
    /// Path of the file with the key that all VMs share, at least 32 bytes.
    pub key_file: PathBuf,
    /// Base URL of the platform's configuration service, without a trailing slash.
    pub platform_url: String,
    /// Limits, with defaults where the file has none.
    pub limits: Limits,
    /// Peer addresses of VMs that provide the first configuration if the platform does not answer.
    pub seeds: Vec<SocketAddr>,
}

/// Validated limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of flow records, owned and replicas together, 1 to 10000000.
    /// Default 300000.
    pub max_flows: usize,
    /// Maximum number of queued requests per service, 1 to 100000. Default 128.
    pub queue_per_service: usize,
    /// Maximum duration of a request, 100 ms to 40 s. Default 15 s.
    ///
    /// The maximum is below RFC 7252's MAX_TRANSMIT_SPAN of 45 s, so that a caller still
    /// retransmits while the request is in progress.
    pub request_deadline: Duration,
    /// Maximum duration of a graceful stop, at least `request_deadline` and at most 600 s.
    /// Default 20 s.
    pub stop_timeout: Duration,
    /// Idle time after which a flow record is deleted, 1 s to 24 h. Default 900 s.
    pub flow_idle: Duration,
    /// Maximum number of retries per hundred requests, 0 to 100. Default 10.
    pub retry_percent: u32,
    /// Name of the policy that selects endpoints: `least_of_two` (default), `round_robin` or
    /// `random`.
    pub endpoint_choice: String,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_flows: 300_000,
            queue_per_service: 128,
            request_deadline: Duration::from_secs(15),
            stop_timeout: Duration::from_secs(20),
            flow_idle: Duration::from_secs(900),
            retry_percent: 10,
            endpoint_choice: "least_of_two".to_owned(),
        }
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// [`Error::Io`] if the file cannot be read, [`Error::Settings`] if it is invalid.
pub fn load(path: &Path) -> Result<Settings> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::io(&file, source))?;
    parse(&file, &text).map_err(Error::Settings)
}

/// Parses and validates the text of a settings file; `file` is its name in errors.
///
/// # Errors
///
/// The first error found.
pub fn parse(file: &str, text: &str) -> std::result::Result<Settings, ValidationError> {
    let document = decode::<document::Settings>(file, text)?;
    check::settings(file, document)
}

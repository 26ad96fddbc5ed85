//! Settings of one VM: reading and checking the JSON file.

mod check;

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::errors::{Error, Result};
use crate::generated::ragwortbeam::settings::v1 as document;

pub use ragwortbeam_base::document::{Fault, decode};

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM.
    pub vm: String,
    /// Data centre this VM stands in.
    pub data_centre: String,
    /// IP that service listeners bind in place of the service's own.
    pub entry_ip: Option<IpAddr>,
    /// Address for other VMs, UDP and TCP.
    pub peer_address: SocketAddr,
    /// Address of the operators' HTTP interface.
    pub admin_address: SocketAddr,
    /// Path of the key file.
    pub key_file: PathBuf,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Limits.
    pub limits: Limits,
    /// Peer addresses of VMs to ask when the platform does not answer at the start.
    pub seeds: Vec<SocketAddr>,
}

/// Checked limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Flow records held. Default 300000.
    pub max_flows: usize,
    /// Requests queued per service. Default 128.
    pub queue_per_service: usize,
    /// Longest time a request may take. Default 15 s.
    ///
    /// Below RFC 7252's MAX_TRANSMIT_SPAN of 45 s, so that a caller still retransmits
    /// while the request is in progress.
    pub request_deadline: Duration,
    /// Longest graceful stop. Default 20 s.
    pub stop_timeout: Duration,
    /// Idle time after which a flow record is dropped. Default 900 s.
    pub flow_idle: Duration,
    /// Retries allowed per hundred requests. Default 10.
    pub retry_percent: u32,
    /// Name of the policy that chooses endpoints. Default `least_of_two`.
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

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`Error::Io`] when the file cannot be read, [`Error::Settings`] when it is wrong.
pub fn load(path: &Path) -> Result<Settings> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::io(&file, source))?;
    parse(&file, &text).map_err(Error::Settings)
}

/// Reads and checks the text of a settings file; `file` names it in faults.
///
/// # Errors
///
/// The first fault found.
pub fn parse(file: &str, text: &str) -> std::result::Result<Settings, Fault> {
    let document = decode::<document::Settings>(file, text)?;
    check::settings(file, document)
}

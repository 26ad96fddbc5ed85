//! Settings of a steering VM: reading and checking the JSON file.

use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

pub use ragwortbeam_base::document::ValidationError;
use ragwortbeam_base::document::decode;

use crate::errors::{Error, Result};
use crate::generated::ragwortbeam::steering::settings::v1 as document;

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this VM.
    pub vm: String,
    /// Data centre this VM stands in.
    pub data_centre: String,
    /// Address for callers' packets; resets to callers go to the same port.
    pub packet_address: SocketAddrV4,
    /// Address of the readiness check.
    pub ready_address: SocketAddrV4,
    /// Address for other VMs; its port is the same on all VMs.
    pub peer_address: SocketAddrV4,
    /// IP that other VMs reach this one at; it names this VM among them.
    pub advertised_ip: Ipv4Addr,
    /// Address of metrics and status.
    pub metrics_address: SocketAddrV4,
    /// Address of the platform's store.
    pub platform_address: SocketAddrV4,
    /// VMs to contact first.
    pub seeds: Vec<Ipv4Addr>,
    /// True when the whole system starts for the first time.
    pub is_first_start: bool,
    /// Longest graceful stop.
    pub stop_timeout: Duration,
    /// Age after which a flow may be dropped.
    pub flow_lifetime: Duration,
    /// Relative size of the VM: its link in Mbit/s by its share of a core in percent.
    pub weight: u32,
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
pub fn parse(file: &str, text: &str) -> Result<Settings, ValidationError> {
    let document: document::Settings = decode(file, text)?;
    Check { file }.settings(document)
}

struct Check<'a> {
    file: &'a str,
}

impl Check<'_> {
    fn settings(&self, document: document::Settings) -> Result<Settings, ValidationError> {
        let mut seeds = Vec::new();
        for (index, seed) in document.seeds.iter().enumerate() {
            seeds.push(*self.address(&format!("seeds[{index}]"), seed)?.ip());
        }
        let peer_address = self.address("peer_address", &document.peer_address)?;
        let advertised_ip = match &document.advertised_ip {
            Some(ip) => self.ip("advertised_ip", ip)?,
            None => *peer_address.ip(),
        };
        let link = self.above_zero("link_mbps", document.link_mbps)?;
        let cpu = self.above_zero("cpu_share", document.cpu_share)?;
        Ok(Settings {
            vm: self.name("vm", document.vm)?,
            data_centre: self.name("data_centre", document.data_centre)?,
            packet_address: self.address("packet_address", &document.packet_address)?,
            ready_address: self.address("ready_address", &document.ready_address)?,
            peer_address,
            advertised_ip,
            metrics_address: self.address("metrics_address", &document.metrics_address)?,
            platform_address: self.address("platform_address", &document.platform_address)?,
            seeds,
            is_first_start: document.is_first_start,
            stop_timeout: self.seconds("stop_timeout_s", document.stop_timeout_s)?,
            flow_lifetime: self.seconds("flow_lifetime_s", document.flow_lifetime_s)?,
            weight: (link * cpu * 100.0).clamp(1.0, f64::from(u32::MAX)) as u32,
        })
    }

    fn fault(&self, field: &str, expected: &str, found: impl Display) -> ValidationError {
        ValidationError::new(self.file, field, expected, found)
    }

    fn name(&self, field: &str, text: String) -> Result<String, ValidationError> {
        if text.trim().is_empty() {
            return Err(self.fault(field, "a name", ""));
        }
        Ok(text)
    }

    fn address(&self, field: &str, text: &str) -> Result<SocketAddrV4, ValidationError> {
        let address: SocketAddrV4 = text
            .parse()
            .map_err(|_| self.fault(field, "IPv4:port", text))?;
        if address.port() == 0 {
            return Err(self.fault(field, "a port in 1..=65535", 0));
        }
        Ok(address)
    }

    fn ip(&self, field: &str, text: &str) -> Result<Ipv4Addr, ValidationError> {
        text.parse().map_err(|_| self.fault(field, "IPv4", text))
    }

    fn above_zero(&self, field: &str, value: f64) -> Result<f64, ValidationError> {
        if value.is_finite() && value > 0.0 {
            return Ok(value);
        }
        Err(self.fault(field, "a number above 0", value))
    }

    fn seconds(&self, field: &str, value: f64) -> Result<Duration, ValidationError> {
        let value = self.above_zero(field, value)?;
        Duration::try_from_secs_f64(value).map_err(|error| self.fault(field, "a time", error))
    }
}

//! Settings of a steering VM: loading and validation of the JSON file.

use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

pub use ragwortbeam_base::document::ValidationError;
use ragwortbeam_base::document::decode;

use crate::errors::{Error, Result};
use crate::generated::ragwortbeam::steering::settings::v1 as document;
use crate::placement::WarmupLimit;

/// Default of `allocation_min_vms`: with fewer VMs, each sees so many of the flows that its own
/// counts and its reports are fresh enough.
const DEFAULT_ALLOCATION_MIN_VMS: u32 = 12;

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this VM, used in the log only.
    pub vm: String,
    /// Data centre in which this VM runs.
    pub data_centre: String,
    /// UDP address for packets from callers; resets go to the same port number at the
    /// caller's IP.
    pub packet_address: SocketAddrV4,
    /// TCP address of the HTTP readiness check.
    pub ready_address: SocketAddrV4,
    /// UDP and TCP address for other VMs; the port is the same on all VMs.
    pub peer_address: SocketAddrV4,
    /// IP at which other VMs reach this one and by which they identify it; that of `peer_address`
    /// by default.
    pub advertised_ip: Ipv4Addr,
    /// TCP address of the metrics and status over HTTP.
    pub metrics_address: SocketAddrV4,
    /// TCP address of the platform's store.
    pub platform_address: SocketAddrV4,
    /// VMs to contact while no other VM is known to be alive; a reload applies changes of them.
    pub seeds: Vec<Ipv4Addr>,
    /// True when the whole system starts for the first time, so that no other VM has a catalog.
    pub is_first_start: bool,
    /// Maximum duration of a graceful stop; a reload applies a change of it.
    pub stop_timeout: Duration,
    /// Maximum lifetime of a flow; endpoints that have been gone for longer are dropped from the
    /// catalog.
    pub flow_lifetime: Duration,
    /// Number of live VMs of a data centre from which they place flows through allocators; 0
    /// switches allocators off but for services with a warm-up limit.
    pub allocation_min_vms: u32,
    /// Limit for endpoints that warm up, beside the rates in the configuration.
    pub warmup_limit: WarmupLimit,
    /// Relative capacity of the VM, at least 1: bandwidth of its link in Mbit/s times its share of
    /// a core in percent. VMs with a higher weight are preferred as hubs and readers.
    pub weight: u32,
}

/// Loads and validates a settings file.
///
/// # Errors
///
/// [`Error::Io`] when the file cannot be read, [`Error::Settings`] when it is invalid.
pub fn load(path: &Path) -> Result<Settings> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::io(&file, source))?;
    parse(&file, &text).map_err(Error::Settings)
}

/// Parses and validates the text of a settings file; `file` is its name in errors.
///
/// # Errors
///
/// The first invalid field.
pub fn parse(file: &str, text: &str) -> Result<Settings, ValidationError> {
    let document: document::Settings = decode(file, text)?;
    Validator { file }.validate(document)
}

/// Validates the fields of a document; `file` is its name in errors.
struct Validator<'a> {
    file: &'a str,
}

impl Validator<'_> {
    fn validate(&self, document: document::Settings) -> Result<Settings, ValidationError> {
        let mut seeds = Vec::new();
        for (index, seed) in document.seeds.iter().enumerate() {
            seeds.push(*self.address(&format!("seeds[{index}]"), seed)?.ip());
        }
        let peer_address = self.address("peer_address", &document.peer_address)?;
        let advertised_ip = match &document.advertised_ip {
            Some(ip) => self.ip("advertised_ip", ip)?,
            None => *peer_address.ip(),
        };
        let link_mbps = self.positive_number("link_mbps", document.link_mbps)?;
        let cpu_share = self.positive_number("cpu_share", document.cpu_share)?;
        let warmup_limit = self.warmup_limit(&document)?;
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
            allocation_min_vms: document
                .allocation_min_vms
                .unwrap_or(DEFAULT_ALLOCATION_MIN_VMS),
            warmup_limit,
            weight: (link_mbps * cpu_share * 100.0).clamp(1.0, f64::from(u32::MAX)) as u32,
        })
    }

    fn warmup_limit(&self, document: &document::Settings) -> Result<WarmupLimit, ValidationError> {
        let default = WarmupLimit::default();
        let overrun = document.warmup_overrun.unwrap_or(default.overrun);
        let slack = document.warmup_slack.unwrap_or(default.slack);
        if !(overrun.is_finite() && overrun >= 1.0) {
            return Err(self.invalid("warmup_overrun", "a number of 1 or more", overrun));
        }
        if !(slack.is_finite() && slack >= 0.0) {
            return Err(self.invalid("warmup_slack", "a number of 0 or more", slack));
        }
        Ok(WarmupLimit { overrun, slack })
    }

    fn invalid(&self, field: &str, expected: &str, found: impl Display) -> ValidationError {
        ValidationError::new(self.file, field, expected, found)
    }

    fn name(&self, field: &str, text: String) -> Result<String, ValidationError> {
        if text.trim().is_empty() {
            return Err(self.invalid(field, "a name", ""));
        }
        Ok(text)
    }

    fn address(&self, field: &str, text: &str) -> Result<SocketAddrV4, ValidationError> {
        let address: SocketAddrV4 = text
            .parse()
            .map_err(|_| self.invalid(field, "IPv4:port", text))?;
        if address.port() == 0 {
            return Err(self.invalid(field, "a port in 1..=65535", 0));
        }
        Ok(address)
    }

    fn ip(&self, field: &str, text: &str) -> Result<Ipv4Addr, ValidationError> {
        text.parse().map_err(|_| self.invalid(field, "IPv4", text))
    }

    fn positive_number(&self, field: &str, value: f64) -> Result<f64, ValidationError> {
        if value.is_finite() && value > 0.0 {
            return Ok(value);
        }
        Err(self.invalid(field, "a number above 0", value))
    }

    fn seconds(&self, field: &str, value: f64) -> Result<Duration, ValidationError> {
        let value = self.positive_number(field, value)?;
        Duration::try_from_secs_f64(value).map_err(|error| self.invalid(field, "a time", error))
    }
}

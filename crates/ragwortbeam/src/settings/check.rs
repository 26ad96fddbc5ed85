//! Validation of a settings document, field by field.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::dispatch::choice;

use super::{Limits, Settings, ValidationError, document};

/// Maximum of `limits.request_deadline_ms`, below RFC 7252's MAX_TRANSMIT_SPAN of 45 s, so that a
/// caller still retransmits while the request is in progress.
const MAX_REQUEST_DEADLINE_MS: u32 = 40_000;
const MAX_STOP_TIMEOUT_MS: u32 = 600_000;
const MAX_FLOW_IDLE_MS: u32 = 86_400_000;

/// Validates a settings document and fills in defaults.
pub fn settings(file: &str, document: document::Settings) -> Result<Settings, ValidationError> {
    let validator = Validator { file };
    let entry_ip = match &document.entry_ip {
        None => None,
        Some(text) => Some(validator.ip("entry_ip", text)?),
    };
    let peer_address = validator.address("peer_address", &document.peer_address)?;
    let admin_address = validator.address("admin_address", &document.admin_address)?;
    if peer_address == admin_address {
        let expected = "an address other than peer_address";
        return Err(validator.error("admin_address", expected, admin_address));
    }
    if !document.platform_url.starts_with("http://") {
        return Err(validator.error("platform_url", "an http:// URL", &document.platform_url));
    }
    let mut seeds = Vec::new();
    for (index, text) in document
        .seeds
        .iter()
        .flat_map(|seeds| &seeds.addresses)
        .enumerate()
    {
        seeds.push(validator.address(&format!("seeds.addresses[{index}]"), text)?);
    }
    Ok(Settings {
        seeds,
        vm: validator.name("vm", document.vm)?,
        data_centre: validator.name("data_centre", document.data_centre)?,
        entry_ip,
        peer_address,
        admin_address,
        key_file: validator.name("key_file", document.key_file)?.into(),
        platform_url: document.platform_url.trim_end_matches('/').to_owned(),
        limits: limits(&validator, &document.limits.unwrap_or_default())?,
    })
}

fn limits(
    validator: &Validator<'_>,
    document: &document::Limits,
) -> Result<Limits, ValidationError> {
    let default = Limits::default();
    let deadline = validator.ms(
        "limits.request_deadline_ms",
        document.request_deadline_ms,
        default.request_deadline,
        100..=MAX_REQUEST_DEADLINE_MS,
    )?;
    let stop_timeout = validator.ms(
        "limits.stop_timeout_ms",
        document.stop_timeout_ms,
        default.stop_timeout,
        100..=MAX_STOP_TIMEOUT_MS,
    )?;
    if stop_timeout < deadline {
        let expected = "at least request_deadline_ms, so that a stop cuts off no request";
        let found = stop_timeout.as_millis();
        return Err(validator.error("limits.stop_timeout_ms", expected, found));
    }
    Ok(Limits {
        max_flows: validator.count(
            "limits.max_flows",
            document.max_flows,
            default.max_flows,
            1..=10_000_000,
        )?,
        queue_per_service: validator.count(
            "limits.queue_per_service",
            document.queue_per_service,
            default.queue_per_service,
            1..=100_000,
        )?,
        request_deadline: deadline,
        stop_timeout,
        flow_idle: validator.ms(
            "limits.flow_idle_ms",
            document.flow_idle_ms,
            default.flow_idle,
            1000..=MAX_FLOW_IDLE_MS,
        )?,
        retry_percent: validator.count(
            "limits.retry_percent",
            document.retry_percent,
            default.retry_percent as usize,
            0..=100,
        )? as u32,
        endpoint_choice: endpoint_choice(validator, document, default)?,
    })
}

fn endpoint_choice(
    validator: &Validator<'_>,
    document: &document::Limits,
    default: Limits,
) -> Result<String, ValidationError> {
    let Some(name) = &document.endpoint_choice else {
        return Ok(default.endpoint_choice);
    };
    if choice::policy(name).is_none() {
        let expected = "\"least_of_two\", \"round_robin\" or \"random\"";
        return Err(validator.error("limits.endpoint_choice", expected, name));
    }
    Ok(name.clone())
}

struct Validator<'a> {
    file: &'a str,
}

impl Validator<'_> {
    fn error(&self, field: &str, expected: &str, found: impl Display) -> ValidationError {
        ValidationError::new(self.file, field, expected, found)
    }

    fn name(&self, field: &str, text: String) -> Result<String, ValidationError> {
        if text.trim().is_empty() {
            return Err(self.error(field, "a name", text));
        }
        Ok(text)
    }

    fn ip(&self, field: &str, text: &str) -> Result<IpAddr, ValidationError> {
        text.parse()
            .map_err(|_| self.error(field, "an IP address", text))
    }

    fn address(&self, field: &str, text: &str) -> Result<SocketAddr, ValidationError> {
        let address: SocketAddr = text
            .parse()
            .map_err(|_| self.error(field, "IP:port", text))?;
        if address.port() == 0 {
            return Err(self.error(field, "a port in 1..=65535", 0));
        }
        if address.ip().is_unspecified() {
            return Err(self.error(field, "the address of one interface", address.ip()));
        }
        Ok(address)
    }

    fn count(
        &self,
        field: &str,
        value: Option<u32>,
        default: usize,
        range: RangeInclusive<u32>,
    ) -> Result<usize, ValidationError> {
        match value {
            None => Ok(default),
            Some(value) if range.contains(&value) => Ok(value as usize),
            Some(value) => Err(self.error(field, &format!("{range:?}"), value)),
        }
    }

    fn ms(
        &self,
        field: &str,
        value: Option<u32>,
        default: Duration,
        range: RangeInclusive<u32>,
    ) -> Result<Duration, ValidationError> {
        let default_ms = default.as_millis() as usize;
        let ms = self.count(field, value, default_ms, range)?;
        Ok(Duration::from_millis(ms as u64))
    }
}

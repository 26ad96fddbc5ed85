//! Validation and application of release notes, as pure functions of the previous state.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;

use super::{Endpoint, Kind, Service, State, ValidationError};
use crate::document;
use crate::id;

/// Maximum number of slots of one endpoint.
const MAX_SLOTS: u32 = 100_000;

impl State {
    /// Builds a state from a snapshot.
    ///
    /// # Errors
    ///
    /// The first validation error, which is the same on every VM.
    pub fn from_snapshot(snapshot: &document::Snapshot) -> Result<Self, ValidationError> {
        let mut state = Self {
            number: snapshot.number,
            ..Self::default()
        };
        let validator = Validator {
            number: snapshot.number,
        };
        for (index, entry) in snapshot.services.iter().enumerate() {
            validator.add_service(&mut state, &format!("services[{index}]"), entry)?;
        }
        Ok(state)
    }

    /// Returns the state that results from applying `note`.
    ///
    /// # Errors
    ///
    /// The first validation error, which is the same on every VM in the same state.
    pub fn apply(&self, note: &document::Note) -> Result<Self, ValidationError> {
        let validator = Validator {
            number: note.number,
        };
        let expected = self.number + 1;
        if note.number != expected {
            return Err(validator.error("number", &expected.to_string(), note.number));
        }
        let mut state = self.clone();
        state.number = note.number;
        for (index, name) in note.withdrawn.iter().enumerate() {
            let field = format!("withdrawn[{index}]");
            if state.services.remove(&id::Service::of(name)).is_none() {
                return Err(validator.error(&field, "the name of a service", name));
            }
        }
        for (index, change) in note.changed.iter().enumerate() {
            validator.change_service(&mut state, &format!("changed[{index}]"), change)?;
        }
        for (index, entry) in note.added.iter().enumerate() {
            validator.add_service(&mut state, &format!("added[{index}]"), entry)?;
        }
        Ok(state)
    }

    /// Returns the state that follows a rejected note. Only the number changes, so that the next
    /// note still applies.
    pub fn skip(&self) -> Self {
        let mut state = self.clone();
        state.number += 1;
        state
    }
}

struct Validator {
    number: u64,
}

impl Validator {
    fn error(&self, field: &str, expected: &str, found: impl Display) -> ValidationError {
        let found = found.to_string();
        ValidationError {
            number: self.number,
            field: field.to_owned(),
            expected: expected.to_owned(),
            found: if found.is_empty() {
                "nothing".to_owned()
            } else {
                found
            },
        }
    }

    fn add_service(
        &self,
        state: &mut State,
        field: &str,
        entry: &document::ServiceEntry,
    ) -> Result<(), ValidationError> {
        let id = id::Service::of(&entry.name);
        if entry.name.is_empty() {
            return Err(self.error(&format!("{field}.name"), "a name", ""));
        }
        if state.services.contains_key(&id) {
            let expected = "a name that no service has";
            return Err(self.error(&format!("{field}.name"), expected, &entry.name));
        }
        let address = self.address(&format!("{field}.address"), &entry.address)?;
        if state.services().any(|service| service.address == address) {
            let expected = "an address that no service has";
            return Err(self.error(&format!("{field}.address"), expected, address));
        }
        if entry.data_centres.is_empty() {
            let expected = "at least one data centre";
            return Err(self.error(&format!("{field}.data_centres"), expected, ""));
        }
        let mut service = Service {
            id,
            name: entry.name.clone(),
            kind: self.kind(&format!("{field}.kind"), &entry.kind)?,
            address,
            data_centres: entry.data_centres.clone(),
            endpoints: Vec::with_capacity(entry.endpoints.len()),
        };
        for (index, endpoint) in entry.endpoints.iter().enumerate() {
            let field = format!("{field}.endpoints[{index}]");
            self.add_endpoint(&mut service, &field, endpoint)?;
        }
        state.services.insert(id, Arc::new(service));
        Ok(())
    }

    fn change_service(
        &self,
        state: &mut State,
        field: &str,
        change: &document::ServiceChange,
    ) -> Result<(), ValidationError> {
        let id = id::Service::of(&change.service);
        let Some(shared) = state.services.get_mut(&id) else {
            let field = format!("{field}.service");
            return Err(self.error(&field, "the name of a service", &change.service));
        };
        let service = Arc::make_mut(shared);
        for (index, text) in change.withdrawn.iter().enumerate() {
            let field = format!("{field}.withdrawn[{index}]");
            let position = self.endpoint_position(service, &field, text)?;
            service.endpoints.remove(position);
        }
        for (index, text) in change.draining.iter().enumerate() {
            let field = format!("{field}.draining[{index}]");
            let position = self.endpoint_position(service, &field, text)?;
            service.endpoints[position].draining = true;
        }
        for (index, entry) in change.added.iter().enumerate() {
            self.add_endpoint(service, &format!("{field}.added[{index}]"), entry)?;
        }
        Ok(())
    }

    fn add_endpoint(
        &self,
        service: &mut Service,
        field: &str,
        entry: &document::EndpointEntry,
    ) -> Result<(), ValidationError> {
        let address = self.address(&format!("{field}.address"), &entry.address)?;
        if service
            .endpoints
            .iter()
            .any(|other| other.address == address)
        {
            let expected = "an address that no endpoint of the service has";
            return Err(self.error(&format!("{field}.address"), expected, address));
        }
        if !(1..=MAX_SLOTS).contains(&entry.slots) {
            let expected = format!("1..={MAX_SLOTS}");
            return Err(self.error(&format!("{field}.slots"), &expected, entry.slots));
        }
        if !service.is_served_in(&entry.data_centre) {
            let expected = "a data centre that serves the service";
            let field = format!("{field}.data_centre");
            return Err(self.error(&field, expected, &entry.data_centre));
        }
        service.endpoints.push(Endpoint {
            id: id::Endpoint::of(service.id, address),
            address,
            data_centre: entry.data_centre.clone(),
            slots: entry.slots,
            draining: entry.draining,
        });
        Ok(())
    }

    fn endpoint_position(
        &self,
        service: &Service,
        field: &str,
        text: &str,
    ) -> Result<usize, ValidationError> {
        let address = self.address(field, text)?;
        service
            .endpoints
            .iter()
            .position(|endpoint| endpoint.address == address)
            .ok_or_else(|| self.error(field, "the address of an endpoint", text))
    }

    fn kind(&self, field: &str, text: &str) -> Result<Kind, ValidationError> {
        match text {
            "requests" => Ok(Kind::Requests),
            "datagrams" => Ok(Kind::Datagrams),
            _ => Err(self.error(field, "\"requests\" or \"datagrams\"", text)),
        }
    }

    fn address(&self, field: &str, text: &str) -> Result<SocketAddr, ValidationError> {
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Ok(address),
            _ => Err(self.error(field, "IP:port", text)),
        }
    }
}

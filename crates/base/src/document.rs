//! Decoding of JSON documents, and the errors found in them.

use std::fmt;

use derive_more::Display;
use serde::de::DeserializeOwned;

/// Error in a document, located by file and field.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
#[display("{file}: {field}: expected {expected}, found {found}")]
pub struct ValidationError {
    /// Path of the file.
    pub file: String,
    /// Path of the invalid field within the file, such as `limits.max_flows`.
    pub field: String,
    /// Description of the valid values.
    pub expected: String,
    /// Value found or the decoder's message, or `nothing` if it is empty.
    pub found: String,
}

impl ValidationError {
    /// Returns an error in a field of `file`; an empty `found` is reported as `nothing`.
    pub fn new(file: &str, field: &str, expected: &str, found: impl fmt::Display) -> Self {
        let found = found.to_string();
        Self {
            file: file.to_owned(),
            field: field.to_owned(),
            expected: expected.to_owned(),
            found: if found.is_empty() {
                "nothing".to_owned()
            } else {
                found
            },
        }
    }
}

/// Decodes a JSON document; `file` is its name in errors.
///
/// # Errors
///
/// The first syntax or type error, with the path of its field.
pub fn decode<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, ValidationError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let expected = "a document as docs/OPERATIONS.md describes";
        ValidationError::new(file, &error.path().to_string(), expected, error.inner())
    })
}

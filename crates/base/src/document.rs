//! JSON documents that people write: decoding, and what is wrong with one.

use std::fmt;

use derive_more::Display;
use serde::de::DeserializeOwned;

/// What is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
#[display("{file}: {field}: expected {expected}, found {found}")]
pub struct Fault {
    /// Path of the file.
    pub file: String,
    /// Path of the field within the file.
    pub field: String,
    /// What the field has to be.
    pub expected: String,
    /// What it is.
    pub found: String,
}

impl Fault {
    /// Returns what is wrong with a field of `file`; an empty `found` reads as nothing.
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

/// Decodes JSON; `file` names it in faults.
///
/// # Errors
///
/// A fault that names the path of the field.
pub fn decode<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Fault> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let expected = "a document as docs/OPERATIONS.md describes";
        Fault::new(file, &error.path().to_string(), expected, error.inner())
    })
}

//! The `check` subcommand, which validates settings and release notes.

use std::path::Path;

use super::{Check, EXIT_FAILED, EXIT_INVALID_INPUT, EXIT_OK};
use crate::document;
use crate::prelude::*;
use crate::release::State;
use crate::settings;

/// Checks the settings or the release note that the arguments name; returns the exit code.
pub fn run(command: &Check) -> u8 {
    let result = match (&command.settings, &command.release, &command.after) {
        (Some(settings), None, None) => settings::load(settings).map(|_| ()),
        (None, Some(release), Some(after)) => check_release(release, after),
        _ => {
            eprintln!("expected --settings FILE, or --release FILE --after SNAPSHOT");
            return EXIT_INVALID_INPUT;
        }
    };
    match result {
        Ok(()) => {
            println!("ok");
            EXIT_OK
        }
        Err(error) => {
            eprintln!("{error}");
            match error {
                Error::Settings(_) | Error::Release(_) => EXIT_INVALID_INPUT,
                _ => EXIT_FAILED,
            }
        }
    }
}

fn check_release(release: &Path, after: &Path) -> Result<()> {
    let snapshot: document::Snapshot = read_document(after)?;
    let note: document::Note = read_document(release)?;
    let state = State::from_snapshot(&snapshot).map_err(Error::Release)?;
    state.apply(&note).map_err(Error::Release)?;
    Ok(())
}

fn read_document<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::io(&file, source))?;
    settings::decode(&file, &text).map_err(Error::Settings)
}

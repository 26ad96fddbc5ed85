//! The `ragwortbeam` command.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    ragwortbeam::commands::run(argh::from_env())
}

//! Generates the message and settings types from `schema/` into
//! `crates/ragwortbeam/src/generated/`. Run by hand after a schema change.

use std::error::Error;
use std::path::{Path, PathBuf};

/// Serde attributes of a package whose types are read from or written to JSON.
struct Json {
    package: &'static str,
    attribute: &'static str,
}

const JSON: [Json; 2] = [
    Json {
        package: ".ragwortbeam.settings.v1",
        attribute: "#[serde(deny_unknown_fields)]",
    },
    // Lists that a release note leaves out are empty; the checks refuse what must not be.
    Json {
        package: ".ragwortbeam.release.v1",
        attribute: "#[serde(default, deny_unknown_fields)]",
    },
];

const SCHEMA_FILES: [&str; 3] = ["settings.proto", "release.proto", "peer.proto"];

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let out = std::env::args().nth(1).map_or_else(
        || root.join("crates/ragwortbeam/src/generated"),
        PathBuf::from,
    );
    std::fs::create_dir_all(&out)?;
    let descriptors = protox::compile(SCHEMA_FILES, [root.join("schema")])?;
    let mut builder = tonic_prost_build::configure()
        .out_dir(&out)
        .include_file("mod.rs");
    for json in JSON {
        builder = builder
            .type_attribute(
                json.package,
                "#[derive(serde::Serialize, serde::Deserialize)]",
            )
            .type_attribute(json.package, json.attribute);
    }
    builder.compile_fds(descriptors)?;
    Ok(())
}

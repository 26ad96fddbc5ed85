//! Generates Rust types from the protobuf files in `schema/` into the crates that use them.
//!
//! It is run by hand after each change of the schema.

use std::error::Error;
use std::path::{Path, PathBuf};

/// Protobuf package whose types are read from or written to JSON, with its serde attribute.
struct JsonPackage {
    package: &'static str,
    attribute: &'static str,
}

const JSON_PACKAGES: [JsonPackage; 3] = [
    JsonPackage {
        package: ".ragwortbeam.settings.v1",
        attribute: "#[serde(deny_unknown_fields)]",
    },
    JsonPackage {
        package: ".ragwortbeam.steering.settings.v1",
        attribute: "#[serde(deny_unknown_fields)]",
    },
    // A list that a release note omits is empty; validation rejects lists that must not be.
    JsonPackage {
        package: ".ragwortbeam.release.v1",
        attribute: "#[serde(default, deny_unknown_fields)]",
    },
];

/// Schema files of one crate and the folder for the generated code.
struct Target {
    folder: &'static str,
    files: &'static [&'static str],
}

const TARGETS: [Target; 2] = [
    Target {
        folder: "crates/ragwortbeam/src/generated",
        files: &["settings.proto", "release.proto", "peer.proto"],
    },
    Target {
        folder: "crates/steering/src/generated",
        files: &["steering.proto", "steering_settings.proto"],
    },
];

/// Writes below the folder in the first argument, or below the repository root without one.
fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let out = std::env::args()
        .nth(1)
        .map_or_else(|| root.clone(), PathBuf::from);
    for target in TARGETS {
        generate(&root.join("schema"), &out.join(target.folder), target.files)?;
    }
    Ok(())
}

fn generate(schema: &Path, out: &Path, files: &[&str]) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(out)?;
    let descriptors = protox::compile(files, [schema])?;
    let mut builder = tonic_prost_build::configure()
        .out_dir(out)
        .include_file("mod.rs");
    for json_package in JSON_PACKAGES {
        builder = builder
            .type_attribute(
                json_package.package,
                "#[derive(serde::Serialize, serde::Deserialize)]",
            )
            .type_attribute(json_package.package, json_package.attribute);
    }
    builder.compile_fds(descriptors)?;
    Ok(())
}

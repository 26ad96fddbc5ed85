//! Generates the message and settings types from `schema/` into the crates that use them.
//! Run by hand after a schema change.

use std::error::Error;
use std::path::{Path, PathBuf};

/// Serde attributes of a package whose types are read from or written to JSON.
struct Json {
    package: &'static str,
    attribute: &'static str,
}

const JSON: [Json; 3] = [
    Json {
        package: ".ragwortbeam.settings.v1",
        attribute: "#[serde(deny_unknown_fields)]",
    },
    Json {
        package: ".ragwortbeam.steering.settings.v1",
        attribute: "#[serde(deny_unknown_fields)]",
    },
    // Lists that a release note leaves out are empty; the checks refuse what must not be.
    Json {
        package: ".ragwortbeam.release.v1",
        attribute: "#[serde(default, deny_unknown_fields)]",
    },
];

/// Schema files of one crate.
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

/// Writes below the folder in the first argument, or else below the repository's root.
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

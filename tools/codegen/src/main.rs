//! Regenerates the committed `tonic` code from the `.proto` files of the crates.
//!
//! Run with `cargo run --package codegen` after a change to a `.proto` file.

use std::error::Error;
use std::path::Path;
use std::process::Command;

/// Pairs of a crate and its protocol. The source is `proto/<protocol>.proto`, the generated code is
/// in `src/generated/`.
const PROTOCOLS: [(&str, &str); 7] = [
    ("yuccatack_records", "records"),
    ("yuccatack_view", "view"),
    ("yuccatack_requests", "agent"),
    ("yuccatack_requests", "claims"),
    ("yuccatack_replication", "replication"),
    ("yuccatack_control", "workers"),
    ("yuccatack_queue_client", "queue_control"),
];

fn main() -> Result<(), Box<dyn Error>> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../crates");
    for (crate_name, protocol) in PROTOCOLS {
        generate(&crates.join(crate_name), protocol)?;
    }
    // The formatting check includes the generated files.
    let status = Command::new(env!("CARGO")).args(["fmt", "--all"]).status()?;
    if !status.success() {
        return Err(
            format!("cannot format the generated code: cargo fmt failed with {status}").into()
        );
    }
    Ok(())
}

fn generate(crate_folder: &Path, protocol: &str) -> Result<(), Box<dyn Error>> {
    let proto_folder = crate_folder.join("proto");
    let out_folder = crate_folder.join("src/generated");
    std::fs::create_dir_all(&out_folder)?;
    let descriptors = protox::compile([format!("{protocol}.proto")], [&proto_folder])?;
    tonic_prost_build::configure().bytes(".").out_dir(out_folder).compile_fds(descriptors)?;
    Ok(())
}

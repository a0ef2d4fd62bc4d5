//! Runs the checks that a change must pass: formatting, lints, tests and documentation.
//!
//! `cargo run --package ci` runs all checks, `cargo run --package ci -- test` only the named ones.
//! Tests listed in `KNOWN-RED.txt` are printed and skipped; every other test must pass.

use std::path::Path;
use std::process::{Command, ExitCode};

/// Test that runs after all others: it measures the memory of processes, which other load disturbs.
const LAST_TEST: &str = "floods_of_clients";

/// A check that runs as cargo commands, one after the other.
#[derive(Clone, Copy)]
enum Check {
    Format,
    Lint,
    Test,
    Documentation,
}

impl Check {
    const ALL: [Self; 4] = [Self::Format, Self::Lint, Self::Test, Self::Documentation];

    fn name(self) -> &'static str {
        match self {
            Self::Format => "format",
            Self::Lint => "lint",
            Self::Test => "test",
            Self::Documentation => "doc",
        }
    }

    fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|check| check.name() == name)
    }

    fn commands(self, root: &Path) -> Vec<Command> {
        let mut command = Command::new(env!("CARGO"));
        command.current_dir(root);
        match self {
            Self::Format => command.args(["fmt", "--all", "--check"]),
            Self::Lint => command
                .args(["clippy", "--workspace", "--all-targets", "--locked", "--"])
                .args(["--deny", "warnings"]),
            Self::Test => command
                .args(["test", "--workspace", "--locked", "--no-fail-fast", "--"])
                .args(["--skip", LAST_TEST])
                .args(known_failure_arguments(root)),
            Self::Documentation => command
                .args(["doc", "--workspace", "--no-deps", "--locked"])
                .env("RUSTDOCFLAGS", "--deny warnings"),
        };
        let mut commands = vec![command];
        if matches!(self, Self::Test) {
            commands.push(last_test(root));
        }
        commands
    }
}

/// Runs [`LAST_TEST`], unless it is a known failure.
fn last_test(root: &Path) -> Command {
    let mut command = Command::new(env!("CARGO"));
    command
        .current_dir(root)
        .args(["test", "--package", "yuccatack_platform", "--locked"])
        .args(["--test", "client_floods", "--"])
        .args(known_failure_arguments(root));
    command
}

/// Converts the `test:` lines of `KNOWN-RED.txt` into `--skip` arguments of the test runner.
fn known_failure_arguments(root: &Path) -> Vec<String> {
    let list = std::fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap_or_default();
    let names: Vec<&str> = list.lines().filter_map(|line| line.strip_prefix("test:")).collect();
    if names.is_empty() {
        return Vec::new();
    }
    let mut arguments = vec!["--exact".to_owned()];
    for name in names {
        eprintln!("known failure in KNOWN-RED.txt, skipped: {}", name.trim());
        arguments.push("--skip".to_owned());
        arguments.push(name.trim().to_owned());
    }
    arguments
}

fn main() -> ExitCode {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let names: Vec<String> = std::env::args().skip(1).collect();
    let mut checks = Vec::new();
    for name in &names {
        let Some(check) = Check::from_name(name) else {
            eprintln!("unknown check `{name}`; use format, lint, test or doc");
            return ExitCode::from(2);
        };
        checks.push(check);
    }
    if checks.is_empty() {
        checks.extend(Check::ALL);
    }
    for check in checks {
        eprintln!("check: {}", check.name());
        for mut command in check.commands(&root) {
            match command.status() {
                Ok(status) if status.success() => {}
                Ok(status) => {
                    eprintln!("check {} failed: {status}", check.name());
                    return ExitCode::FAILURE;
                }
                Err(error) => {
                    eprintln!("check {} failed to start cargo: {error}", check.name());
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    ExitCode::SUCCESS
}

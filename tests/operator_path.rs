//! Guards against a command line and an entry that disagree on the format of messages, and against
//! exit codes and messages that do not match the outcome of a command.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Instant;

use serde_json::Value;
use support::{Deployment, STEP_TIMEOUT, organisation};

/// Runs commands of the `yuccatack` binary against one entry.
struct Operator {
    entry_address: SocketAddr,
}

struct Outcome {
    code: i32,
    results: String,
    messages: String,
}

impl Operator {
    fn run(&self, arguments: &[&str]) -> Outcome {
        let output: Output = Command::new(env!("CARGO_BIN_EXE_yuccatack"))
            .args(arguments)
            .env("YUCCATACK_ADDRESS", self.entry_address.to_string())
            .output()
            .unwrap();
        Outcome {
            code: output.status.code().unwrap(),
            results: String::from_utf8(output.stdout).unwrap(),
            messages: String::from_utf8(output.stderr).unwrap(),
        }
    }

    #[track_caller]
    fn expect(&self, code: i32, arguments: &[&str]) -> Outcome {
        let outcome = self.run(arguments);
        let (results, messages) = (&outcome.results, &outcome.messages);
        assert_eq!(outcome.code, code, "{arguments:?}\n{results}\n{messages}");
        outcome
    }

    #[track_caller]
    fn expect_json(&self, code: i32, arguments: &[&str]) -> Value {
        let arguments = [arguments, &["--output", "json"]].concat();
        serde_json::from_str(&self.expect(code, &arguments).results).unwrap()
    }

    fn wait_until_answered(&self) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while self.run(&["status"]).code != 0 {
            assert!(Instant::now() < deadline, "the entry did not return a status in time");
        }
    }
}

fn write(deployment: &Deployment, name: &str, text: &str) -> PathBuf {
    let path = deployment.folder.path().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[tokio::test(flavor = "multi_thread")]
async fn record_lifecycle() {
    let deployment = Deployment::start(1).await;
    let operator = Operator { entry_address: deployment.entry_address };
    operator.wait_until_answered();
    let file = write(&deployment, "organisation.json", &organisation().to_string());
    let file = file.to_str().unwrap();

    let applied = operator.expect_json(0, &["apply", "--wait", "--change-id", "c-1", file]);
    assert_eq!(applied[0]["outcome"], "accepted");
    assert_eq!(applied[0]["generation"], 1);
    assert_eq!(applied[0]["in_force_everywhere"], true);
    let resent = operator.expect_json(0, &["apply", "--change-id", "c-1", file]);
    assert_eq!(resent[0]["generation"], 1);
    assert_eq!(resent[0]["revision"], applied[0]["revision"]);

    let changed = operator.expect_json(0, &["apply", file]);
    assert_eq!(changed[0]["generation"], 2);
    let raced = operator.expect_json(1, &["apply", "--replaces-generation", "1", file]);
    assert_eq!(raced[0]["kind"], "conflict");
    assert_eq!(raced[0]["current_generation"], 2);

    let shown = operator.expect(0, &["get", "organisation", "putrajaya-club"]);
    let shown = write(&deployment, "shown.yaml", &shown.results);
    operator.expect(0, &["check", shown.to_str().unwrap()]);
    let listed = operator.expect_json(0, &["get", "organisation"]);
    assert_eq!(listed["records"][0]["record"], organisation());

    operator.expect(0, &["withdraw", "--wait", "organisation", "putrajaya-club"]);
    operator.expect(1, &["get", "organisation", "putrajaya-club"]);
    let refused = operator.expect(1, &["withdraw", "organisation", "putrajaya-club"]);
    assert!(refused.results.contains("not_found"), "{}", refused.results);
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_roles_reported() {
    let mut deployment = Deployment::start(1).await;
    let operator = Operator { entry_address: deployment.entry_address };
    operator.wait_until_answered();
    let file = write(&deployment, "organisation.json", &organisation().to_string());
    let file = file.to_str().unwrap();

    let address = deployment.metrics_addresses[1].to_string();
    let burn = operator.expect_json(0, &["report", "burn", "--metrics-address", &address]);
    assert!(burn["series"].as_array().unwrap().is_empty());

    deployment.kill("control-1");
    let unsent = operator.expect(3, &["apply", file]);
    assert!(unsent.messages.contains("cannot answer now"), "{}", unsent.messages);
    deployment.kill("entry-1");
    let unreachable = operator.expect(3, &["status"]);
    assert!(unreachable.messages.contains("cannot reach the entry"), "{}", unreachable.messages);
}

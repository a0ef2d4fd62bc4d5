//! Guards against orders about evacuations that are sent wrongly, or reported with a wrong outcome.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use serde_json::json;
use support::{Entry, Outcome, Reply, run};
use yuccatack_cli::ExitStatus;

fn send(replica: &Entry, command: &[&str]) -> Outcome {
    let address = replica.address.to_string();
    run(&[command, &["--control-address", &address]].concat())
}

fn sent(replica: &Entry) -> Vec<(String, String)> {
    replica.received().into_iter().map(|request| (request.method, request.path)).collect()
}

#[test]
fn orders_sent() {
    let replica = Entry::start(|_| Reply::Text(200, ""));
    assert_eq!(send(&replica, &["evacuate", "dc-a"]).status, ExitStatus::Done);
    assert_eq!(send(&replica, &["readmit", "dc-a"]).status, ExitStatus::Done);
    let path = "/evacuation/dc-a".to_owned();
    assert_eq!(sent(&replica), [("POST".to_owned(), path.clone()), ("DELETE".to_owned(), path)]);
}

#[test]
fn refusal_shown() {
    let replica = Entry::start(|_| Reply::Json(400, json!({"Error": "unknown data centre `x`"})));
    let outcome = send(&replica, &["evacuate", "x"]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(outcome.messages.contains("400: unknown data centre `x`"), "{}", outcome.messages);
    assert_eq!(sent(&replica).len(), 1, "a refused order was resent");
}

#[test]
fn lost_answer_resent() {
    let mut count = 0;
    let replica = Entry::start(move |_| {
        count += 1;
        match count {
            1 => Reply::Close,
            2 => Reply::Text(504, ""),
            3 => Reply::Text(503, ""),
            _ => Reply::Text(200, ""),
        }
    });
    assert_eq!(send(&replica, &["evacuate", "dc-a"]).status, ExitStatus::Done);
    assert_eq!(sent(&replica).len(), 4);
}

/// After one lost answer, a later "nothing was stored" tells nothing about the first order.
#[test]
fn unknown_outcome() {
    let mut count = 0;
    let replica = Entry::start(move |_| {
        count += 1;
        if count == 1 { Reply::Close } else { Reply::Text(503, "") }
    });
    assert_eq!(send(&replica, &["evacuate", "dc-a"]).status, ExitStatus::Unknown);
    let replica = Entry::start(|_| Reply::Text(503, ""));
    assert_eq!(send(&replica, &["evacuate", "dc-a"]).status, ExitStatus::NotReachable);
}

#[test]
fn evacuations_listed() {
    let replica = Entry::start(|_| Reply::Json(200, json!({"DataCentres": ["dc-a", "dc-b"]})));
    let outcome = send(&replica, &["evacuations"]);
    assert_eq!((outcome.status, outcome.results.as_str()), (ExitStatus::Done, "dc-a\ndc-b\n"));
}

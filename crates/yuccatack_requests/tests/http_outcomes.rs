//! Mapping of outcomes to HTTP status codes and headers.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use bytes::Bytes;
use yuccatack_requests::http_mapping::HttpResponse;
use yuccatack_requests::prelude::*;

fn value<'a>(response: &'a HttpResponse, name: &str) -> Option<&'a str> {
    let header = response.headers.iter().find(|header| *header.name == *name)?;
    Some(std::str::from_utf8(&header.value).unwrap())
}

/// Guards against a status code or header that contradicts the outcome.
#[test]
fn not_run() {
    let cases = [
        (NotRunReason::Invalid, 400),
        (NotRunReason::ReceiveTimeout, 400),
        (NotRunReason::KeyTooOld, 400),
        (NotRunReason::KeyReused, 400),
        (NotRunReason::TooLarge, 413),
        (NotRunReason::RateLimited, 429),
        (NotRunReason::ConcurrencyLimited, 429),
        (NotRunReason::QueueFull, 503),
        (NotRunReason::Deadline, 503),
        (NotRunReason::NoMinion, 503),
        (NotRunReason::StaleView, 503),
        (NotRunReason::ClaimsUnavailable, 503),
    ];
    for (reason, status) in cases {
        let response = HttpResponse::from(Outcome::from(NotRun::retryable(reason, 1_001, "x")));
        assert_eq!(response.status, status, "{reason:?}");
        assert_eq!(value(&response, "yuccatack-outcome"), Some("not_run"));
        assert_eq!(value(&response, "yuccatack-reason"), Some(reason.as_str()));
        assert_eq!(value(&response, "retry-after"), Some("2"));
    }
}

/// Guards against an unknown outcome that a caller could take for a refusal and retry blindly.
#[test]
fn unknown() {
    let unknown = Unknown::new(UnknownReason::AgentRestarted, "x");
    let response = HttpResponse::from(Outcome::from(unknown));
    assert_eq!(response.status, 504);
    assert_eq!(value(&response, "yuccatack-outcome"), Some("unknown"));
    assert_eq!(value(&response, "retry-after"), None);
}

/// Guards against a minion that overrides the outcome by sending the `yuccatack-outcome` header.
#[test]
fn completed() {
    let headers = vec![Header {
        name: Arc::from("yuccatack-outcome"),
        value: Bytes::from_static(b"not_run"),
    }];
    let answer = Answer { status: 503, headers, body: Bytes::from_static(b"x") };
    let response = HttpResponse::from(Outcome::Completed(answer));
    assert_eq!((response.status, response.headers.len()), (503, 1));
    assert_eq!(value(&response, "yuccatack-outcome"), Some("completed"));
}

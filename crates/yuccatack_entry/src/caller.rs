//! Validation and decoding of the requests of callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use yuccatack_core::prelude::*;
use yuccatack_requests::claims::IdempotencyKey;
use yuccatack_requests::prelude::*;
use yuccatack_requests::wire::attempts::priority_class_from_name;

/// Deadline of a request for which neither the caller nor the record of the service states one.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Longest deadline that a caller may request.
const DEADLINE_LIMIT_MS: u64 = 10 * 60 * 1000;

/// Headers that are not forwarded to minions, because they describe the connection to the entry or
/// the framing of the request. Headers of this system (`yuccatack-*`) are not forwarded either.
const UNFORWARDED_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A decoded request head; the body has not been read yet.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Content of the request, with an empty body.
    pub content: RequestContent,
    /// Deadline relative to the arrival, if the caller stated one.
    pub deadline: Option<Duration>,
    /// Idempotency key; absent for an idempotent request.
    pub key: Option<IdempotencyKey>,
}

fn invalid(detail: &str) -> NotRun {
    NotRun::permanent(NotRunReason::Invalid, detail)
}

/// Returns the value of a header that may occur at most once.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, NotRun> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid(&format!("the header {name} is given more than once")));
    }
    let text = value.to_str();
    text.map(Some).map_err(|_| invalid(&format!("the header {name} is not visible ASCII")))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, NotRun> {
    let Some(text) = header_text(headers, "yuccatack-deadline-ms")? else {
        return Ok(None);
    };
    let milliseconds: Option<u64> = text.parse().ok();
    let valid = milliseconds.filter(|milliseconds| (1..=DEADLINE_LIMIT_MS).contains(milliseconds));
    let milliseconds =
        valid.ok_or_else(|| invalid("yuccatack-deadline-ms must be a number from 1 to 600000"))?;
    Ok(Some(Duration::from_millis(milliseconds)))
}

fn idempotent(headers: &HeaderMap) -> Result<bool, NotRun> {
    match header_text(headers, "yuccatack-idempotent")? {
        Some("true") => Ok(true),
        // Running a request twice may do harm unless the caller marks it as idempotent.
        Some("false") | None => Ok(false),
        Some(_) => Err(invalid("yuccatack-idempotent must be `true` or `false`")),
    }
}

fn key(headers: &HeaderMap, idempotent: bool) -> Result<Option<IdempotencyKey>, NotRun> {
    match header_text(headers, "yuccatack-key")? {
        Some(text) => {
            IdempotencyKey::new(text).map(Some).map_err(|error| invalid(&error.to_string()))
        }
        None if idempotent => Ok(None),
        None => Err(invalid("a request that is not idempotent needs the header yuccatack-key")),
    }
}

fn class(headers: &HeaderMap) -> Result<PriorityClass, NotRun> {
    let Some(name) = header_text(headers, "yuccatack-class")? else {
        return Ok(PriorityClass::default());
    };
    priority_class_from_name(name)
        .map_err(|_| invalid("yuccatack-class must be `urgent`, `standard` or `batch`"))
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let dropped =
        |name: &str| UNFORWARDED_HEADERS.contains(&name) || name.starts_with("yuccatack-");
    headers
        .iter()
        .filter(|(name, _)| !dropped(name.as_str()))
        .map(|(name, value)| Header {
            name: Arc::from(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

impl CallerRequest {
    /// Decodes the head of a request.
    pub fn decode(
        service: ServiceName,
        method: &str,
        minion_path: &str,
        headers: &HeaderMap,
    ) -> Result<Self, NotRun> {
        let organisation = header_text(headers, "yuccatack-organisation")?
            .ok_or_else(|| invalid("the header yuccatack-organisation is missing"))?;
        let organisation =
            OrganisationName::new(organisation).map_err(|error| invalid(&error.to_string()))?;
        let idempotent = idempotent(headers)?;
        let content = RequestContent {
            organisation,
            service,
            class: class(headers)?,
            method: Arc::from(method),
            path: Arc::from(minion_path),
            headers: forwarded_headers(headers),
            idempotent,
            body: Bytes::new(),
        };
        let key = key(headers, idempotent)?.filter(|_| !idempotent);
        Ok(Self { content, deadline: deadline(headers)?, key })
    }

    /// Returns the deadline of the caller, or else the default of the service or of the entry.
    pub fn deadline_or(&self, service_default_ms: Option<u64>) -> Duration {
        let default = Duration::from_millis(service_default_ms.unwrap_or(DEFAULT_DEADLINE_MS));
        self.deadline.unwrap_or(default)
    }
}

//! What a caller sends, checked and decoded.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use yuccatack_core::prelude::*;
use yuccatack_requests::claims::IdempotencyKey;
use yuccatack_requests::prelude::*;
use yuccatack_requests::wire::attempts::priority_class_from_name;

/// The time that a request may take when neither its caller nor the service's record states one.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// The longest time that a caller may ask for.
const DEADLINE_LIMIT_MS: u64 = 10 * 60 * 1000;

/// Headers that concern one connection or this system and are not passed on.
const OWN_HEADERS: [&str; 11] = [
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

/// A decoded request whose body has not been read.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// The request; its body is still empty.
    pub content: RequestContent,
    /// The time that it may take.
    pub deadline: Option<Duration>,
    /// The key of a non-idempotent request.
    pub key: Option<IdempotencyKey>,
}

fn invalid(detail: &str) -> NotRun {
    NotRun::permanent(NotRunReason::Invalid, detail)
}

/// The text of a header that may be given once.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, NotRun> {
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
    let Some(text) = text(headers, "yuccatack-deadline-ms")? else {
        return Ok(None);
    };
    let milliseconds: Option<u64> = text.parse().ok();
    let valid = milliseconds.filter(|milliseconds| (1..=DEADLINE_LIMIT_MS).contains(milliseconds));
    let milliseconds =
        valid.ok_or_else(|| invalid("yuccatack-deadline-ms must be a number from 1 to 600000"))?;
    Ok(Some(Duration::from_millis(milliseconds)))
}

fn idempotent(headers: &HeaderMap) -> Result<bool, NotRun> {
    match text(headers, "yuccatack-idempotent")? {
        Some("true") => Ok(true),
        // A request is taken as harmful to repeat unless the caller says otherwise.
        Some("false") | None => Ok(false),
        Some(_) => Err(invalid("yuccatack-idempotent must be `true` or `false`")),
    }
}

fn key(headers: &HeaderMap, idempotent: bool) -> Result<Option<IdempotencyKey>, NotRun> {
    match text(headers, "yuccatack-key")? {
        Some(text) => {
            IdempotencyKey::new(text).map(Some).map_err(|error| invalid(&error.to_string()))
        }
        None if idempotent => Ok(None),
        None => Err(invalid("a request that is not idempotent needs the header yuccatack-key")),
    }
}

fn class(headers: &HeaderMap) -> Result<PriorityClass, NotRun> {
    let Some(word) = text(headers, "yuccatack-class")? else {
        return Ok(PriorityClass::default());
    };
    priority_class_from_name(word)
        .map_err(|_| invalid("yuccatack-class must be `urgent`, `standard` or `batch`"))
}

fn passed_on(headers: &HeaderMap) -> Vec<Header> {
    let own = |name: &str| OWN_HEADERS.contains(&name) || name.starts_with("yuccatack-");
    headers
        .iter()
        .filter(|(name, _)| !own(name.as_str()))
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
        let organisation = text(headers, "yuccatack-organisation")?
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
            headers: passed_on(headers),
            idempotent,
            body: Bytes::new(),
        };
        let key = key(headers, idempotent)?.filter(|_| !idempotent);
        Ok(Self { content, deadline: deadline(headers)?, key })
    }

    /// The time that the request may take, with the service's default.
    pub fn deadline_or(&self, service_default_ms: Option<u64>) -> Duration {
        let default = Duration::from_millis(service_default_ms.unwrap_or(DEFAULT_DEADLINE_MS));
        self.deadline.unwrap_or(default)
    }
}

//! Mapping of HTTP paths to the routes of the entry.

use yuccatack_core::prelude::*;

use crate::operators::OperatorRoute;

/// The target of an HTTP path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// A caller's request to a service: `/v1/requests/{service}` with an optional path for the
    /// minion after it.
    Request {
        /// Service whose minions run the request.
        service: ServiceName,
        /// Path that is forwarded to the minion, with the query; `/` if the caller gave none.
        minion_path: String,
    },
    /// A call of an operator.
    Operator(OperatorRoute),
    /// A path that the entry does not serve.
    NotFound,
}

const REQUESTS_PREFIX: &str = "/v1/requests/";

impl Route {
    /// Parses a path and its query.
    pub fn from_path(path: &str, query: Option<&str>) -> Self {
        let Some(rest) = path.strip_prefix(REQUESTS_PREFIX) else {
            return OperatorRoute::from_path(path).map_or(Self::NotFound, Self::Operator);
        };
        let (service, minion_path) = match rest.find('/') {
            Some(position) => rest.split_at(position),
            None => (rest, "/"),
        };
        let Ok(service) = ServiceName::new(service) else {
            return Self::NotFound;
        };
        let minion_path = match query {
            Some(query) => format!("{minion_path}?{query}"),
            None => minion_path.to_owned(),
        };
        Self::Request { service, minion_path }
    }
}

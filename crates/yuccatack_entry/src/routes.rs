//! The one place that maps paths to what the entry serves.

use yuccatack_core::prelude::*;

use crate::operators::OperatorRoute;

/// What a path stands for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// A caller's request to a service: `/v1/requests/{service}` with an optional path for the
    /// minion after it.
    Request {
        /// The service.
        service: ServiceName,
        /// The path for the minion, with its query.
        minion_path: String,
    },
    /// An operator's call.
    Operator(OperatorRoute),
    /// Nothing is served here.
    NotFound,
}

const REQUESTS_PREFIX: &str = "/v1/requests/";

impl Route {
    /// Finds the route of a path and its query.
    pub fn of(path: &str, query: Option<&str>) -> Self {
        let Some(rest) = path.strip_prefix(REQUESTS_PREFIX) else {
            return OperatorRoute::of(path).map_or(Self::NotFound, Self::Operator);
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

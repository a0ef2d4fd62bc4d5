//! HTTP server with a memory budget and limits for misbehaving clients.
//!
//! [`serve`] accepts the connections of one address. All servers of a process share one [`Guard`],
//! which bounds the memory of requests and responses and the number of connections, and closes
//! stalled connections when there is no room for others.

mod body;
mod budget;
mod connection;
mod guard;
mod limits;
mod metrics;
mod registry;
mod server;
mod shape;
mod stream;
mod victims;

pub use body::{ReceivedBody, RequestBody};
pub use guard::Guard;
pub use limits::{ProcessLimits, ServerLimits};
pub use metrics::{HttpMetrics, Refusal, RefusalLabels};
pub use server::{DrainTimes, HttpResponse, serve};
pub use shape::DocumentShape;
pub use victims::{Candidate, Phase, Room, choose_victims};

/// Re-exports of the types that servers use.
pub mod prelude {
    pub use crate::{
        DrainTimes, Guard, HttpResponse, ProcessLimits, Refusal, RequestBody, ServerLimits, serve,
    };
}

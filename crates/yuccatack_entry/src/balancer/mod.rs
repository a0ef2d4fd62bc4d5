//! The task that owns admission and the choice of minions.

mod actor;
mod message;
mod records;

pub use actor::{Balancer, BalancerSettings};
pub use message::{BalancerMessage, ChooseRequest};
pub use records::service_record;

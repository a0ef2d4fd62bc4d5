//! Admission, queueing and load balancing over minions, owned by one task.

mod actor;
mod message;
mod records;

pub use actor::{Balancer, BalancerSettings};
pub use message::{BalancerMessage, ChooseRequest};
pub use records::service_record;

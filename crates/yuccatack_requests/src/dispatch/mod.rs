//! The state machine that takes one caller's request to its outcome.

mod claiming;
mod legs;
mod message;
mod settings;
mod state;

pub use message::{ChoiceKind, DispatchCommand, DispatchEvent, Target};
pub use settings::DispatchSettings;
pub use state::Dispatch;

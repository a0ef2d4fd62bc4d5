//! State machine that drives one caller's request to its outcome.

mod claiming;
mod message;
mod pending;
mod settings;
mod state;

pub use message::{ChoiceKind, DispatchCommand, DispatchEvent, Target};
pub use settings::DispatchSettings;
pub use state::Dispatch;

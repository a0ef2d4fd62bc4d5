//! Claims of idempotency keys of non-idempotent requests, held in the replicated state.

mod client;
mod error;
mod key;
mod message;
mod state;

pub use client::{ClaimClient, ClaimMessage, claim_channel};
pub use error::ClaimCallError;
pub use key::{IdempotencyKey, InvalidIdempotencyKeyError};
pub use message::{
    ClaimCommand, ClaimOutcome, ClaimRefusal, ClaimState, ClaimedAttempt, ContentDigest,
};
pub use state::{ClaimLimits, ClaimTable};

//! Tasks that keep an instance's state up to date and act on it.

mod handover;
pub mod link;
mod members;
mod promotion;
mod statement;

pub use self::{handover::Handover, members::Links, promotion::claimant, statement::lock_key};

//! Tests of gateway processes against the stand-in for the platform.

mod absent;
mod cold;
mod evacuation;
mod fleet;
mod foreign;
mod history;
mod hub_loss;
mod order;
mod pace;
mod path;
mod promotion;
mod restore;
mod restore_failover;
mod returning;
mod soak;
mod stop;

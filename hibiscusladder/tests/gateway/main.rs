//! Gateway processes in front of the stand-in for the platform.

mod fleet;
mod path;
mod soak;

//! Tasks that keep an instance's state up to date and act on it.

pub mod link;

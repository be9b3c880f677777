//! Deployments of emulators and instances on one machine, for the examples `capacity` and `measure`.

#![allow(dead_code, reason = "each example uses a part of the support")]

pub(crate) mod deployment;
pub(crate) mod fleet;

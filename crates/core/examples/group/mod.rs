//! Discrete-event simulation of one database group, its homes and some sessions, shared by an example and the tests.
//!
//! All random choices are derived from the seed of the settings, so a run can be repeated. The simulation records the
//! true history and reports every observation that breaks a rule as a violation.

pub(crate) mod home;
pub(crate) mod member;
pub(crate) mod network;
pub(crate) mod run;
pub(crate) mod sessions;
pub(crate) mod settings;

pub(crate) use run::{Outcome, Violation, run};
pub(crate) use settings::{Fault, Faults, INFINITE, Scheduled, Settings};

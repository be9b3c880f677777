//! PostgreSQL proxy with session consistency, and the coordination components that it is built from.
//!
//! Each re-exported crate can be used alone: [`core`] holds the coordination logic and uses no sockets, threads or
//! async runtime, [`proxy`] is the daemon, [`emulator`] emulates the platform and the database groups, and [`load`]
//! generates load and measures the results.
//!
//! # Example
//!
//! ```
//! use hibiscusladder::prelude::*;
//!
//! let before = Position::new(Term(1), Lsn(90));
//! let after = Position::new(Term(2), Lsn(10));
//! assert!(before < after);
//! ```

pub use hibiscusladder_core as core;
pub use hibiscusladder_emulator as emulator;
pub use hibiscusladder_load as load;
pub use hibiscusladder_proxy as proxy;

pub mod prelude {
    //! The types that most users need.

    pub use hibiscusladder_core::prelude::*;
    pub use hibiscusladder_proxy::{
        node::Node,
        platform::{Expected, PlatformClient, PlatformError},
        settings::Settings,
    };
}

//! PostgreSQL proxy with session consistency, and the coordination components that it is built from.
//!
//! The crates behind this facade can be used alone: [`core`] decides without sockets, threads or a runtime,
//! [`proxy`] is the daemon, and [`emulator`] stands in for the platform and the database groups.
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

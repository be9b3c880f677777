//! Choice of the member that serves a request, and of the instance that is its home.

mod read_index;

pub use self::read_index::{Question, SharedIndex};

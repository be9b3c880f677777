//! The `hibiscusladder` command.

fn main() {}

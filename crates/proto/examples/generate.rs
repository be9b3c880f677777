//! Generates `src/instance_capnp.rs` from the schema; needs the `capnp` compiler on the path.
//!
//! Run it in `crates/proto` as `cargo run --example generate` after a change of the schema.

fn main() -> Result<(), capnp::Error> {
    capnpc::CompilerCommand::new()
        .src_prefix("schema")
        .file("schema/instance.capnp")
        .output_path("src")
        .run()
}

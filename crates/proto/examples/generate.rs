//! Generates `src/instance_capnp.rs` from the schema; needs the `capnp` compiler in `PATH`.
//!
//! After a change of the schema, run `cargo run --example generate` in `crates/proto`.

fn main() -> Result<(), capnp::Error> {
    capnpc::CompilerCommand::new()
        .src_prefix("schema")
        .file("schema/instance.capnp")
        .output_path("src")
        .run()
}

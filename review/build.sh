#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library only, so no network is needed.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --offline --manifest-path review/tools/Cargo.toml

#!/usr/bin/env bash
# Builds the programs that the scripts of cases 6 to 10 start besides those of the deploy file: the drivers in review/tools-2,
# with the project's stand-in for the platform. Needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/tools-2/Cargo.toml --target-dir target/review-2

#!/bin/sh
# Builds the stand-ins of the cases into target/review.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins/Cargo.toml --target-dir target/review

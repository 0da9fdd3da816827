#!/usr/bin/env bash
# Builds the stand-ins of the second review, with the project's own ones, into target/review-2.
cd "$(dirname "$0")/.." || exit 2
CARGO_TARGET_DIR="$PWD/target/review-2" exec cargo build --release --locked \
    --manifest-path review/standins-2/Cargo.toml

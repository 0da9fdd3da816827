#!/usr/bin/env bash
# Builds the stand-ins of the second review, with the project's own ones, into target/review-2. Those in `std` use the
# standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
for program in memory alone heads; do
    rustc --edition 2024 -O -A dead_code -o "target/review-2/$program" "review/standins-2/std/$program.rs" || exit 2
done
CARGO_TARGET_DIR="$PWD/target/review-2" exec cargo build --release --locked \
    --manifest-path review/standins-2/Cargo.toml

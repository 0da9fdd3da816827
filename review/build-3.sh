#!/usr/bin/env bash
# Builds the stand-ins of the third review. They need nothing but the toolchain and its standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins review/standins-3/main.rs

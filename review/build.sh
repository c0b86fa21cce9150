#!/bin/sh
# Builds the stand-ins of the review's cases, without any package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec "${RUSTC:-rustc}" --edition 2024 -O -D warnings -o target/review/stand-ins review/stand-ins/main.rs

#!/bin/sh
# Builds the stand-ins of the second review's scripts. They need no package.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/rig/Cargo.toml \
    --target-dir target/review-rig

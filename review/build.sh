#!/bin/sh
# Builds the stand-ins that the scripts of the review start. Needs no network after
# the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
